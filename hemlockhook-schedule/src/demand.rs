//! Reports the backlog of an entry to agents as demand, in as few messages as possible.

use std::collections::BTreeMap;
use std::time::Instant;

use hemlockhook_types::{Incarnation, ServiceName};

use crate::queue::Queue;
use crate::spec::Demand;
use crate::upstreams::Upstreams;

/// Offset of [`Demand::head_urgency`], which is unsigned but must also express overdue work.
pub const URGENCY_OFFSET_MS: u64 = 1 << 31;

/// Number of speed buckets by which an upstream must be faster than the fastest ready one before
/// its agent is sent demand for waiting work. 12 buckets are a factor of nearly three.
const MIN_SPEEDUP_BUCKETS: usize = 12;

/// Maximum number of agents per service that are sent demand at one time although no start is sent
/// to them, which costs a message each.
const MAX_EXTRA_REPORTS: usize = 4;

/// Decides which agents are sent the current backlog.
#[derive(Debug, Default)]
pub struct DemandReporter {
    start_targets: Vec<Incarnation>,
}

/// Queued tasks of one service.
#[derive(Clone, Copy, Debug)]
struct ServiceBacklog {
    queued: u32,
    queued_long: u32,
    head_deadline_us: u64,
}

impl DemandReporter {
    /// Records that a start is sent to an agent, so that demand can be sent in the same message.
    pub fn add_start_target(&mut self, agent: Incarnation) {
        self.start_targets.push(agent);
    }

    /// Returns the demand to send: to agents that are sent a start anyway, and, for tasks that no
    /// agent knows of yet, to the agents of the fastest upstreams that are candidates for it.
    pub fn take_demands(
        &mut self,
        now: Instant,
        now_us: u64,
        queue: &Queue,
        upstreams: &mut Upstreams,
    ) -> Vec<(Incarnation, Demand)> {
        let mut start_targets = std::mem::take(&mut self.start_targets);
        if start_targets.is_empty() && queue.tasks() == 0 {
            return Vec::new();
        }
        let backlogs = backlogs(queue);
        start_targets.sort_unstable();
        start_targets.dedup();
        let mut demands = Vec::new();
        for agent in start_targets {
            let Some(upstream) = upstreams.get(agent) else {
                continue;
            };
            let demand = demand_for(now, agent, upstreams, &backlogs, now_us);
            if demand.queued != upstream.reported_demand.queued || demand.queued > 0 {
                demands.push((agent, demand));
                upstreams.update(now, agent, |upstream| {
                    upstream.set_reported_demand(now, demand)
                });
            }
        }
        for (service, backlog) in &backlogs {
            for _ in 0..MAX_EXTRA_REPORTS {
                let Some(agent) = next_demand_candidate(upstreams, service, backlog) else {
                    break;
                };
                let demand = demand_for(now, agent, upstreams, &backlogs, now_us);
                demands.push((agent, demand));
                upstreams.update(now, agent, |upstream| {
                    upstream.set_reported_demand(now, demand)
                });
            }
        }
        demands
    }
}

/// Returns the fastest candidate for a report of demand, if there are queued tasks that no agent
/// knows of and it is much faster than every upstream that is ready.
fn next_demand_candidate(
    upstreams: &Upstreams,
    service: &ServiceName,
    backlog: &ServiceBacklog,
) -> Option<Incarnation> {
    let pool = upstreams.pool(service)?;
    let best_ready = pool.ready.first().map(|rank| rank.speed_bucket);
    let first = pool.demand_candidates.first()?;
    let faster =
        best_ready.is_none_or(|ready| first.speed_bucket.0 >= ready.0 + MIN_SPEEDUP_BUCKETS);
    (u64::from(backlog.queued) > pool.expected_grants && faster).then_some(first.agent)
}

/// Returns the demand for one upstream: the queued tasks of its services, except services for which
/// an upstream is ready that is not much slower, and tasks that were reported to other agents.
fn demand_for(
    now: Instant,
    agent: Incarnation,
    upstreams: &Upstreams,
    backlogs: &BTreeMap<ServiceName, ServiceBacklog>,
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
        let (Some(backlog), Some(pool)) = (backlogs.get(service), upstreams.pool(service)) else {
            continue;
        };
        if pool
            .ready
            .first()
            .is_some_and(|r| r.speed_bucket.0 + MIN_SPEEDUP_BUCKETS > upstream.speed_bucket())
        {
            continue;
        }
        // Tasks that were reported to other agents are not reported to this one as well.
        let reported_elsewhere =
            pool.expected_grants
                .saturating_sub(u64::from(upstream.expected_grants(now))) as u32;
        demand.queued += backlog.queued.saturating_sub(reported_elsewhere);
        demand.queued_long += backlog.queued_long;
        demand.head_urgency = demand
            .head_urgency
            .min(relative_urgency_ms(backlog.head_deadline_us, now_us));
    }
    if demand.queued == 0 {
        return Demand::default();
    }
    demand.queued = demand.queued.min(upstream.spec.slots);
    demand.queued_long = demand.queued_long.min(demand.queued);
    demand
}

fn relative_urgency_ms(virtual_deadline_us: u64, now_us: u64) -> u64 {
    (URGENCY_OFFSET_MS + virtual_deadline_us / 1000).saturating_sub(now_us / 1000)
}

fn backlogs(queue: &Queue) -> BTreeMap<ServiceName, ServiceBacklog> {
    let mut backlogs = BTreeMap::new();
    for (key, sub_queue) in queue.sub_queues() {
        let backlog = backlogs
            .entry(key.service.clone())
            .or_insert(ServiceBacklog {
                queued: 0,
                queued_long: 0,
                head_deadline_us: u64::MAX,
            });
        backlog.queued += sub_queue.tasks() as u32;
        backlog.queued_long += if key.long {
            sub_queue.tasks() as u32
        } else {
            0
        };
        backlog.head_deadline_us = backlog.head_deadline_us.min(sub_queue.head());
    }
    backlogs
}
