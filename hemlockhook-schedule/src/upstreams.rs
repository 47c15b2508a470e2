//! The upstreams that an entry is linked to, with an index by service and speed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use hemlockhook_types::{Incarnation, ServiceName};

use crate::pool::{Rank, UpstreamPool, bucket_speed};
use crate::spec::{UpstreamSnapshot, UpstreamSpec};
use crate::upstream::Upstream;

/// The upstreams of one entry.
#[derive(Debug)]
pub struct Upstreams {
    data_center: Arc<str>,
    all: BTreeMap<Incarnation, (Upstream, IndexEntry)>,
    index: Index,
}

/// Index of the upstreams, so that a lookup scans none of them.
#[derive(Debug, Default)]
struct Index {
    pools: HashMap<ServiceName, UpstreamPool>,
    due: BTreeSet<(Instant, Incarnation)>,
    with_unusable_grants: BTreeSet<Incarnation>,
    grants: u32,
    slots: u32,
    ready: u32,
}

/// The values under which an upstream is indexed.
#[derive(Clone, Copy, Debug)]
struct IndexEntry {
    rank: Rank,
    ready: bool,
    is_demand_candidate: bool,
    failing: bool,
    has_unusable_grants: bool,
    grants: u32,
    slots: u32,
    expected_grants: u32,
    completion_rate: u64,
    due: Option<Instant>,
}

impl Upstreams {
    /// Creates an empty set for an entry in `data_center`.
    pub fn new(data_center: &str) -> Self {
        Self {
            data_center: data_center.into(),
            all: BTreeMap::new(),
            index: Index::default(),
        }
    }

    /// Adds an upstream. If it is already known, its grants and learned state are kept.
    pub fn add(&mut self, now: Instant, agent: Incarnation, spec: UpstreamSpec) {
        let mut upstream = self
            .detach(agent)
            .unwrap_or_else(|| Upstream::new(spec.clone()));
        upstream.spec = spec;
        let index_entry = self.index_entry(now, agent, &upstream);
        self.index.insert(&upstream.spec.services, &index_entry);
        self.all.insert(agent, (upstream, index_entry));
    }

    /// Removes an upstream and the grants held for it.
    pub fn remove(&mut self, agent: Incarnation) {
        self.detach(agent);
    }

    fn detach(&mut self, agent: Incarnation) -> Option<Upstream> {
        let (upstream, index_entry) = self.all.remove(&agent)?;
        self.index.remove(&upstream.spec.services, &index_entry);
        Some(upstream)
    }

    /// Updates an upstream and its place in the index.
    pub fn update<F>(&mut self, now: Instant, agent: Incarnation, update: F)
    where
        F: FnOnce(&mut Upstream),
    {
        let Some(mut upstream) = self.detach(agent) else {
            return;
        };
        update(&mut upstream);
        upstream.tick(now);
        let index_entry = self.index_entry(now, agent, &upstream);
        self.index.insert(&upstream.spec.services, &index_entry);
        self.all.insert(agent, (upstream, index_entry));
    }

    /// Returns an upstream.
    pub fn get(&self, agent: Incarnation) -> Option<&Upstream> {
        self.all.get(&agent).map(|(upstream, _)| upstream)
    }

    /// Returns the upstreams that run a service, if there are any.
    pub fn pool(&self, service: &ServiceName) -> Option<&UpstreamPool> {
        self.index.pools.get(service)
    }

    /// Returns whether any upstream can be given a task now.
    pub fn any_ready(&self) -> bool {
        self.index.ready > 0
    }

    /// Returns the number of grants held for all upstreams.
    pub fn grants(&self) -> u32 {
        self.index.grants
    }

    /// Returns the number of slots of all upstreams, including those granted to other entries.
    pub fn slots(&self) -> u32 {
        self.index.slots
    }

    /// Returns the learned speed of an upstream.
    pub fn speed(&self, agent: Incarnation) -> f64 {
        self.get(agent).map_or(1.0, Upstream::speed)
    }

    /// Returns the speed of the fastest upstream that runs a service.
    pub fn fastest_speed(&self, service: &ServiceName) -> f64 {
        let fastest = self.pool(service).and_then(|pool| pool.all.first());
        fastest.map_or(1.0, |rank| bucket_speed(rank.speed_bucket.0))
    }

    /// Gives up at most `count` grants of an upstream and returns how many were given up.
    pub fn take_grants(&mut self, now: Instant, agent: Incarnation, count: u32) -> u32 {
        let count = count.min(self.get(agent).map_or(0, |upstream| upstream.grants));
        self.update(now, agent, |upstream| upstream.grants -= count);
        count
    }

