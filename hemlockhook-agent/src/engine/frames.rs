//! Validation of start orders, and the messages that answer orders.

use hemlockhook_ownership::{StartOrder, StartRefusal};
use hemlockhook_proto::starts::encode_refusal;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::refusal::Reason;
use hemlockhook_types::shard_of;

/// Returns whether a start's shard is that of its key and its index is below the job's task count.
pub(super) fn is_well_formed_start(start: &v1::Start) -> bool {
    u32::from(shard_of(&start.key)) == start.shard && start.index < start.job_tasks
}

pub(super) fn refusal(order: &StartOrder, cause: StartRefusal) -> v1::Refusal {
    let (reason, floor) = encode_refusal(cause);
    refusal_with_reason(order, reason, floor)
}

pub(super) fn refusal_with_reason(
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

pub(super) fn withdrawal_reply(key: &str, outcome: Result<(), StartRefusal>) -> v1::Withdrawn {
    let refusal = outcome.err().map(encode_refusal);
    v1::Withdrawn {
        key: key.to_owned(),
        refusal: refusal.map(|(reason, _)| reason.into()),
        floor: refusal.and_then(|(_, floor)| floor),
    }
}
