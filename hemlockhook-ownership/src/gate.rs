//! The gate at an agent: the only place where tasks start.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use hemlockhook_types::{
    Ballot, FIRST_OFFSET, Incarnation, JobKey, ShardId, TaskIndex, TaskResult,
};

use crate::epoch::{base_ballot, marker_retention};
use crate::messages::{Custody, FenceReport, StartOrder, StartRecord, StartRefusal, Withdrawal};
use crate::record::Record;
use crate::rules::Rules;
use crate::starts::Starts;

/// Default time for which starts are taken after an announcement: 6 hours.
pub const DEFAULT_LEASE: Duration = Duration::from_secs(6 * 60 * 60);

/// Default of the longest time between two appends of a record that is kept up: 5 minutes.
pub const DEFAULT_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5 * 60);

/// Bounds of a [`Gate`].
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// Time for which starts are kept after the task's end. All processes must have the same.
    pub window: Duration,
    /// Highest number of start markers held.
    pub max_starts: usize,
    /// Highest number of bytes of results held.
    pub max_result_bytes: usize,
    /// Time for which starts are taken after the announcement was last appended. All processes
    /// must have the same.
    pub lease: Duration,
    /// Longest time in which each owner appends its ballots again while the log is up.
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

/// Decides at an agent which starts are allowed, and remembers them.
#[derive(Debug)]
pub struct Gate {
    cfg: GateConfig,
    me: Incarnation,
    floors: HashMap<ShardId, Ballot>,
    starts: Starts,
    /// Offset and time of the oldest record that was read.
    first: Option<(u64, Duration)>,
    /// Time of this agent's newest announcement that was read.
    own_record: Option<Duration>,
    withdrawn: BTreeMap<JobKey, Withdrawal>,
    /// Withdrawals in order, for expiry.
    withdrawn_at: VecDeque<(Instant, JobKey)>,
    /// Agents whose records are held here, with the time of their adoption.
    adopted: Vec<(Incarnation, Instant)>,
    joined: bool,
    /// When the last announcement was sent that is in the log.
    announced: Option<Instant>,
    leaving: bool,
    sealed: bool,
}

impl Gate {
    /// Creates the gate of an agent that knows nothing yet.
    pub fn new(cfg: GateConfig, me: Incarnation) -> Self {
        Self {
            cfg,
            me,
            floors: HashMap::new(),
            starts: Starts::default(),
            first: None,
            own_record: None,
            withdrawn: BTreeMap::new(),
            withdrawn_at: VecDeque::new(),
            adopted: Vec::new(),
            joined: false,
            announced: None,
            leaving: false,
            sealed: false,
        }
    }

