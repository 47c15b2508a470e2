//! Conversions between the generated messages and the types of `hemlockhook-types`.

use std::time::Duration;

use hemlockhook_types as types;
use hemlockhook_types::{Reason, TaskOutcome};

use crate::v1;
use crate::v1::answer::Kind as AnswerKind;
use crate::v1::task_result::Kind as ResultKind;

/// A reply about a job, as entries exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The final answer.
    Answer(types::Answer),
    /// The job is still queued or running.
    Pending,
    /// No job with this key is known.
    NotFound,
    /// The receiver does not own the shard.
    NotOwner,
    /// The key was used before for a job with different content.
    KeyReused,
}

impl From<types::Ballot> for v1::Ballot {
    fn from(ballot: types::Ballot) -> Self {
        Self {
            counter: ballot.counter,
            owner: ballot.owner,
        }
    }
}

impl From<v1::Ballot> for types::Ballot {
    fn from(ballot: v1::Ballot) -> Self {
        Self {
            counter: ballot.counter,
            owner: ballot.owner,
        }
    }
}

impl From<types::TaskResult> for v1::TaskResult {
    fn from(result: types::TaskResult) -> Self {
        let (kind, body, reason) = match result.outcome {
            TaskOutcome::Ok(body) => (ResultKind::Ok, body.to_vec(), String::new()),
            TaskOutcome::Failed(reason) => (ResultKind::Failed, Vec::new(), reason),
            TaskOutcome::Cancelled => (ResultKind::Cancelled, Vec::new(), String::new()),
            TaskOutcome::Evicted => (ResultKind::Evicted, Vec::new(), String::new()),
        };
        let run_time_us = result.run_time.as_micros() as u64;
        Self {
            kind: kind.into(),
            body,
            reason,
            run_time_us,
        }
    }
}

impl From<v1::TaskResult> for types::TaskResult {
    fn from(result: v1::TaskResult) -> Self {
        let outcome = match result.kind() {
            ResultKind::Ok => TaskOutcome::Ok(result.body.into()),
            ResultKind::Failed => TaskOutcome::Failed(result.reason),
            ResultKind::Cancelled => TaskOutcome::Cancelled,
            ResultKind::Evicted => TaskOutcome::Evicted,
            ResultKind::Unspecified => TaskOutcome::Failed("the agent sent no result".to_owned()),
        };
        Self {
            outcome,
            run_time: Duration::from_micros(result.run_time_us),
        }
    }
}

impl From<Reply> for v1::Answer {
    fn from(reply: Reply) -> Self {
        let empty = |kind: AnswerKind| Self {
            kind: kind.into(),
            ..Self::default()
        };
        match reply {
            Reply::Answer(answer) => encode_answer(answer),
            Reply::Pending => empty(AnswerKind::Pending),
            Reply::NotFound => empty(AnswerKind::NotFound),
            Reply::NotOwner => empty(AnswerKind::NotOwner),
            Reply::KeyReused => empty(AnswerKind::KeyReused),
        }
    }
}

impl From<v1::Answer> for Reply {
    fn from(answer: v1::Answer) -> Self {
        let kind = answer.kind();
        // A reason from a later version is decoded as one that implies no guarantee.
        let reason = answer.reason.parse().unwrap_or(Reason::OwnerUnreachable);
        let detail = answer.detail;
        match kind {
            AnswerKind::Complete => Self::Answer(types::Answer::Complete(
                answer.results.into_iter().map(Into::into).collect(),
            )),
            AnswerKind::Failed => Self::Answer(types::Answer::Failed {
                reason,
                task: answer.failed_task,
                detail,
            }),
            AnswerKind::NotRun => {
                let retry_after = match answer.retry_after_ms {
                    0 => None,
                    ms => Some(Duration::from_millis(ms.into())),
                };
                Self::Answer(types::Answer::NotRun {
                    reason,
                    detail,
                    retry_after,
                })
            }
            AnswerKind::Unknown => Self::Answer(types::Answer::Unknown { reason, detail }),
            AnswerKind::Pending => Self::Pending,
            AnswerKind::NotFound => Self::NotFound,
            AnswerKind::KeyReused => Self::KeyReused,
            AnswerKind::NotOwner | AnswerKind::Unspecified => Self::NotOwner,
        }
    }
}

fn encode_answer(answer: types::Answer) -> v1::Answer {
    let reason = answer
        .reason()
        .map(|reason| reason.to_string())
        .unwrap_or_default();
    let base = v1::Answer {
        reason,
        ..v1::Answer::default()
    };
    match answer {
        types::Answer::Complete(results) => v1::Answer {
            kind: AnswerKind::Complete.into(),
            results: results.iter().map(|body| body.to_vec()).collect(),
            ..base
        },
        types::Answer::Failed { task, detail, .. } => v1::Answer {
            kind: AnswerKind::Failed.into(),
            failed_task: task,
            detail,
            ..base
        },
        types::Answer::NotRun {
            detail,
            retry_after,
            ..
        } => v1::Answer {
            kind: AnswerKind::NotRun.into(),
            detail,
            retry_after_ms: retry_after.map_or(0, |wait| wait.as_millis() as u32),
            ..base
        },
        types::Answer::Unknown { detail, .. } => v1::Answer {
            kind: AnswerKind::Unknown.into(),
            detail,
            ..base
        },
    }
}
