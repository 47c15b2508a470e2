//! The gate at an agent, which every task start has to pass.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use hemlockhook_types::{
    Ballot, FIRST_OFFSET, Incarnation, JobKey, ShardId, TaskIndex, TaskResult,
};

use crate::epoch::{base_ballot, marker_retention};
use crate::messages::{Custody, FenceReport, StartOrder, StartRecord, StartRefusal, Withdrawal};
use crate::record::Record;
use crate::rules::Rules;
use crate::starts::StartMarkers;

/// Default time for which starts are accepted after an announcement: 6 hours.
pub const DEFAULT_LEASE: Duration = Duration::from_secs(6 * 60 * 60);

/// Default of the longest interval at which announcements and takeover records are appended again:
/// 5 minutes.
pub const DEFAULT_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5 * 60);

/// Limits and times of a [`Gate`].
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// Minimum time for which starts are kept after the task's end. Must be the same in all
    /// processes.
    pub window: Duration,
    /// Maximum number of start markers held.
    pub max_starts: usize,
    /// Maximum size in bytes of all results held.
    pub max_result_bytes: usize,
    /// Time for which starts are accepted after the announcement was last appended. Must be the
    /// same in all processes.
    pub lease: Duration,
    /// Longest interval at which each owner appends its ballots again while the log is up.
    pub announce_interval: Duration,
    #[doc(hidden)]
    pub rules: Rules,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            max_starts: 100_000,
            max_result_bytes: 8 << 20,
            lease: DEFAULT_LEASE,
            announce_interval: DEFAULT_ANNOUNCE_INTERVAL,
            rules: Rules::default(),
        }
    }
}

/// Decides at an agent which starts are allowed, and keeps a marker of each.
#[derive(Debug)]
pub struct Gate {
    cfg: GateConfig,
    incarnation: Incarnation,
    floors: HashMap<ShardId, Ballot>,
    starts: StartMarkers,
    /// Offset and log time of the first record that was read.
    first_record: Option<(u64, Duration)>,
    /// Log time of the newest announcement of this agent that was read.
    own_announcement: Option<Duration>,
    withdrawn: BTreeMap<JobKey, Withdrawal>,
    /// Keys of the withdrawals, oldest first, for expiry.
    withdrawn_at: VecDeque<(Instant, JobKey)>,
    /// Agents whose records were adopted, with the time of the adoption.
    adopted: Vec<(Incarnation, Instant)>,
    joined: bool,
    /// Send time of the newest announcement that was appended to the log.
    last_announced: Option<Instant>,
    leaving: bool,
    sealed: bool,
}

impl Gate {
    /// Creates the gate of an agent that has not joined.
    pub fn new(cfg: GateConfig, incarnation: Incarnation) -> Self {
        Self {
            cfg,
            incarnation,
            floors: HashMap::new(),
            starts: StartMarkers::default(),
            first_record: None,
            own_announcement: None,
            withdrawn: BTreeMap::new(),
            withdrawn_at: VecDeque::new(),
            adopted: Vec::new(),
            joined: false,
            last_announced: None,
            leaving: false,
            sealed: false,
        }
    }

    /// Returns the agent's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Applies a record of the membership stream. A record that this agent left closes the gate
    /// permanently, because owners then stop tracking its starts.
    pub fn apply_record(&mut self, record: &Record) {
        match record {
            Record::Takeover { shards, ballot } => {
                for shard in shards {
                    self.raise_floor(*shard, *ballot);
                }
            }
            Record::Left { incarnation, .. } if *incarnation == self.incarnation => {
                self.sealed = true
            }
            Record::Left { .. } | Record::Agent { .. } | Record::Entry { .. } => {}
        }
    }

    /// Handles the next record of the membership stream, given its offset and the time by the log's
    /// clock at which it was written. Applies the record as [`Gate::apply_record`] does, and tracks
    /// how far back the records reach.
    pub fn on_record(&mut self, offset: u64, written: Duration, record: &Record) {
        self.first_record.get_or_insert((offset, written));
        match record {
            Record::Agent { incarnation, .. } if *incarnation == self.incarnation => {
                self.own_announcement = Some(written);
            }
            _ => {}
        }
        self.apply_record(record);
    }

