//! The gate at an agent: the only place where tasks start.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use hemlockhook_types::{
    Ballot, Incarnation, JobKey, ServiceName, ShardId, TaskEnd, TaskIndex, TaskResult,
};

use crate::epoch::{base, keep_time};
use crate::order::{Custody, FenceReport, StartOrder, StartRecord, StartRefusal, Withdrawal};
use crate::record::Record;
use crate::rules::Rules;

/// Default time for which starts are taken after an announcement: 6 hours.
pub const LEASE: Duration = Duration::from_secs(6 * 60 * 60);

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
    #[doc(hidden)]
    pub rules: Rules,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            max_starts: 100_000,
            max_result_bytes: 8 << 20,
            lease: LEASE,
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
    jobs: HashMap<JobKey, JobStarts>,
    /// Ends in order, for expiry.
    ended: VecDeque<Ended>,
    /// Results in order of their end, for eviction.
    kept: VecDeque<(JobKey, TaskIndex)>,
    starts: usize,
    running: usize,
    result_bytes: usize,
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
            jobs: HashMap::new(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            starts: 0,
            running: 0,
            result_bytes: 0,
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

    /// Takes in a record of the membership stream.
    pub fn observe(&mut self, record: &Record) {
        if let Record::Takeover { shards, ballot } = record {
            for shard in shards {
                self.raise(*shard, *ballot);
            }
        }
    }

    /// Opens the gate. To be called once the announcement of this incarnation is in the log and
    /// the log has been read to its end since.
    pub fn join(&mut self) {
        self.joined = true;
    }

    /// Takes in that an announcement of this incarnation was appended, with the time at which it
    /// was sent. Owners forget an agent that has not been announced for its lease, so the gate
    /// closes then.
    pub fn announced(&mut self, sent: Instant) {
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
    pub fn start(&mut self, now: Instant, order: &StartOrder) -> Result<(), StartRefusal> {
        self.check(now, order)?;
        self.raise(order.shard, order.ballot);
        self.record(order);
        Ok(())
    }

    /// Decides on a start without recording it.
    pub fn check(&self, now: Instant, order: &StartOrder) -> Result<(), StartRefusal> {
        let rules = self.cfg.rules;
        let floor = self.floor(order.shard);
        if rules.floor && base(order.ballot) < floor {
            return Err(StartRefusal::StaleBallot(floor));
        }
        if rules.marker && self.has_marker(&order.key, order.index) {
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
        if self.starts >= self.cfg.max_starts {
            return Err(StartRefusal::Full);
        }
        Ok(())
    }

    /// Marks a job as not run, so that its owner may refuse it: whoever takes the shard over later
    /// learns of it.
    pub fn withdraw(
        &mut self,
        now: Instant,
        ballot: Ballot,
        withdrawal: &Withdrawal,
    ) -> Result<(), StartRefusal> {
        let floor = self.floor(withdrawal.shard);
        if base(ballot) < floor {
            return Err(StartRefusal::StaleBallot(floor));
        }
        if self.jobs.contains_key(&withdrawal.key) {
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
    pub fn finish(&mut self, now: Instant, key: &JobKey, index: TaskIndex, result: TaskResult) {
        let Some(marker) = self.marker_mut(key, index) else {
            return;
        };
        if marker.result.is_some() {
            return;
        }

        let bytes = result_bytes(&result);
        marker.result = Some(result);
        self.running -= 1;
        self.ended.push_back(Ended {
            at: now,
            key: key.clone(),
            index,
        });
        if bytes > 0 {
            self.result_bytes += bytes;
            self.kept.push_back((key.clone(), index));
        }
        self.evict();
    }

    /// Raises the floors of shards and returns the starts held for them. Shards whose floor is
    /// higher already are refused.
    pub fn fence(&mut self, _now: Instant, shards: &[ShardId], ballot: Ballot) -> FenceReport {
        let mut report = FenceReport::default();
        let mut fenced = Vec::with_capacity(shards.len());
        for shard in shards {
            let floor = self.floor(*shard);
            if base(ballot) < floor {
                report.refused.push((*shard, floor));
                continue;
            }
            self.raise(*shard, ballot);
            fenced.push(*shard);
        }

        for (key, job) in &self.jobs {
            if fenced.contains(&job.shard) {
                report.records.extend(job.records(key));
            }
        }
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
        if self.running > 0 || !self.leaving {
            return None;
        }
        self.sealed = true;
        let adopted = self.adopted.iter().map(|(agent, _)| *agent);
        Some(Custody {
            agents: std::iter::once(self.me).chain(adopted).collect(),
            records: self
                .jobs
                .iter()
                .flat_map(|(key, job)| job.records(key))
                .collect(),
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
        if withdrawn.max(self.starts + custody.records.len()) > self.cfg.max_starts {
            return Err(StartRefusal::Full);
        }

        for record in &custody.records {
            if !self.has_marker(&record.key, record.index) {
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
        self.evict();
        Ok(())
    }

    /// Returns the highest ballot seen for a shard.
    pub fn floor(&self, shard: ShardId) -> Ballot {
        self.floors.get(&shard).copied().unwrap_or_default()
    }

    /// Forgets starts that ended longer ago than the window.
    pub fn expire(&mut self, now: Instant) {
        let kept = keep_time(self.cfg.window);
        let due = |at: Instant| now.saturating_duration_since(at) > kept;
        while let Some(ended) = self.ended.pop_front_if(|ended| due(ended.at)) {
            self.forget(&ended.key, ended.index);
        }
        while let Some((_, key)) = self.withdrawn_at.pop_front_if(|(at, _)| due(*at)) {
            self.withdrawn.remove(&key);
        }
        self.adopted.retain(|(_, at)| !due(*at));
    }

    /// Returns the number of tasks that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of start markers held.
    pub fn starts(&self) -> usize {
        self.starts
    }

    fn raise(&mut self, shard: ShardId, ballot: Ballot) {
        let floor = self.floors.entry(shard).or_default();
        *floor = base(ballot).max(*floor);
    }

    fn lease_lapsed(&self, now: Instant) -> bool {
        self.announced
            .is_some_and(|sent| now.saturating_duration_since(sent) > self.cfg.lease)
    }

    fn has_marker(&self, key: &JobKey, index: TaskIndex) -> bool {
        self.jobs
            .get(key)
            .is_some_and(|job| job.markers.iter().any(|marker| marker.index == index))
    }

    fn marker_mut(&mut self, key: &JobKey, index: TaskIndex) -> Option<&mut Marker> {
        let job = self.jobs.get_mut(key)?;
        job.markers.iter_mut().find(|marker| marker.index == index)
    }

    fn record(&mut self, order: &StartOrder) {
        let job = self
            .jobs
            .entry(order.key.clone())
            .or_insert_with(|| JobStarts {
                shard: order.shard,
                fingerprint: order.fingerprint,
                job_tasks: order.job_tasks,
                service: order.service.clone(),
                idempotent: order.idempotent,
                markers: Vec::with_capacity(1),
            });
        job.markers.push(Marker {
            index: order.index,
            result: None,
        });
        self.starts += 1;
        self.running += 1;
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
        self.record(&order);
        if let Some(result) = &record.result {
            self.finish(now, &record.key, record.index, result.clone());
        }
    }

    /// Drops the oldest results until the rest fits its bound. Their markers stay.
    fn evict(&mut self) {
        while self.result_bytes > self.cfg.max_result_bytes {
            let Some((key, index)) = self.kept.pop_front() else {
                return;
            };
            let Some(marker) = self.marker_mut(&key, index) else {
                continue;
            };
            let Some(result) = &mut marker.result else {
                continue;
            };
            let bytes = result_bytes(result);
            result.end = TaskEnd::Evicted;
            self.result_bytes -= bytes;
        }
    }

    fn forget(&mut self, key: &JobKey, index: TaskIndex) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(at) = job.markers.iter().position(|marker| marker.index == index) else {
            return;
        };
        let marker = job.markers.swap_remove(at);
        self.result_bytes -= marker.result.as_ref().map_or(0, result_bytes);
        self.starts -= 1;
        if job.markers.is_empty() {
            self.jobs.remove(key);
        }
    }
}

/// The starts of one job at this agent.
#[derive(Debug)]
struct JobStarts {
    shard: ShardId,
    fingerprint: u64,
    job_tasks: u32,
    service: ServiceName,
    idempotent: bool,
    markers: Vec<Marker>,
}

impl JobStarts {
    fn records(&self, key: &JobKey) -> impl Iterator<Item = StartRecord> {
        self.markers.iter().map(move |marker| StartRecord {
            key: key.clone(),
            index: marker.index,
            job_tasks: self.job_tasks,
            fingerprint: self.fingerprint,
            shard: self.shard,
            service: self.service.clone(),
            idempotent: self.idempotent,
            result: marker.result.clone(),
        })
    }
}

#[derive(Debug)]
struct Marker {
    index: TaskIndex,
    /// `None` while the task runs.
    result: Option<TaskResult>,
}

#[derive(Debug)]
struct Ended {
    at: Instant,
    key: JobKey,
    index: TaskIndex,
}

fn result_bytes(result: &TaskResult) -> usize {
    match &result.end {
        TaskEnd::Ok(body) => body.len(),
        TaskEnd::Failed(detail) => detail.len(),
        TaskEnd::Cancelled | TaskEnd::Evicted => 0,
    }
}
