//! Conversion between the messages on the wire and the types of the decisions.

use std::sync::Arc;

use hemlockhook_ownership::{
    Custody, FenceReport, StartOrder, StartRecord, StartRefusal, Withdrawal,
};
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::refusal::Reason;
use hemlockhook_types::{Ballot, Incarnation, Reason as JobReason, ShardId, shard_of};

/// Checks that a start names its own key's shard and a task of its job.
pub(super) fn is_well_formed_start(start: &v1::Start) -> bool {
    u32::from(shard_of(&start.key)) == start.shard && start.index < start.job_tasks
}

/// Reads a checked start that came over the link of `entry`.
pub(super) fn order(entry: Incarnation, start: &v1::Start) -> StartOrder {
    StartOrder {
        key: Arc::from(start.key.as_str()),
        index: start.index,
        job_tasks: start.job_tasks,
        fingerprint: start.fingerprint,
        shard: start.shard as ShardId,
        ballot: Ballot {
            counter: start.ballot,
            owner: entry,
        },
        service: Arc::from(start.service.as_str()),
        idempotent: start.idempotent,
    }
}

pub(super) fn refusal(order: &StartOrder, why: StartRefusal) -> v1::Refusal {
    let (reason, floor) = wire_refusal(why);
    refusal_for(order, reason, floor)
}

pub(super) fn withdrawn(key: &str, outcome: Result<(), StartRefusal>) -> v1::Withdrawn {
    let refusal = outcome.err().map(wire_refusal);
    v1::Withdrawn {
        key: key.to_owned(),
        refusal: refusal.map(|(reason, _)| reason.into()),
        floor: refusal.and_then(|(_, floor)| floor),
    }
}

fn wire_refusal(why: StartRefusal) -> (Reason, Option<v1::Ballot>) {
    match why {
        StartRefusal::StaleBallot(floor) => (Reason::StaleBallot, Some(floor.into())),
        StartRefusal::AlreadyStarted => (Reason::AlreadyStarted, None),
        StartRefusal::NotJoined => (Reason::NotJoined, None),
        StartRefusal::Leaving => (Reason::Leaving, None),
        StartRefusal::Full => (Reason::Full, None),
    }
}

pub(super) fn refusal_for(
    order: &StartOrder,
    reason: Reason,
    floor: Option<v1::Ballot>,
) -> v1::Refusal {
    v1::Refusal {
        key: order.key.to_string(),
        index: order.index,
        reason: reason.into(),
        floor,
    }
}

pub(super) fn wire_report(takeover: u64, report: FenceReport) -> v1::FenceReport {
    let refused = report.refused.into_iter();
    let records = report.records.into_iter();
    v1::FenceReport {
        takeover,
        refused: refused
            .map(|(shard, floor)| v1::RefusedShard {
                shard: u32::from(shard),
                floor: Some(floor.into()),
            })
            .collect(),
        records: records.map(wire_record).collect(),
        adopted: report.adopted,
        withdrawn: report.withdrawn.into_iter().map(wire_withdrawal).collect(),
    }
}

fn wire_record(record: StartRecord) -> v1::StartRecord {
    v1::StartRecord {
        shard: u32::from(record.shard),
        key: record.key.to_string(),
        index: record.index,
        job_tasks: record.job_tasks,
        fingerprint: record.fingerprint,
        service: record.service.to_string(),
        idempotent: record.idempotent,
        result: record.result.map(Into::into),
    }
}

pub(super) fn withdrawal(job: v1::WithdrawnJob) -> Withdrawal {
    Withdrawal {
        key: job.key.into(),
        fingerprint: job.fingerprint,
        shard: job.shard as ShardId,
        service: job.service.into(),
        // A reason of a later version reads as one that promises nothing.
        reason: job.reason.parse().unwrap_or(JobReason::OwnerUnreachable),
    }
}

fn wire_withdrawal(withdrawal: Withdrawal) -> v1::WithdrawnJob {
    v1::WithdrawnJob {
        key: withdrawal.key.to_string(),
        fingerprint: withdrawal.fingerprint,
        shard: u32::from(withdrawal.shard),
        service: withdrawal.service.to_string(),
        reason: withdrawal.reason.to_string(),
    }
}

pub(super) fn custody(custody: v1::Custody) -> Custody {
    Custody {
        agents: custody.agents,
        records: custody.records.into_iter().map(record).collect(),
        withdrawn: custody.withdrawn.into_iter().map(withdrawal).collect(),
    }
}

pub(super) fn wire_custody(custody: Custody) -> v1::Custody {
    v1::Custody {
        agents: custody.agents,
        records: custody.records.into_iter().map(wire_record).collect(),
        withdrawn: custody.withdrawn.into_iter().map(wire_withdrawal).collect(),
    }
}

fn record(record: v1::StartRecord) -> StartRecord {
    StartRecord {
        key: record.key.into(),
        index: record.index,
        job_tasks: record.job_tasks,
        fingerprint: record.fingerprint,
        shard: record.shard as ShardId,
        service: record.service.into(),
        idempotent: record.idempotent,
        result: record.result.map(Into::into),
    }
}
