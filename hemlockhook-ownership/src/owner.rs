//! The owner side of the protocol, at an entry.

mod account;
mod admit;
mod job;
mod log;
mod members;
mod run;
mod settle;
mod takeover;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use hemlockhook_types::{Answer, Ballot, Incarnation, JobKey, ShardId, Stamp, TaskIndex};

use crate::epoch::{base_ballot, with_epoch};
use crate::gate::{DEFAULT_ANNOUNCE_INTERVAL, DEFAULT_LEASE};
use crate::log_coverage::log_time;
use crate::messages::Withdrawal;
use crate::record::Record;
use crate::rules::Rules;
use job::JobState;
use members::Members;
use takeover::Takeover;

/// Bounds and times of an [`Owner`].
#[derive(Clone, Debug)]
pub struct OwnerConfig {
    /// Time for which keys and answers are kept. All processes must have the same.
    pub window: Duration,
    /// Highest number of jobs held.
    pub max_jobs: usize,
    /// Highest number of bytes of answers held.
    pub max_result_bytes: usize,
    /// Time after which shards are served although not every agent has reported.
    pub fence_timeout: Duration,
    /// Time after the beginning of a takeover for which submissions wait for its account to become
    /// complete, before they are answered as unknown.
    pub account_wait: Duration,
    /// Time for which an agent takes starts after its announcement was last appended. All
    /// processes must have the same, and the log must keep records for longer than this and two
    /// windows.
    pub lease: Duration,
    /// Longest time in which each agent and each owner appends its record again while the log is
    /// up. Shorter than the window.
    pub announce_interval: Duration,
    #[doc(hidden)]
    pub rules: Rules,
}

impl Default for OwnerConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            max_jobs: 1_000_000,
            max_result_bytes: 64 << 20,
            fence_timeout: Duration::from_millis(500),
            account_wait: Duration::from_secs(2),
            lease: DEFAULT_LEASE,
            announce_interval: DEFAULT_ANNOUNCE_INTERVAL,
            rules: Rules::default(),
        }
    }
}

/// What the caller of an [`Owner`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Send a fence to an agent.
    Fence {
        /// The agent.
        agent: Incarnation,
        /// Names the takeover in the report.
        takeover: u64,
        /// The shards to fence.
        shards: Vec<ShardId>,
        /// The ballot to fence them with.
        ballot: Ballot,
    },
    /// Append a record to the membership stream; answered by [`Owner::on_appended`] or
    /// [`Owner::on_append_failed`].
    Append {
        /// The takeover that it belongs to.
        takeover: u64,
        /// The record.
        record: Record,
    },
    /// Read the membership stream to its end; answered by [`Owner::on_caught_up`], after
    /// [`Owner::on_record`] for each record.
    ReadToEnd {
        /// The takeover that it belongs to.
        takeover: u64,
    },
    /// The shards are served from now on, or their account has become complete.
    Ready {
        /// The shards.
        shards: Vec<ShardId>,
        /// Whether old submissions of every service can be told from those that never ran.
        complete: bool,
    },
    /// The shard is not owned any more.
    StepDown {
        /// The shard.
        shard: ShardId,
        /// Its jobs without an answer. The caller submits them to the new owner with the stamps
        /// that they came with.
        unfinished: Vec<JobKey>,
    },
    /// A job got its final answer.
    Settled {
        /// The job's key.
        key: JobKey,
        /// The answer.
        answer: Answer,
    },
    /// The start of a task never reached its agent and never will: the task may be started
    /// elsewhere.
    Requeue {
        /// The agent that it was to start at.
        agent: Incarnation,
        /// The job's key.
        key: JobKey,
        /// The task.
        index: TaskIndex,
    },
    /// Have an agent mark a job as not run, by [`Gate::withdraw`](crate::Gate::withdraw);
    /// answered by [`Owner::on_withdrawn`].
    Withdraw {
        /// The agent.
        agent: Incarnation,
        /// The ballot under which the shard is owned.
        ballot: Ballot,
        /// The job.
        withdrawal: Withdrawal,
    },
}

/// How a submission is taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Start these tasks; others of the job ran or run.
    Run(Vec<TaskIndex>),
    /// The job is known and is going to be answered by [`OwnerAction::Settled`].
    Pending,
    /// The answer.
    Answered(Answer),
    /// The shard is owned by another entry, or by none.
    NotOwner,
    /// The shard is being taken over; submit again after [`OwnerAction::Ready`].
    Fencing,
    /// The key was used before with other content.
    KeyReused,
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// No submission of the key is known. If the shard's account is incomplete there may be one.
    NotFound,
    /// The job is queued or runs.
    Pending,
    /// The answer.
    Answered(Answer),
    /// The shard is not served here.
    Unknown,
}

