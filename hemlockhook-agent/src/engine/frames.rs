//! Conversion between the messages on the wire and the types of the decisions.

use std::sync::Arc;

use hemlockhook_ownership::{FenceReport, StartOrder, StartRecord, StartRefusal};
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::refusal::Reason;
use hemlockhook_types::{Ballot, Incarnation, ShardId, shard_of};

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
    let (reason, floor) = match why {
        StartRefusal::StaleBallot(floor) => (Reason::StaleBallot, Some(floor.into())),
        StartRefusal::AlreadyStarted => (Reason::AlreadyStarted, None),
        StartRefusal::NotJoined => (Reason::NotJoined, None),
        StartRefusal::Leaving => (Reason::Leaving, None),
        StartRefusal::Full => (Reason::Full, None),
    };
    refusal_for(order, reason, floor)
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
        ..v1::FenceReport::default()
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
