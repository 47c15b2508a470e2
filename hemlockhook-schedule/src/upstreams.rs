//! All upstreams that an entry is linked to, and the index of them by service and speed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use hemlockhook_types::{Incarnation, ServiceName};

use crate::fleet::{Fleet, Rank, bucket_speed};
use crate::spec::{UpstreamSnapshot, UpstreamSpec};
use crate::upstream::Upstream;

/// The upstreams of one entry.
#[derive(Debug)]
pub struct Upstreams {
    data_center: Arc<str>,
    all: BTreeMap<Incarnation, (Upstream, Indexed)>,
    index: Index,
}

/// Finds upstreams without a scan.
#[derive(Debug, Default)]
struct Index {
    fleets: HashMap<ServiceName, Fleet>,
    due: BTreeSet<(Instant, Incarnation)>,
    useless: BTreeSet<Incarnation>,
    grants: u32,
    slots: u32,
    ready: u32,
}

/// What the index holds of an upstream.
#[derive(Clone, Copy, Debug)]
struct Indexed {
    rank: Rank,
    ready: bool,
    silent: bool,
    failing: bool,
    useless: bool,
    grants: u32,
    slots: u32,
    told: u32,
    flow: u64,
    due: Option<Instant>,
}

impl Upstreams {
    /// Creates the upstreams of an entry in `data_center`.
    pub fn new(data_center: &str) -> Self {
        Self {
            data_center: data_center.into(),
            all: BTreeMap::new(),
            index: Index::default(),
        }
    }

    /// Adds an upstream. One that is known keeps its grants and what was learned of it.
    pub fn add(&mut self, now: Instant, agent: Incarnation, spec: UpstreamSpec) {
        let mut upstream = self
            .take(agent)
            .unwrap_or_else(|| Upstream::new(spec.clone()));
        upstream.spec = spec;
        let indexed = self.indexed(now, agent, &upstream);
        self.index.insert(&upstream.spec.services, &indexed);
        self.all.insert(agent, (upstream, indexed));
    }

    /// Removes an upstream, with the grants held for it.
    pub fn remove(&mut self, agent: Incarnation) {
        self.take(agent);
    }

    fn take(&mut self, agent: Incarnation) -> Option<Upstream> {
        let (upstream, indexed) = self.all.remove(&agent)?;
        self.index.remove(&upstream.spec.services, &indexed);
        Some(upstream)
    }

    /// Changes an upstream and brings the index up to date.
    pub fn change<F>(&mut self, now: Instant, agent: Incarnation, change: F)
    where
        F: FnOnce(&mut Upstream),
    {
        let Some(mut upstream) = self.take(agent) else {
            return;
        };
        change(&mut upstream);
        upstream.tick(now);
        let indexed = self.indexed(now, agent, &upstream);
        self.index.insert(&upstream.spec.services, &indexed);
        self.all.insert(agent, (upstream, indexed));
    }

    /// Returns an upstream.
    pub fn get(&self, agent: Incarnation) -> Option<&Upstream> {
        self.all.get(&agent).map(|(upstream, _)| upstream)
    }

    /// Returns the upstreams of a service, if there are any.
    pub fn fleet(&self, service: &ServiceName) -> Option<&Fleet> {
        self.index.fleets.get(service)
    }

    /// Returns whether a task of some service may be placed now.
    pub fn any_ready(&self) -> bool {
        self.index.ready > 0
    }

    /// Returns the grants held, over all upstreams.
    pub fn grants(&self) -> u32 {
        self.index.grants
    }

    /// Returns the slots of all upstreams, whoever holds them.
    pub fn slots(&self) -> u32 {
        self.index.slots
    }

    /// Returns the speed of an upstream.
    pub fn speed(&self, agent: Incarnation) -> f64 {
        self.get(agent).map_or(1.0, Upstream::speed)
    }

    /// Returns the speed of the fastest upstream of a service.
    pub fn fastest_speed(&self, service: &ServiceName) -> f64 {
        let fastest = self.fleet(service).and_then(|fleet| fleet.all.first());
        fastest.map_or(1.0, |rank| bucket_speed(rank.bucket.0))
    }

    /// Gives up grants of an upstream, and returns how many.
    pub fn take_grants(&mut self, now: Instant, agent: Incarnation, count: u32) -> u32 {
        let count = count.min(self.get(agent).map_or(0, |upstream| upstream.grants));
        self.change(now, agent, |upstream| upstream.grants -= count);
        count
    }