    /// Gives up the grants that cannot be used, and returns their number for each agent.
    pub fn take_unusable_grants(&mut self, now: Instant) -> Vec<(Incarnation, u32)> {
        let agents: Vec<Incarnation> = self.index.with_unusable_grants.iter().copied().collect();
        let give_up = |agent: Incarnation| {
            let count = self.get(agent).map_or(0, Upstream::unusable_grants);
            (agent, self.take_grants(now, agent, count))
        };
        agents.into_iter().map(give_up).collect()
    }

    /// Records a failed task. It causes no quarantine while more than half of the upstream's peers
    /// are failing as well.
    pub fn record_failure(&mut self, now: Instant, agent: Incarnation, service: &ServiceName) {
        let Some(upstream) = self.get(agent) else {
            return;
        };
        let own_failure = u32::from(upstream.is_failing());
        let (failing, peers) = self.pool(service).map_or((0, 0), |pool| {
            (pool.failing - own_failure, pool.all.len() as u32 - 1)
        });
        let peers_failing = peers > 0 && 2 * failing > peers;
        self.update(now, agent, |upstream| {
            upstream.record_failure(now, peers_failing);
            assert!(
                upstream.unconfirmed_placements() <= upstream.max_unconfirmed_placements(),
                "{} tasks were placed on an upstream without a success, more than the bound",
                upstream.unconfirmed_placements(),
            );
        });
    }

    /// Updates the upstreams whose probe, limit raise or demand timeout is due.
    pub fn tick(&mut self, now: Instant) {
        let due: Vec<Incarnation> = self
            .index
            .due
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, agent)| *agent)
            .collect();
        due.into_iter()
            .for_each(|agent| self.update(now, agent, |_| {}));
    }

    /// Returns when `tick` must be called next.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.index.due.first().map(|(at, _)| *at)
    }

    /// Returns the state of each upstream.
    pub fn snapshots(&self) -> Vec<UpstreamSnapshot> {
        self.all
            .iter()
            .map(|(agent, (upstream, _))| upstream.snapshot(*agent))
            .collect()
    }

    fn index_entry(&self, now: Instant, agent: Incarnation, upstream: &Upstream) -> IndexEntry {
        let remote = upstream.spec.data_center != self.data_center;
        IndexEntry {
            rank: Rank {
                speed_bucket: Reverse(upstream.speed_bucket()),
                remote,
                agent,
            },
            ready: upstream.is_ready(now),
            is_demand_candidate: upstream.grants == 0
                && upstream.completion_rate == 0
                && upstream.reported_demand.queued == 0
                && upstream.wants_grants(),
            failing: upstream.is_failing(),
            has_unusable_grants: upstream.unusable_grants() > 0,
            grants: upstream.grants,
            slots: upstream.spec.slots,
            expected_grants: upstream.expected_grants(now),
            completion_rate: upstream.completion_rate,
            due: upstream.next_tick().filter(|at| *at > now),
        }
    }
}

impl Index {
    fn insert(&mut self, services: &[ServiceName], index_entry: &IndexEntry) {
        for service in services {
            self.pools
                .entry(service.clone())
                .or_default()
                .insert(index_entry);
        }
        let agent = index_entry.rank.agent;
        self.grants += index_entry.grants;
        self.slots += index_entry.slots;
        self.ready += u32::from(index_entry.ready);
        self.due.extend(index_entry.due.map(|at| (at, agent)));
        self.with_unusable_grants
            .extend(index_entry.has_unusable_grants.then_some(agent));
    }

    fn remove(&mut self, services: &[ServiceName], index_entry: &IndexEntry) {
        for service in services {
            let pool = self
                .pools
                .get_mut(service)
                .expect("an indexed upstream is in the pools of its services");
            pool.remove(index_entry);
            if pool.all.is_empty() {
                self.pools.remove(service);
            }
        }
        let agent = index_entry.rank.agent;
        self.grants -= index_entry.grants;
        self.slots -= index_entry.slots;
        self.ready -= u32::from(index_entry.ready);
        index_entry.due.map(|at| self.due.remove(&(at, agent)));
        self.with_unusable_grants.remove(&agent);
    }
}

impl UpstreamPool {
    fn insert(&mut self, index_entry: &IndexEntry) {
        let rank = index_entry.rank;
        self.all.insert(rank);
        self.ready.extend(index_entry.ready.then_some(rank));
        self.demand_candidates
            .extend(index_entry.is_demand_candidate.then_some(rank));
        self.failing += u32::from(index_entry.failing);
        self.expected_grants += u64::from(index_entry.expected_grants);
        self.add_completion_rate(rank.speed_bucket.0, index_entry.completion_rate);
    }

    fn remove(&mut self, index_entry: &IndexEntry) {
        let rank = index_entry.rank;
        self.all.remove(&rank);
        self.ready.remove(&rank);
        self.demand_candidates.remove(&rank);
        self.failing -= u32::from(index_entry.failing);
        self.expected_grants -= u64::from(index_entry.expected_grants);
        self.remove_completion_rate(rank.speed_bucket.0, index_entry.completion_rate);
    }
}