    /// Returns the agent's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.me
    }

    /// Takes in a record of the membership stream. One that says that this agent left closes the
    /// gate for good: owners forget its starts.
    pub fn apply_record(&mut self, record: &Record) {
        match record {
            Record::Takeover { shards, ballot } => {
                for shard in shards {
                    self.raise(*shard, *ballot);
                }
            }
            Record::Left { incarnation, .. } if *incarnation == self.me => self.sealed = true,
            Record::Left { .. } | Record::Agent { .. } | Record::Entry { .. } => {}
        }
    }

    /// Takes in a record of the membership stream, in order, with its offset and the time by the
    /// log's clock at which it was written. Does what [`Gate::apply_record`] does, and keeps how far
    /// back the records reach.
    pub fn on_record(&mut self, offset: u64, written: Duration, record: &Record) {
        self.first.get_or_insert((offset, written));
        match record {
            Record::Agent { incarnation, .. } if *incarnation == self.me => {
                self.own_record = Some(written);
            }
            _ => {}
        }
        self.apply_record(record);
    }

    /// Returns whether the records read reach back far enough from this agent's announcement to
    /// join: every owner that could have started a task inside the window has appended its ballot
    /// since then.
    pub fn may_join(&self) -> bool {
        let span = self.cfg.window + self.cfg.announce_interval;
        match (self.first, self.own_record) {
            _ if !self.cfg.rules.history => true,
            (None, _) => true,
            (Some((offset, _)), _) if offset <= FIRST_OFFSET => true,
            (Some((_, first)), Some(own)) => first + span <= own,
            _ => false,
        }
    }

    /// Opens the gate. To be called once the announcement of this incarnation is in the log and
    /// the log has been read to its end since.
    pub fn join(&mut self) {
        self.joined = true;
    }

    /// Takes in that an announcement of this incarnation was appended, with the time at which it
    /// was sent. Owners forget an agent that has not been announced for its lease, so the gate
    /// closes then, and opens only by [`Gate::join`]: a takeover that did without this agent may
    /// have been recorded meanwhile.
    pub fn on_announced(&mut self, sent: Instant) {
        if self.cfg.rules.rejoin && self.lease_lapsed(sent) {
            self.joined = false;
        }
        self.announced = self.announced.max(Some(sent));
    }

    /// Returns whether the agent has joined.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Sets whether the agent is leaving; while it is, it refuses every start.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Decides on a start, and records it if it is allowed.
    pub fn try_start(&mut self, now: Instant, order: &StartOrder) -> Result<(), StartRefusal> {
        self.check_start(now, order)?;
        self.raise(order.shard, order.ballot);
        self.starts.insert(order);
        Ok(())
    }

    /// Decides on a start without recording it.
    pub fn check_start(&self, now: Instant, order: &StartOrder) -> Result<(), StartRefusal> {
        let rules = self.cfg.rules;
        let floor = self.floor(order.shard);
        if rules.floor && base_ballot(order.ballot) < floor {
            return Err(StartRefusal::StaleBallot(floor));
        }
        if rules.marker && self.starts.has(&order.key, order.index) {
            return Err(StartRefusal::AlreadyStarted);
        }
        if self.withdrawn.contains_key(&order.key) {
            return Err(StartRefusal::AlreadyStarted);
        }
        if rules.join && !self.joined || rules.lease && self.lease_lapsed(now) {
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

    /// Marks a job as not run or as closed, so that its owner may refuse it: whoever takes the shard over later
    /// learns of it.
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
        if self.starts.has_job(&withdrawal.key) && !withdrawal.is_closed() {
            return Err(StartRefusal::AlreadyStarted);
        }
        if !self.joined || self.lease_lapsed(now) {
            return Err(StartRefusal::NotJoined);
        }
        if self.sealed {
            return Err(StartRefusal::Leaving);
        }
        if self.withdrawn.len() >= self.cfg.max_starts {
            return Err(StartRefusal::Full);
        }

        self.raise(withdrawal.shard, ballot);
        self.keep_withdrawal(now, withdrawal);
        Ok(())
    }

    /// Takes in the end of a task. A second end of the same task is ignored.
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
    /// higher already are refused.
    pub fn fence(&mut self, _now: Instant, shards: &[ShardId], ballot: Ballot) -> FenceReport {
        let mut report = FenceReport::default();
        let mut fenced = Vec::with_capacity(shards.len());
        for shard in shards {
            let floor = self.floor(*shard);
            if base_ballot(ballot) < floor {
                report.refused.push((*shard, floor));
                continue;
            }
            self.raise(*shard, ballot);
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

    /// Closes the gate for good and returns all that it holds, for another agent to adopt. Returns
    /// `None` while a task runs or the agent is not leaving.
    pub fn seal(&mut self) -> Option<Custody> {
        if self.starts.running() > 0 || !self.leaving {
            return None;
        }
        self.sealed = true;
        let adopted = self.adopted.iter().map(|(agent, _)| *agent);
        Some(Custody {
            agents: std::iter::once(self.me).chain(adopted).collect(),
            records: self.starts.records(|_| true),
            withdrawn: self.withdrawn.values().cloned().collect(),
        })
    }

    /// Takes over what a leaving agent held, and reports it from now on. Once it has returned `Ok`,
    /// the leaving agent may announce this one as its custodian.
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
            if !self.starts.has(&record.key, record.index) {
                self.keep_record(now, record);
            }
        }
        for withdrawal in &custody.withdrawn {
            self.keep_withdrawal(now, withdrawal);
        }
        for agent in &custody.agents {
            self.adopted.retain(|(known, _)| known != agent);
            self.adopted.push((*agent, now));
        }
        self.starts.evict(self.cfg.max_result_bytes);
        Ok(())
    }

    /// Returns the highest ballot seen for a shard.
    pub fn floor(&self, shard: ShardId) -> Ballot {
        self.floors.get(&shard).copied().unwrap_or_default()
    }

    /// Forgets starts that ended longer ago than the window.
    pub fn expire(&mut self, now: Instant) {
        let kept = marker_retention(self.cfg.window);
        let due = |at: Instant| now.saturating_duration_since(at) > kept;
        self.starts.expire(due);
        while let Some((_, key)) = self.withdrawn_at.pop_front_if(|(at, _)| due(*at)) {
            self.withdrawn.remove(&key);
        }
        self.adopted.retain(|(_, at)| !due(*at));
    }

    /// Returns the number of tasks that run.
    pub fn running_count(&self) -> usize {
        self.starts.running()
    }

    /// Returns the number of start markers held.
    pub fn marker_count(&self) -> usize {
        self.starts.count()
    }

    fn raise(&mut self, shard: ShardId, ballot: Ballot) {
        let floor = self.floors.entry(shard).or_default();
        let raised = base_ballot(ballot).max(*floor);
        assert!(raised >= *floor, "a floor never falls");
        *floor = raised;
    }

    fn lease_lapsed(&self, now: Instant) -> bool {
        self.announced
            .is_some_and(|sent| now.saturating_duration_since(sent) > self.cfg.lease)
    }

    fn keep_withdrawal(&mut self, now: Instant, withdrawal: &Withdrawal) {
        let key = withdrawal.key.clone();
        if self
            .withdrawn
            .insert(key.clone(), withdrawal.clone())
            .is_none()
        {
            self.withdrawn_at.push_back((now, key));
        }
    }

    /// Keeps a start that another agent made.
    fn keep_record(&mut self, now: Instant, record: &StartRecord) {
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
