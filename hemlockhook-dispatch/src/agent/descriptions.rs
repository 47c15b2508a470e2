//! Descriptions of upstreams, and orders that were placed for another one than the present.
//!
//! An entry chooses an upstream by the last state that it has read, which may be that of an earlier life. So
//! each order names the description that it was placed for, and is started on no other.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::agent::{Announcement, OrderKey, RunOrder, Supervisor};
use crate::{Incarnation, TaskRef};

/// Numbers the descriptions that an agent has had of its upstreams, from 1.
pub type DescriptionNumber = u64;

/// Number of descriptions that are kept, so that refusals can name what was wanted.
pub(super) const KEPT_DESCRIPTIONS: usize = 8;

/// What placement depends on in an upstream. Each life of an upstream has a description of its own, and one
/// more for each change of its labels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Description {
    /// Number of the description.
    pub number: DescriptionNumber,
    /// Identifies the incarnation.
    pub instance: Arc<str>,
    /// Start of the incarnation, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Labels for its kind and location.
    pub labels: Vec<Arc<str>>,
}

/// An order that was refused or returned because the upstream is not the one that it was placed for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedOrder {
    /// Attempt that was ordered.
    pub task: TaskRef,
    /// Incarnation of the entry that gave the order.
    pub owner: Incarnation,
    /// Number of the description that the order was placed for.
    pub wanted: DescriptionNumber,
    /// That description; `None` if it is no longer kept.
    pub wanted_upstream: Option<Description>,
    /// Description of the present upstream; `None` if there is none.
    pub found_upstream: Option<Description>,
    /// Time since the entry was last sent a state with the wanted description; `None` if that is no longer
    /// known.
    pub state_age: Option<Duration>,
}

/// The last descriptions, oldest first.
#[derive(Debug, Default)]
pub(super) struct Descriptions {
    kept: VecDeque<Description>,
    last: DescriptionNumber,
}

impl Descriptions {
    /// Numbers the description of an upstream that has announced itself.
    pub(super) fn add(&mut self, announcement: &Announcement) -> DescriptionNumber {
        self.last += 1;
        if self.kept.len() >= KEPT_DESCRIPTIONS {
            self.kept.pop_front();
        }
        self.kept.push_back(Description {
            number: self.last,
            instance: announcement.instance.clone(),
            started_ms: announcement.started_ms,
            service: announcement.service.clone(),
            labels: announcement.labels.clone(),
        });
        self.last
    }

    fn get(&self, number: DescriptionNumber) -> Option<&Description> {
        self.kept.iter().find(|known| known.number == number)
    }
}

impl Supervisor {
    /// Takes the orders that were refused or returned since the last call because the upstream is not the one
    /// that they were placed for.
    pub fn take_outdated_orders(&mut self) -> Vec<OutdatedOrder> {
        std::mem::take(&mut self.outdated_orders)
    }

    /// Returns whether an order names another description than that of the present upstream.
    pub(super) fn is_outdated(&self, order: &RunOrder) -> bool {
        let present = self.upstream.as_ref().map(|upstream| upstream.description);
        let is_other = order.description.is_some() && order.description != present;
        is_other && self.policy.rules.compares_descriptions
    }

    /// Records an order that is held and will not be started, if it is outdated.
    pub(super) fn note_outdated(&mut self, now: Instant, key: OrderKey) {
        let order = self.orders[key].clone();
        self.note_refused(now, order.owner, &order.order);
    }

    /// Records an order that is refused on arrival, if it is outdated.
    pub(super) fn note_refused(&mut self, now: Instant, owner: Incarnation, order: &RunOrder) {
        let Some(wanted) = order.description.filter(|_| self.is_outdated(order)) else {
            return;
        };
        let present = self.upstream.as_ref().map(|upstream| upstream.description);
        let found = present.and_then(|number| self.descriptions.get(number));
        let reported_at = self.links.description_reported_at(owner, wanted);
        self.outdated_orders.push(OutdatedOrder {
            task: order.task.clone(),
            owner,
            wanted,
            wanted_upstream: self.descriptions.get(wanted).cloned(),
            found_upstream: found.cloned(),
            state_age: reported_at.map(|at| now.saturating_duration_since(at)),
        });
    }

    /// Returns the waiting orders that were placed for another description.
    pub(super) fn return_outdated(&mut self, now: Instant) {
        let waiting: Vec<_> = self.waiting.iter().map(|&(_, _, key)| key).collect();
        for key in waiting {
            if self.is_outdated(&self.orders[key].order) {
                self.note_outdated(now, key);
                self.finish_unstarted(now, key);
            }
        }
    }
}
