//! Telling agents of the backlog, in as few messages as will do.

use std::collections::BTreeMap;
use std::time::Instant;

use hemlockhook_types::{Incarnation, ServiceName};

use crate::queue::Queue;
use crate::spec::Demand;
use crate::upstreams::Upstreams;

/// Offset of [`Demand::head_urgency`], so that what is overdue can be told in an unsigned number.
pub const URGENCY_OFFSET_MS: u64 = 1 << 31;

/// Speed ranges by which an upstream has to be faster than what is ready for its agent to be told of
/// work that waits for it: nearly three times as fast.
const MIN_GAIN: usize = 12;

/// Agents that are told of a backlog at one time in messages of their own.
const MAX_TOLD_AT_ONCE: usize = 4;

/// Collects the backlogs that are to be told.
#[derive(Debug, Default)]
pub struct Backlogs {
    placed: Vec<Incarnation>,
}

/// What is queued of one service.
#[derive(Clone, Copy, Debug)]
struct Total {
    queued: u32,
    queued_long: u32,
    head: u64,
}

impl Backlogs {
    /// Notes that a start goes to an agent: its backlog can be told along with it.
    pub fn placed(&mut self, agent: Incarnation) {
        self.placed.push(agent);
    }

    /// Returns the backlogs to be told: to agents that are sent a start anyway, and, for what no agent
    /// was told of yet, to the fastest that were told of nothing.
    pub fn demands(
        &mut self,
        now: Instant,
        now_us: u64,
        queue: &Queue,
        upstreams: &mut Upstreams,
    ) -> Vec<(Incarnation, Demand)> {
        let mut placed = std::mem::take(&mut self.placed);
        if placed.is_empty() && queue.tasks() == 0 {
            return Vec::new();
        }
        let totals = totals(queue);
        placed.sort_unstable();
        placed.dedup();
        let mut demands = Vec::new();
        for agent in placed {
            let Some(upstream) = upstreams.get(agent) else {
                continue;
            };
            let demand = demand_for(now, agent, upstreams, &totals, now_us);
            if demand.queued != upstream.told.queued || demand.queued > 0 {
                demands.push((agent, demand));
                upstreams.change(now, agent, |upstream| upstream.tell(now, demand));
            }
        }
        for (service, total) in &totals {
            for _ in 0..MAX_TOLD_AT_ONCE {
                let Some(agent) = next_untold(upstreams, service, total) else {
                    break;
                };
                let demand = demand_for(now, agent, upstreams, &totals, now_us);
                demands.push((agent, demand));
                upstreams.change(now, agent, |upstream| upstream.tell(now, demand));
            }
        }
        demands
    }
}

/// Returns the fastest agent that holds no grant and knows of no backlog, if tasks are queued that no
/// agent knows of.
fn next_untold(upstreams: &Upstreams, service: &ServiceName, total: &Total) -> Option<Incarnation> {
    let fleet = upstreams.fleet(service)?;
    let best_ready = fleet.ready.first().map(|rank| rank.bucket);
    let first = fleet.silent.first()?;
    let faster = best_ready.is_none_or(|ready| first.bucket.0 >= ready.0 + MIN_GAIN);
    (u64::from(total.queued) > fleet.told && faster).then_some(first.agent)
}

/// Returns the backlog of one upstream: tasks of its services that do not wait for a faster one.
fn demand_for(
    now: Instant,
    agent: Incarnation,
    upstreams: &Upstreams,
    totals: &BTreeMap<ServiceName, Total>,
    now_us: u64,
) -> Demand {
    let Some(upstream) = upstreams
        .get(agent)
        .filter(|upstream| upstream.wants_grants())
    else {
        return Demand::default();
    };
    let mut demand = Demand {
        queued: 0,
        head_urgency: u64::MAX,
        queued_long: 0,
    };
    for service in &upstream.spec.services {
        let (Some(total), Some(fleet)) = (totals.get(service), upstreams.fleet(service)) else {
            continue;
        };
        if fleet
            .ready
            .first()
            .is_some_and(|r| r.bucket.0 + MIN_GAIN > upstream.bucket())
        {
            continue;
        }
        // What other agents were told of is not told to this one as well.
        let told_others = fleet
            .told
            .saturating_sub(u64::from(upstream.expected_grants(now)))
            as u32;
        demand.queued += total.queued.saturating_sub(told_others);
        demand.queued_long += total.queued_long;
        demand.head_urgency = demand.head_urgency.min(relative_ms(total.head, now_us));
    }
    if demand.queued == 0 {
        return Demand::default();
    }
    demand.queued = demand.queued.min(upstream.spec.slots);
    demand.queued_long = demand.queued_long.min(demand.queued);
    demand
}

fn relative_ms(urgency_us: u64, now_us: u64) -> u64 {
    (URGENCY_OFFSET_MS + urgency_us / 1000).saturating_sub(now_us / 1000)
}

fn totals(queue: &Queue) -> BTreeMap<ServiceName, Total> {
    let mut totals = BTreeMap::new();
    for (key, lane) in queue.lanes() {
        let total = totals.entry(key.service.clone()).or_insert(Total {
            queued: 0,
            queued_long: 0,
            head: u64::MAX,
        });
        total.queued += lane.tasks() as u32;
        total.queued_long += if key.long { lane.tasks() as u32 } else { 0 };
        total.head = total.head.min(lane.head());
    }
    totals
}
