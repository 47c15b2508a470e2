//! Log lines on orders that were placed for another upstream than the present one.

use hemlockhook_dispatch::agent::{Description, OutdatedOrder};

/// Logs an order that was refused or returned because the upstream is not the one that it was placed for.
pub(super) fn log_outdated(order: &OutdatedOrder) {
    let job = &*order.task.task.job;
    let task = order.task.task.index;
    let attempt = order.task.attempt;
    let entry = order.owner;
    let wanted = describe(order.wanted_upstream.as_ref());
    let found = describe(order.found_upstream.as_ref());
    let description = order.wanted;
    let state_age_ms = order.state_age.map(|age| age.as_millis() as u64);
    spdlog::info!("refused an order that was placed for another state of the upstream", kv: {
        job,
        task,
        attempt,
        entry,
        description,
        wanted,
        found,
        state_age_ms:? = state_age_ms,
    });
}

/// Returns instance, start, service and labels of an upstream, or `unknown`.
fn describe(description: Option<&Description>) -> String {
    let Some(description) = description else {
        return "unknown".to_owned();
    };
    let Description {
        instance,
        started_ms,
        service,
        labels,
        ..
    } = description;
    format!("{instance} from {started_ms} of {service}, {labels:?}")
}
