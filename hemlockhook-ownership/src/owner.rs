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

/// Limits and times of an [`Owner`].
#[derive(Clone, Debug)]
pub struct OwnerConfig {
    /// Time for which keys and answers are kept. Must be the same in all processes.
    pub window: Duration,
    /// Maximum number of jobs held.
    pub max_jobs: usize,
    /// Maximum size in bytes of all answers held.
    pub max_result_bytes: usize,
    /// Time after which shards are served even if not every agent has reported.
    pub fence_timeout: Duration,
    /// Time from the beginning of a takeover for which submissions wait for its account of earlier
    /// starts to become complete, before they are answered as unknown.
    pub account_wait: Duration,
    /// Time for which an agent accepts starts after its announcement was last appended. Must be the
    /// same in all processes, and the log must retain records for longer than this plus two
    /// windows.
    pub lease: Duration,
    /// Longest interval at which each agent and each owner appends its record again while the log
    /// is up. Must be shorter than the window.
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

/// An action that the caller of an [`Owner`] has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Send a fence to an agent.
    Fence {
        /// Incarnation of the agent to fence.
        agent: Incarnation,
        /// Identifies the takeover in the report.
        takeover: u64,
        /// The shards to fence.
        shards: Vec<ShardId>,
        /// The ballot with which to fence them.
        ballot: Ballot,
    },
    /// Append a record to the membership stream. The caller responds with [`Owner::on_appended`] or
    /// [`Owner::on_append_failed`].
    Append {
        /// The takeover to which it belongs.
        takeover: u64,
        /// The [`Record::Takeover`] to append.
        record: Record,
    },
    /// Read the membership stream to its end. The caller responds with [`Owner::on_record`] for
    /// each record and then [`Owner::on_caught_up`].
    ReadToEnd {
        /// The takeover to which it belongs.
        takeover: u64,
    },
    /// The shards are served from now on, or their account became complete.
    Ready {
        /// The shards that are still held under one takeover.
        shards: Vec<ShardId>,
        /// Whether the account is complete: for every service, older submissions that may have run
        /// can be distinguished from those that never ran.
        complete: bool,
    },
    /// The shard is no longer owned.
    StepDown {
        /// The shard, which this entry held until now.
        shard: ShardId,
        /// Its jobs without an answer. The caller resubmits them to the new owner with their
        /// original stamps.
        unfinished: Vec<JobKey>,
    },
    /// A job has its final answer.
    Settled {
        /// The job's key.
        key: JobKey,
        /// The final answer, which the owner has stored as well.
        answer: Answer,
    },
    /// The start of a task did not reach its agent and never will, so the task may be started
    /// elsewhere.
    Requeue {
        /// The agent at which it was to start.
        agent: Incarnation,
        /// The job's key.
        key: JobKey,
        /// Index of the task in its job.
        index: TaskIndex,
    },
    /// Have an agent store a withdrawal with [`Gate::withdraw`](crate::Gate::withdraw). The caller
    /// responds with [`Owner::on_withdrawn`].
    Withdraw {
        /// The connected agent that is to store the withdrawal.
        agent: Incarnation,
        /// The ballot under which the shard is owned.
        ballot: Ballot,
        /// The withdrawal of the job.
        withdrawal: Withdrawal,
    },
}

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Start these tasks. The other tasks of the job have run or are running.
    Run(Vec<TaskIndex>),
    /// The job is known and will be answered by [`OwnerAction::Settled`].
    Pending,
    /// The final answer: stored earlier, derived from the reports of agents, or a refusal.
    Answered(Answer),
    /// The shard is not owned by this entry.
    NotOwner,
    /// The shard is being taken over. Submit again after [`OwnerAction::Ready`].
    Fencing,
    /// The key was used before with other content.
    KeyReused,
}

/// The result of looking up a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// No submission of the key is known. There may be one if the shard's account is incomplete.
    NotFound,
    /// The job is queued or running.
    Pending,
    /// The job has this final answer.
    Answered(Answer),
    /// The shard is not served here, or the job is known only from agents' reports that do not
    /// cover all of its tasks.
    Unknown,
}

/// What to do with a task whose start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalOutcome {
    /// Put the task back into the queue.
    Requeue,
    /// Do not queue the task: the refusal concerns an earlier start, the task already runs at the
    /// agent, or its job is unknown or answered.
    Ignore,
}

