//! Evidence that runs have ended.
//!
//! An order is finished only with an [`End`], and each constructor needs what proves it.

use std::time::Instant;

use crate::Outcome;
use crate::agent::upstream::Upstream;
use crate::agent::{EndedRun, HoldResult, Order, Phase, SafetyRules, StartResult};

/// The end of an order's run, or of an order without one.
#[derive(Clone, Copy, Debug)]
pub(super) struct End(Outcome);

/// Evidence that nothing that was started on the known upstream goes on.
#[derive(Clone, Copy, Debug)]
pub(super) struct AllEnded(());

impl End {
    pub(super) fn outcome(self) -> Outcome {
        self.0
    }

    /// Returns the end of an order that has no run.
    pub(super) fn unstarted(order: &Order) -> Option<Self> {
        (!order.holds_room()).then_some(Self(Outcome::NotStarted))
    }

    /// Returns the end of an order whose start was answered without starting it.
    pub(super) fn refused(result: &StartResult) -> Option<Self> {
        match result {
            StartResult::Started { .. } | StartResult::NoAnswer => None,
            StartResult::OldFence { .. }
            | StartResult::OldRun { .. }
            | StartResult::LateLease { .. }
            | StartResult::NoRoom { .. }
            | StartResult::Unhealthy
            | StartResult::OtherInstance
            | StartResult::Refused => Some(Self(Outcome::NotStarted)),
        }
    }

    /// Returns the end of an order whose run the upstream lists as ended, with the outcome that the
    /// supervisor makes of it.
    pub(super) fn listed(order: &Order, row: &EndedRun, outcome: Outcome) -> Option<Self> {
        (order.phase.run() == Some(row.run)).then_some(Self(outcome))
    }

    /// Returns the end of an order that is absent from the list of active runs that was asked for at
    /// `sent`; `None` if its run may have begun or been stopped since.
    pub(super) fn unlisted(order: &Order, sent: Instant) -> Option<Self> {
        match order.phase {
            Phase::Running { since, .. } if since <= sent => Some(Self(Outcome::Lost)),
            Phase::Stopping {
                acked: Some(acked), ..
            } if acked <= sent => match order.started_at.is_some() || order.may_have_run {
                true => Some(Self(Outcome::Lost)),
                false => Some(Self(Outcome::NotStarted)),
            },
            _ => None,
        }
    }

    /// Returns the end of an order of an upstream on which nothing goes on.
    pub(super) fn lost(_: AllEnded) -> Self {
        Self(Outcome::Lost)
    }

    /// Returns an end without evidence, if the rule that needs it is disabled.
    pub(super) fn assumed(is_rule_enabled: bool, outcome: Outcome) -> Option<Self> {
        (!is_rule_enabled).then_some(Self(outcome))
    }
}

impl AllEnded {
    /// Another incarnation answered a start call to the known upstream.
    pub(super) fn by_start(result: &StartResult) -> Option<Self> {
        matches!(result, StartResult::OtherInstance).then_some(Self(()))
    }

    /// Another incarnation answered a hold call to the known upstream.
    pub(super) fn by_hold(result: &HoldResult) -> Option<Self> {
        matches!(result, HoldResult::OtherInstance).then_some(Self(()))
    }

    /// The lease of the upstream is not renewed, since it does not answer or another incarnation has
    /// its name, and the last one has certainly ended.
    pub(super) fn by_lease(now: Instant, upstream: &Upstream, rules: &SafetyRules) -> Option<Self> {
        let is_over = upstream.is_lease_over(now) || !rules.waits_for_lease_ends;
        let is_renewed = upstream.unanswered_holds == 0 && upstream.replaced_at.is_none();
        (is_over && !is_renewed).then_some(Self(()))
    }
}
