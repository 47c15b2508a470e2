//! Conversion between messages of the processes and types of `hemlockhook-dispatch`.

use hemlockhook_dispatch::agent::{MAX_KINDS, PairSlowdown, RunOrder, TaskKind, UpstreamState};
use hemlockhook_dispatch::{
    Amounts, AttemptEnd, Claim, ClaimAnswer, ClaimChange, ClaimStatus, Drains, Outcome, TaskId,
    TaskRef,
};
use hemlockhook_proto::v1;
use std::time::Duration;

/// Scale of a pace in messages.
const PERMILLE: f64 = 1000.0;

/// Maximum time for which a claim to a job is held. Longer than any job takes.
const MAX_HOLD: Duration = Duration::from_secs(48 * 60 * 60);

/// Decodes an attempt at a task. Returns `None` if the message lacks it.
pub(crate) fn read_task(task: Option<v1::TaskRef>) -> Option<TaskRef> {
    let task = task?;
    Some(TaskRef {
        task: TaskId {
            job: task.job.into(),
            occurrence: 0,
            step: task.step,
            index: task.index,
        },
        attempt: task.attempt,
    })
}

/// Encodes an attempt at a task.
pub(crate) fn write_task(task: &TaskRef) -> v1::TaskRef {
    v1::TaskRef {
        job: task.task.job.to_string(),
        step: task.task.step,
        index: task.task.index,
        attempt: task.attempt,
    }
}

fn read_amounts(amounts: Option<v1::Amounts>) -> Amounts {
    let amounts = amounts.unwrap_or_default();
    Amounts {
        cpu: amounts.cpu,
        memory_mb: amounts.memory_mb,
        gpus: amounts.gpus,
    }
}

fn write_amounts(amounts: Amounts) -> Option<v1::Amounts> {
    Some(v1::Amounts {
        cpu: amounts.cpu,
        memory_mb: amounts.memory_mb,
        gpus: amounts.gpus,
    })
}

/// Decodes an order. Returns `None` if it has no task.
pub(crate) fn read_order(order: v1::RunOrder) -> Option<RunOrder> {
    Some(RunOrder {
        task: read_task(order.task)?,
        description: Some(order.description).filter(|&number| number != 0),
        payload: order.payload.into(),
        need: read_amounts(order.need),
        expected: Duration::from_millis(u64::from(order.expected_ms)),
        class: order.class,
        due_ms: order.due_ms,
        wait: Duration::from_millis(u64::from(order.wait_ms)),
        kind: order.kind,
    })
}

/// Encodes an order.
pub(crate) fn write_order(order: &RunOrder) -> v1::RunOrder {
    v1::RunOrder {
        task: Some(write_task(&order.task)),
        description: order.description.unwrap_or_default(),
        payload: order.payload.to_string(),
        need: write_amounts(order.need),
        expected_ms: order.expected.as_millis() as u32,
        class: order.class,
        due_ms: order.due_ms,
        wait_ms: order.wait.as_millis() as u32,
        kind: order.kind,
    }
}

/// Decodes the end of an attempt. Returns `None` if it has no task or no outcome.
pub(crate) fn read_end(end: v1::LeasedEnd) -> Option<AttemptEnd> {
    let outcome = match end.outcome() {
        v1::LeasedOutcome::Done => Outcome::Done,
        v1::LeasedOutcome::Failed => Outcome::Failed,
        v1::LeasedOutcome::FailedByUpstream => Outcome::FailedByUpstream,
        v1::LeasedOutcome::Lost => Outcome::Lost,
        v1::LeasedOutcome::NotStarted => Outcome::NotStarted,
        v1::LeasedOutcome::Unspecified => return None,
    };
    Some(AttemptEnd {
        task: read_task(end.task)?,
        outcome,
        run_ms: end.run_ms,
    })
}

/// Encodes the end of an attempt.
pub(crate) fn write_end(end: &AttemptEnd) -> v1::LeasedEnd {
    let outcome = match end.outcome {
        Outcome::Done => v1::LeasedOutcome::Done,
        Outcome::Failed => v1::LeasedOutcome::Failed,
        Outcome::FailedByUpstream => v1::LeasedOutcome::FailedByUpstream,
        Outcome::Lost => v1::LeasedOutcome::Lost,
        Outcome::NotStarted => v1::LeasedOutcome::NotStarted,
    };
    v1::LeasedEnd {
        task: Some(write_task(&end.task)),
        outcome: outcome.into(),
        run_ms: end.run_ms,
    }
}

/// Decodes a change of a claim.
pub(crate) fn read_claim(claim: v1::JobClaim) -> Claim {
    let hold = Duration::from_millis(claim.hold_ms).min(MAX_HOLD);
    let change = match (claim.is_released, claim.is_cancelled) {
        (true, _) => ClaimChange::Released,
        (false, true) => ClaimChange::Cancelled { hold },
        (false, false) => ClaimChange::Made { hold },
    };
    Claim {
        job: claim.job.into(),
        number: claim.number,
        change,
    }
}

/// Encodes a change of a claim.
pub(crate) fn write_claim(claim: &Claim) -> v1::JobClaim {
    let job = claim.job.to_string();
    let number = claim.number;
    match claim.change {
        ClaimChange::Released => v1::JobClaim {
            job,
            number,
            is_released: true,
            ..v1::JobClaim::default()
        },
        ClaimChange::Made { hold } => v1::JobClaim {
            job,
            number,
            is_released: false,
            hold_ms: hold.as_millis() as u64,
            ..v1::JobClaim::default()
        },
        ClaimChange::Cancelled { hold } => v1::JobClaim {
            job,
            number,
            hold_ms: hold.as_millis() as u64,
            is_cancelled: true,
            ..v1::JobClaim::default()
        },
    }
}