    /// Gives up the grants that may not be used.
    pub fn take_useless_grants(&mut self, now: Instant) -> Vec<(Incarnation, u32)> {
        let useless: Vec<Incarnation> = self.index.useless.iter().copied().collect();
        let give_up = |agent: Incarnation| {
            let count = self.get(agent).map_or(0, Upstream::useless_grants);
            (agent, self.take_grants(now, agent, count))
        };
        useless.into_iter().map(give_up).collect()
    }

    /// Notes that a task failed, and judges the upstream by its peers.
    pub fn failed(&mut self, now: Instant, agent: Incarnation, service: &ServiceName) {
        let Some(upstream) = self.get(agent) else {
            return;
        };
        let own = u32::from(upstream.is_failing());
        let peers = self
            .fleet(service)
            .map_or((0, 0), |f| (f.failing - own, f.all.len() as u32 - 1));
        let peers_fail = peers.1 > 0 && 2 * peers.0 > peers.1;
        self.change(now, agent, |upstream| {
            upstream.failed(now, peers_fail);
            assert!(
                upstream.exposure() <= upstream.exposure_bound(),
                "an upstream that only fails was given {} tasks",
                upstream.exposure(),
            );
        });
    }

    /// Brings upstreams up to date whose probe or higher limit is due.
    pub fn tick(&mut self, now: Instant) {
        let due: Vec<Incarnation> = self
            .index
            .due
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, agent)| *agent)
            .collect();
        due.into_iter()
            .for_each(|agent| self.change(now, agent, |_| {}));
    }

    /// Returns when `tick` is due.
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

    fn indexed(&self, now: Instant, agent: Incarnation, upstream: &Upstream) -> Indexed {
        let far = upstream.spec.data_center != self.data_center;
        Indexed {
            rank: Rank {
                bucket: Reverse(upstream.bucket()),
                far,
                agent,
            },
            ready: upstream.is_ready(now),
            silent: upstream.grants == 0
                && upstream.flow == 0
                && upstream.told.queued == 0
                && upstream.wants_grants(),
            failing: upstream.is_failing(),
            useless: upstream.useless_grants() > 0,
            grants: upstream.grants,
            slots: upstream.spec.slots,
            told: upstream.expected_grants(now),
            flow: upstream.flow,
            due: upstream.next_tick().filter(|at| *at > now),
        }
    }
}

impl Index {
    fn insert(&mut self, services: &[ServiceName], indexed: &Indexed) {
        for service in services {
            self.fleets
                .entry(service.clone())
                .or_default()
                .insert(indexed);
        }
        let agent = indexed.rank.agent;
        self.grants += indexed.grants;
        self.slots += indexed.slots;
        self.ready += u32::from(indexed.ready);
        self.due.extend(indexed.due.map(|at| (at, agent)));
        self.useless.extend(indexed.useless.then_some(agent));
    }

    fn remove(&mut self, services: &[ServiceName], indexed: &Indexed) {
        for service in services {
            let fleet = self
                .fleets
                .get_mut(service)
                .expect("an indexed upstream is in its fleets");
            fleet.remove(indexed);
            if fleet.all.is_empty() {
                self.fleets.remove(service);
            }
        }
        let agent = indexed.rank.agent;
        self.grants -= indexed.grants;
        self.slots -= indexed.slots;
        self.ready -= u32::from(indexed.ready);
        indexed.due.map(|at| self.due.remove(&(at, agent)));
        self.useless.remove(&agent);
    }
}

impl Fleet {
    fn insert(&mut self, indexed: &Indexed) {
        let rank = indexed.rank;
        self.all.insert(rank);
        self.ready.extend(indexed.ready.then_some(rank));
        self.silent.extend(indexed.silent.then_some(rank));
        self.failing += u32::from(indexed.failing);
        self.told += u64::from(indexed.told);
        self.add_flow(rank.bucket.0, indexed.flow);
    }

    fn remove(&mut self, indexed: &Indexed) {
        let rank = indexed.rank;
        self.all.remove(&rank);
        self.ready.remove(&rank);
        self.silent.remove(&rank);
        self.failing -= u32::from(indexed.failing);
        self.told -= u64::from(indexed.told);
        self.remove_flow(rank.bucket.0, indexed.flow);
    }
}