/// Owns shards at an entry: takes them over, admits jobs and answers them.
#[derive(Debug)]
pub struct Owner {
    cfg: OwnerConfig,
    incarnation: Incarnation,
    rng: fastrand::Rng,
    shards: BTreeMap<ShardId, Shard>,
    takeovers: BTreeMap<u64, Takeover>,
    last_takeover_id: u64,
    members: Members,
    jobs: HashMap<JobKey, JobState>,
    /// Keys to check for expiry, with the time at which they were queued for the check.
    expiry: VecDeque<(Instant, JobKey)>,
    /// Keys of the jobs with a complete answer, oldest first, for eviction.
    complete_answers: VecDeque<JobKey>,
    answer_bytes: usize,
    /// Jobs whose withdrawal no agent has confirmed yet.
    pending_refusals: BTreeSet<JobKey>,
    actions: Vec<OwnerAction>,
}

/// The state of one shard.
#[derive(Debug, Default)]
struct Shard {
    /// Highest ballot known, with epoch 0.
    highest_ballot: Ballot,
    role: Role,
    /// Recorded ballots with epoch 0, each with the earliest log time at which it can have begun.
    ballot_starts: Vec<(Ballot, Instant)>,
}

/// Whether this owner holds a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Role {
    #[default]
    None,
    /// Held or being taken over, under the takeover with this identifier.
    Held(u64),
    /// To be taken over at this time with a higher ballot, after a contended takeover.
    Retry { at: Instant, attempt: u32 },
}

impl Owner {
    /// Creates an owner that holds no shard.
    pub fn new(cfg: OwnerConfig, incarnation: Incarnation) -> Self {
        Self {
            cfg,
            incarnation,
            rng: fastrand::Rng::with_seed(incarnation),
            shards: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            last_takeover_id: 0,
            members: Members::default(),
            jobs: HashMap::new(),
            expiry: VecDeque::new(),
            complete_answers: VecDeque::new(),
            answer_bytes: 0,
            pending_refusals: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the entry's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the stamp to issue to callers for a shard, if it is served here.
    pub fn stamp(&self, shard: ShardId) -> Option<Stamp> {
        let takeover = self.serving_takeover(shard)?;
        Some(with_epoch(takeover.ballot, takeover.epoch))
    }

    /// Returns the shards served here with their stamps.
    pub fn owned_shards(&self) -> Vec<(ShardId, Stamp)> {
        self.shards
            .keys()
            .filter_map(|shard| Some((*shard, self.stamp(*shard)?)))
            .collect()
    }

    /// Returns whether a shard is served and all starts of its older submissions are accounted for.
    pub fn is_account_complete(&self, now: Instant, shard: ShardId) -> bool {
        self.serving_takeover(shard)
            .is_some_and(|takeover| self.accounts_for(now, takeover, None))
    }

    /// Returns the number of agents that would be unaccounted for in a takeover that began now.
    pub fn unaccounted_agents(&self, now: Instant) -> usize {
        self.members
            .unreachable(log_time(now, Duration::ZERO))
            .count()
    }

    /// Returns whether a shard is held, is being taken over or waits for another attempt.
    pub fn is_held(&self, shard: ShardId) -> bool {
        let role = self.shards.get(&shard).map(|state| state.role);
        !matches!(role, None | Some(Role::None))
    }

    /// Returns whether any task of a job is known to have been, or may have been, started.
    pub fn any_started(&self, key: &JobKey) -> bool {
        self.jobs.get(key).is_some_and(JobState::any_started)
    }

    /// Returns the number of jobs held.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Takes the actions that the caller has to carry out, in order.
    pub fn take_actions(&mut self) -> Vec<OwnerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Does what is due at `now`. Should be called about ten times per `fence_timeout`.
    pub fn tick(&mut self, now: Instant) {
        self.retry_takeovers(now);
        self.time_out_fences(now);
        self.time_out_withdrawals(now);
        self.advance_epochs(now);
        self.repeat_appends(now);
        self.members.expire(now);
        self.check_accounts(now);
        self.expire_jobs(now);
    }

    /// Returns the takeover under which a shard is held, served or not.
    fn held_takeover(&self, shard: ShardId) -> Option<(u64, &Takeover)> {
        match self.shards.get(&shard)?.role {
            Role::Held(id) => self.takeovers.get(&id).map(|takeover| (id, takeover)),
            Role::None | Role::Retry { .. } => None,
        }
    }

    fn serving_takeover(&self, shard: ShardId) -> Option<&Takeover> {
        self.held_takeover(shard)
            .map(|(_, takeover)| takeover)
            .filter(|takeover| takeover.ready)
    }

    /// Raises the highest ballot known for a shard.
    fn raise_ballot(&mut self, shard: ShardId, ballot: Ballot) {
        let highest = &mut self.shards.entry(shard).or_default().highest_ballot;
        *highest = base_ballot(ballot).max(*highest);
    }
}
