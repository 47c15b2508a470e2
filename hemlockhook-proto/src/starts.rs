//! Conversions between the generated messages and the types of `hemlockhook-ownership`.

use hemlockhook_ownership::{
    Custody, FenceReport, StartOrder, StartRecord, StartRefusal, Withdrawal,
};
use hemlockhook_types::{Ballot, Incarnation, Reason, ShardId};

use crate::v1;
use crate::v1::refusal::Reason as RefusalReason;

impl From<&StartOrder> for v1::Start {
    /// Leaves the fields that are not part of the order at their defaults: payload, timeout and the
    /// flag for long tasks.
    fn from(order: &StartOrder) -> Self {
        Self {
            key: order.key.to_string(),
            index: order.index,
            job_tasks: order.job_tasks,
            fingerprint: order.fingerprint,
            shard: order.shard.into(),
            ballot: order.ballot.counter,
            service: order.service.to_string(),
            idempotent: order.idempotent,
            ..Self::default()
        }
    }
}

impl v1::Start {
    /// Returns the order of a start that was received from the entry `owner`.
    pub fn to_order(&self, owner: Incarnation) -> StartOrder {
        StartOrder {
            key: self.key.as_str().into(),
            index: self.index,
            job_tasks: self.job_tasks,
            fingerprint: self.fingerprint,
            shard: self.shard as ShardId,
            ballot: Ballot {
                counter: self.ballot,
                owner,
            },
            service: self.service.as_str().into(),
            idempotent: self.idempotent,
        }
    }
}

/// Encodes a refusal as its reason and the ballot floor of a stale ballot.
pub fn encode_refusal(refusal: StartRefusal) -> (RefusalReason, Option<v1::Ballot>) {
    match refusal {
        StartRefusal::StaleBallot(floor) => (RefusalReason::StaleBallot, Some(floor.into())),
        StartRefusal::AlreadyStarted => (RefusalReason::AlreadyStarted, None),
        StartRefusal::NotJoined => (RefusalReason::NotJoined, None),
        StartRefusal::Leaving => (RefusalReason::Leaving, None),
        StartRefusal::Full => (RefusalReason::Full, None),
    }
}

/// Decodes a refusal. `NoGrant` and unknown reasons are decoded as those of a leaving agent, which
/// accepts no starts.
pub fn decode_refusal(reason: RefusalReason, floor: Option<v1::Ballot>) -> StartRefusal {
    match reason {
        RefusalReason::StaleBallot => StartRefusal::StaleBallot(floor.unwrap_or_default().into()),
        RefusalReason::AlreadyStarted => StartRefusal::AlreadyStarted,
        RefusalReason::NotJoined => StartRefusal::NotJoined,
        RefusalReason::Full => StartRefusal::Full,
        RefusalReason::Leaving | RefusalReason::NoGrant | RefusalReason::Unspecified => {
            StartRefusal::Leaving
        }
    }
}

impl From<FenceReport> for v1::FenceReport {
    /// Leaves the takeover number at 0.
    fn from(report: FenceReport) -> Self {
        let refused = report.refused.into_iter();
        Self {
            takeover: 0,
            refused: refused
                .map(|(shard, floor)| v1::RefusedShard {
                    shard: shard.into(),
                    floor: Some(floor.into()),
                })
                .collect(),
            records: convert(report.records),
            adopted: report.adopted,
            withdrawn: convert(report.withdrawn),
        }
    }
}

impl From<v1::FenceReport> for FenceReport {
    fn from(report: v1::FenceReport) -> Self {
        let refused = report.refused.into_iter();
        Self {
            refused: refused
                .map(|shard| {
                    (
                        shard.shard as ShardId,
                        shard.floor.unwrap_or_default().into(),
                    )
                })
                .collect(),
            records: convert(report.records),
            withdrawn: convert(report.withdrawn),
            adopted: report.adopted,
        }
    }
}

impl From<StartRecord> for v1::StartRecord {
    fn from(record: StartRecord) -> Self {
        Self {
            shard: record.shard.into(),
            key: record.key.to_string(),
            index: record.index,
            job_tasks: record.job_tasks,
            fingerprint: record.fingerprint,
            service: record.service.to_string(),
            idempotent: record.idempotent,
            result: record.result.map(Into::into),
        }
    }
}

impl From<v1::StartRecord> for StartRecord {
    fn from(record: v1::StartRecord) -> Self {
        Self {
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
}

impl From<Withdrawal> for v1::WithdrawnJob {
    fn from(withdrawal: Withdrawal) -> Self {
        Self {
            key: withdrawal.key.to_string(),
            fingerprint: withdrawal.fingerprint,
            shard: withdrawal.shard.into(),
            service: withdrawal.service.to_string(),
            reason: withdrawal.reason.to_string(),
        }
    }
}

impl From<v1::WithdrawnJob> for Withdrawal {
    fn from(job: v1::WithdrawnJob) -> Self {
        Self {
            key: job.key.into(),
            fingerprint: job.fingerprint,
            shard: job.shard as ShardId,
            service: job.service.into(),
            // A reason from a later version is decoded as the one that implies no guarantee.
            reason: job.reason.parse().unwrap_or(Reason::AccountIncomplete),
        }
    }
}

impl From<Custody> for v1::Custody {
    fn from(custody: Custody) -> Self {
        Self {
            agents: custody.agents,
            records: convert(custody.records),
            withdrawn: convert(custody.withdrawn),
        }
    }
}

impl From<v1::Custody> for Custody {
    fn from(custody: v1::Custody) -> Self {
        Self {
            agents: custody.agents,
            records: convert(custody.records),
            withdrawn: convert(custody.withdrawn),
        }
    }
}

fn convert<A, B>(values: Vec<A>) -> Vec<B>
where
    A: Into<B>,
{
    values.into_iter().map(Into::into).collect()
}