/// Decodes the state of a claim. Returns `None` if the message has none.
pub(crate) fn read_claim_answer(answer: v1::JobClaimAnswer) -> Option<ClaimAnswer> {
    let status = match answer.status() {
        v1::JobClaimStatus::Granted => ClaimStatus::Granted,
        v1::JobClaimStatus::Waiting => ClaimStatus::Waiting,
        v1::JobClaimStatus::Contested => ClaimStatus::Contested,
        v1::JobClaimStatus::Cancelled => ClaimStatus::Cancelled,
        v1::JobClaimStatus::Unspecified => return None,
    };
    Some(ClaimAnswer {
        job: answer.job.into(),
        number: answer.number,
        status,
    })
}

/// Encodes the state of a claim.
pub(crate) fn write_claim_answer(answer: &ClaimAnswer) -> v1::JobClaimAnswer {
    let status = match answer.status {
        ClaimStatus::Granted => v1::JobClaimStatus::Granted,
        ClaimStatus::Waiting => v1::JobClaimStatus::Waiting,
        ClaimStatus::Contested => v1::JobClaimStatus::Contested,
        ClaimStatus::Cancelled => v1::JobClaimStatus::Cancelled,
    };
    v1::JobClaimAnswer {
        job: answer.job.to_string(),
        number: answer.number,
        status: status.into(),
    }
}

/// Decodes the state of an upstream.
pub(crate) fn read_state(state: v1::LeasedUpstream) -> UpstreamState {
    UpstreamState {
        is_usable: state.is_usable,
        description: state.description,
        service: state.service.into(),
        instance: state.instance.into(),
        capacity: read_amounts(state.capacity),
        free: read_amounts(state.free),
        labels: state.labels.into_iter().map(Into::into).collect(),
        waiting: state.waiting,
        pace: f64::from(state.pace_permille.max(1)) / PERMILLE,
        entries: state.entries,
        share: match state.share_permille {
            0 => 1.0 / f64::from(state.entries.max(1)),
            permille => f64::from(permille) / PERMILLE,
        },
        running: state
            .running
            .iter()
            .take(MAX_KINDS)
            .map(|row| (row.kind, row.tasks))
            .collect(),
        pairs: state.interference.map(|learned| {
            let pairs = learned.pairs.into_iter().take(MAX_KINDS * MAX_KINDS);
            pairs.map(read_pair).collect()
        }),
    }
}

/// Encodes the state of an upstream.
pub(crate) fn write_state(state: &UpstreamState) -> v1::LeasedUpstream {
    v1::LeasedUpstream {
        is_usable: state.is_usable,
        description: state.description,
        service: state.service.to_string(),
        instance: state.instance.to_string(),
        capacity: write_amounts(state.capacity),
        free: write_amounts(state.free),
        labels: state.labels.iter().map(ToString::to_string).collect(),
        waiting: state.waiting,
        pace_permille: (state.pace * PERMILLE) as u32,
        entries: state.entries,
        share_permille: ((state.share * PERMILLE) as u32).max(1),
        running: state.running.iter().map(write_count).collect(),
        interference: state.pairs.as_ref().map(|pairs| v1::LearnedInterference {
            pairs: pairs.iter().map(write_pair).collect(),
        }),
    }
}

fn write_count((&kind, &tasks): (&TaskKind, &u32)) -> v1::KindCount {
    v1::KindCount { kind, tasks }
}

fn read_pair(pair: v1::PairSlowdown) -> PairSlowdown {
    PairSlowdown {
        kind: pair.kind,
        other: pair.other,
        log_factor: f64::from(pair.log_factor_permille) / PERMILLE,
        weight: f64::from(pair.weight),
    }
}

fn write_pair(pair: &PairSlowdown) -> v1::PairSlowdown {
    v1::PairSlowdown {
        kind: pair.kind,
        other: pair.other,
        log_factor_permille: (pair.log_factor * PERMILLE).round() as i32,
        weight: pair.weight as u32,
    }
}

/// Decodes the set of drained data centers.
pub(crate) fn read_drains(drains: v1::DataCenterDrains) -> Drains {
    Drains {
        position: drains.position,
        data_centers: drains.data_centers.into_iter().map(Into::into).collect(),
    }
}

/// Encodes the set of drained data centers.
pub(crate) fn write_drains(drains: &Drains) -> v1::DataCenterDrains {
    v1::DataCenterDrains {
        position: drains.position,
        data_centers: drains
            .data_centers
            .iter()
            .map(ToString::to_string)
            .collect(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against entries of one version that take a status which a later one adds for a grant.
    #[test]
    fn a_claim_status_of_a_later_version_is_ignored() {
        let read = |status| {
            let answer = v1::JobClaimAnswer {
                status,
                ..v1::JobClaimAnswer::default()
            };
            read_claim_answer(answer).map(|answer| answer.status)
        };
        let cancelled = v1::JobClaimStatus::Cancelled as i32;
        assert_eq!(read(cancelled), Some(ClaimStatus::Cancelled));
        assert_eq!(read(cancelled + 1), None);
    }

    /// Guards against a cancellation that is read as a claim, which would be granted.
    #[test]
    fn a_cancelled_claim_is_read_as_it_was_written() {
        let hold = Duration::from_secs(7);
        let claim = Claim {
            job: "a".into(),
            number: 3,
            change: ClaimChange::Cancelled { hold },
        };
        assert_eq!(read_claim(write_claim(&claim)), claim);
    }
}