    /// Returns whether the records read reach back far enough before this agent's announcement to
    /// join, that is, whether every owner that could have started a task inside the window has
    /// appended its ballot since the first record.
    pub fn may_join(&self) -> bool {
        let span = self.cfg.window + self.cfg.announce_interval;
        match (self.first_record, self.own_announcement) {
            _ if !self.cfg.rules.log_coverage => true,
            (None, _) => true,
            (Some((offset, _)), _) if offset <= FIRST_OFFSET => true,
            (Some((_, first)), Some(own)) => first + span <= own,
            _ => false,
        }
    }

    /// Starts accepting starts. Must be called only once the announcement of this incarnation is in
    /// the log and the log has been read to its end since.
    pub fn join(&mut self) {
        self.joined = true;
    }

    /// Handles the successful append of an announcement of this incarnation that was sent at
    /// `sent`, and renews the lease. If the lease had expired by then, the gate accepts starts only
    /// after another [`Gate::join`]: owners need not know an agent that was not announced for the
    /// length of its lease, so a takeover without its report may have been recorded meanwhile.
    pub fn on_announced(&mut self, sent: Instant) {
        if self.cfg.rules.rejoin && self.lease_expired(sent) {
            self.joined = false;
        }
        self.last_announced = self.last_announced.max(Some(sent));
    }

    /// Returns whether the agent has joined.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Sets whether the agent is leaving. A leaving agent refuses every start.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Decides on a start, and marks the task as started if it is allowed.
    pub fn try_start(&mut self, now: Instant, order: &StartOrder) -> Result<(), StartRefusal> {
        self.check_start(now, order)?;
        self.raise_floor(order.shard, order.ballot);
        self.starts.insert(order);
        Ok(())
    }

    /// Decides on a start without marking it.
    pub fn check_start(&self, now: Instant, order: &StartOrder) -> Result<(), StartRefusal> {
        let rules = self.cfg.rules;
        let floor = self.floor(order.shard);
        if rules.floor && base_ballot(order.ballot) < floor {
            return Err(StartRefusal::StaleBallot(floor));
        }
        if rules.marker && self.starts.contains(&order.key, order.index) {
            return Err(StartRefusal::AlreadyStarted);
        }
        if self.withdrawn.contains_key(&order.key) {
            return Err(StartRefusal::AlreadyStarted);
        }
        if rules.join && !self.joined || rules.lease && self.lease_expired(now) {
            return Err(StartRefusal::NotJoined);
        }
        if self.leaving || self.sealed {
            return Err(StartRefusal::Leaving);
        }
        if self.starts.count() >= self.cfg.max_starts {
            return Err(StartRefusal::Full);
        }
        Ok(())
    }

    /// Stores a withdrawal, after which the owner may answer the job as not run or unknown. Later
    /// owners of the shard learn of it from this agent's reports.
    pub fn withdraw(
        &mut self,
        now: Instant,
        ballot: Ballot,
        withdrawal: &Withdrawal,
    ) -> Result<(), StartRefusal> {
        let floor = self.floor(withdrawal.shard);
        if base_ballot(ballot) < floor {
            return Err(StartRefusal::StaleBallot(floor));
        }
        if self.starts.contains_job(&withdrawal.key) && !withdrawal.is_closed() {
            return Err(StartRefusal::AlreadyStarted);
        }
        if !self.joined || self.lease_expired(now) {
            return Err(StartRefusal::NotJoined);
        }
        if self.sealed {
            return Err(StartRefusal::Leaving);
        }
        if self.withdrawn.len() >= self.cfg.max_starts {
            return Err(StartRefusal::Full);
        }

        self.raise_floor(withdrawal.shard, ballot);
        self.insert_withdrawal(now, withdrawal);
        Ok(())
    }

    /// Stores the result of a task. A second result of the same task is ignored.
    pub fn finish_task(
        &mut self,
        now: Instant,
        key: &JobKey,
        index: TaskIndex,
        result: TaskResult,
    ) {
        self.starts.finish(now, key, index, result);
        self.starts.evict(self.cfg.max_result_bytes);
    }

    /// Raises the floors of shards and returns the starts held for them. Shards whose floor is
    /// already higher are refused.
    pub fn fence(&mut self, _now: Instant, shards: &[ShardId], ballot: Ballot) -> FenceReport {
        let mut report = FenceReport::default();
        let mut fenced = Vec::with_capacity(shards.len());
        for shard in shards {
            let floor = self.floor(*shard);
            if base_ballot(ballot) < floor {
                report.refused.push((*shard, floor));
                continue;
            }
            self.raise_floor(*shard, ballot);
            fenced.push(*shard);
        }

        report.records = self.starts.records(|shard| fenced.contains(&shard));
        let withdrawn = self.withdrawn.values();
        report.withdrawn = withdrawn
            .filter(|withdrawal| fenced.contains(&withdrawal.shard))
            .cloned()
            .collect();
        report.adopted = self.adopted.iter().map(|(agent, _)| *agent).collect();
        report
    }