/// What becomes of a task whose start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalOutcome {
    /// Put it back into the queue.
    Requeue,
    /// Nothing is to be done.
    Ignore,
}

/// Owns shards at an entry: takes them over, admits jobs, and settles answers.
#[derive(Debug)]
pub struct Owner {
    cfg: OwnerConfig,
    me: Incarnation,
    rng: fastrand::Rng,
    shards: BTreeMap<ShardId, Shard>,
    takeovers: BTreeMap<u64, Takeover>,
    last_takeover: u64,
    members: Members,
    jobs: HashMap<JobKey, JobState>,
    /// Keys with the time at which they may have become old enough to forget.
    expiry: VecDeque<(Instant, JobKey)>,
    /// Complete answers, oldest first, for eviction.
    kept: VecDeque<JobKey>,
    answer_bytes: usize,
    /// Jobs whose refusal is on its way.
    refusing: BTreeSet<JobKey>,
    actions: Vec<OwnerAction>,
}

/// What an owner knows of a shard.
#[derive(Debug, Default)]
struct Shard {
    /// Highest ballot known, in epoch 0.
    seen: Ballot,
    role: Role,
    /// Recorded ballots in epoch 0, with a bound of the log time at which they began.
    begins: Vec<(Ballot, Instant)>,
}

/// Whether a shard is held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Role {
    /// Not held.
    #[default]
    None,
    /// Held, or being taken, under this takeover.
    Held(u64),
    /// To be taken with a higher ballot at a time.
    Retry { at: Instant, attempt: u32 },
}

impl Owner {
    /// Creates an owner that holds no shard.
    pub fn new(cfg: OwnerConfig, me: Incarnation) -> Self {
        Self {
            cfg,
            me,
            rng: fastrand::Rng::with_seed(me),
            shards: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            last_takeover: 0,
            members: Members::default(),
            jobs: HashMap::new(),
            expiry: VecDeque::new(),
            kept: VecDeque::new(),
            answer_bytes: 0,
            refusing: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the entry's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.me
    }

    /// Returns the stamp to give to callers for a shard, if it is served here.
    pub fn stamp(&self, shard: ShardId) -> Option<Stamp> {
        let takeover = self.serving(shard)?;
        Some(with_epoch(takeover.ballot, takeover.epoch))
    }

    /// Returns the shards served here with their stamps.
    pub fn owned_shards(&self) -> Vec<(ShardId, Stamp)> {
        self.shards
            .keys()
            .filter_map(|shard| Some((*shard, self.stamp(*shard)?)))
            .collect()
    }

    /// Returns whether every start of a shard's older submissions is accounted for.
    pub fn is_account_complete(&self, now: Instant, shard: ShardId) -> bool {
        self.serving(shard)
            .is_some_and(|takeover| self.accounts_for(now, takeover, None))
    }

    /// Returns the number of agents that a takeover begun now could not account for.
    pub fn unaccounted_agents(&self, now: Instant) -> usize {
        self.members.silent(log_time(now, Duration::ZERO)).count()
    }

    /// Returns whether a shard is held, being taken or about to be.
    pub fn is_held(&self, shard: ShardId) -> bool {
        let role = self.shards.get(&shard).map(|state| state.role);
        !matches!(role, None | Some(Role::None))
    }

    /// Returns whether a task of a job has been started, as far as is known here.
    pub fn any_started(&self, key: &JobKey) -> bool {
        self.jobs.get(key).is_some_and(JobState::any_started)
    }

    /// Returns the number of jobs held.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns what is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<OwnerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Does what has become due. To be called about ten times in a `fence_timeout`.
    pub fn tick(&mut self, now: Instant) {
        self.retry_takes(now);
        self.time_out_fences(now);
        self.time_out_withdrawals(now);
        self.advance_epochs(now);
        self.repeat_records(now);
        self.members.expire(now);
        self.check_accounts(now);
        self.forget_jobs(now);
    }

    /// Returns the takeover under which a shard is held, served or not.
    fn held(&self, shard: ShardId) -> Option<(u64, &Takeover)> {
        match self.shards.get(&shard)?.role {
            Role::Held(id) => self.takeovers.get(&id).map(|takeover| (id, takeover)),
            Role::None | Role::Retry { .. } => None,
        }
    }

    fn serving(&self, shard: ShardId) -> Option<&Takeover> {
        self.held(shard)
            .map(|(_, takeover)| takeover)
            .filter(|takeover| takeover.ready)
    }

    /// Raises the highest ballot known of a shard.
    fn see(&mut self, shard: ShardId, ballot: Ballot) {
        let seen = &mut self.shards.entry(shard).or_default().seen;
        *seen = base_ballot(ballot).max(*seen);
    }
}