    /// Closes the gate permanently and returns everything that it holds, for another agent to
    /// adopt. Returns `None` while a task runs or the agent is not leaving.
    pub fn seal(&mut self) -> Option<Custody> {
        if self.starts.running() > 0 || !self.leaving {
            return None;
        }
        self.sealed = true;
        let adopted = self.adopted.iter().map(|(agent, _)| *agent);
        Some(Custody {
            agents: std::iter::once(self.incarnation).chain(adopted).collect(),
            records: self.starts.records(|_| true),
            withdrawn: self.withdrawn.values().cloned().collect(),
        })
    }

    /// Adopts the records of a leaving agent and includes them in all later reports. Once this has
    /// returned `Ok`, the leaving agent may announce this one as its custodian.
    pub fn adopt(&mut self, now: Instant, custody: &Custody) -> Result<(), StartRefusal> {
        if !self.joined {
            return Err(StartRefusal::NotJoined);
        }
        if self.leaving || self.sealed {
            return Err(StartRefusal::Leaving);
        }
        let withdrawn = self.withdrawn.len() + custody.withdrawn.len();
        if withdrawn.max(self.starts.count() + custody.records.len()) > self.cfg.max_starts {
            return Err(StartRefusal::Full);
        }

        for record in &custody.records {
            if !self.starts.contains(&record.key, record.index) {
                self.insert_record(now, record);
            }
        }
        for withdrawal in &custody.withdrawn {
            self.insert_withdrawal(now, withdrawal);
        }
        for agent in &custody.agents {
            self.adopted.retain(|(known, _)| known != agent);
            self.adopted.push((*agent, now));
        }
        self.starts.evict(self.cfg.max_result_bytes);
        Ok(())
    }

    /// Returns the highest ballot seen for a shard, below which starts are refused.
    pub fn floor(&self, shard: ShardId) -> Ballot {
        self.floors.get(&shard).copied().unwrap_or_default()
    }

    /// Removes starts that ended, and withdrawals and adoptions that were stored, longer ago than
    /// the retention time of markers.
    pub fn expire(&mut self, now: Instant) {
        let kept = marker_retention(self.cfg.window);
        let due = |at: Instant| now.saturating_duration_since(at) > kept;
        self.starts.expire(due);
        while let Some((_, key)) = self.withdrawn_at.pop_front_if(|(at, _)| due(*at)) {
            self.withdrawn.remove(&key);
        }
        self.adopted.retain(|(_, at)| !due(*at));
    }

    /// Returns the number of running tasks.
    pub fn running_count(&self) -> usize {
        self.starts.running()
    }

    /// Returns the number of start markers held.
    pub fn marker_count(&self) -> usize {
        self.starts.count()
    }

    fn raise_floor(&mut self, shard: ShardId, ballot: Ballot) {
        let floor = self.floors.entry(shard).or_default();
        let raised = base_ballot(ballot).max(*floor);
        assert!(raised >= *floor, "the floor of a shard must not decrease");
        *floor = raised;
    }

    fn lease_expired(&self, now: Instant) -> bool {
        self.last_announced
            .is_some_and(|sent| now.saturating_duration_since(sent) > self.cfg.lease)
    }

    fn insert_withdrawal(&mut self, now: Instant, withdrawal: &Withdrawal) {
        let key = withdrawal.key.clone();
        if self
            .withdrawn
            .insert(key.clone(), withdrawal.clone())
            .is_none()
        {
            self.withdrawn_at.push_back((now, key));
        }
    }

    /// Stores a start that another agent made.
    fn insert_record(&mut self, now: Instant, record: &StartRecord) {
        let order = StartOrder {
            key: record.key.clone(),
            index: record.index,
            job_tasks: record.job_tasks,
            fingerprint: record.fingerprint,
            shard: record.shard,
            ballot: Ballot::default(),
            service: record.service.clone(),
            idempotent: record.idempotent,
        };
        self.starts.insert(&order);
        if let Some(result) = &record.result {
            self.starts
                .finish(now, &record.key, record.index, result.clone());
        }
    }
}
