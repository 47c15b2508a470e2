//! The steps of the randomised tests.

use std::time::Duration;

use hemlockhook_ownership::Record;
use hemlockhook_types::{Answer, Reason, TaskOutcome, TaskResult};
use proptest::prelude::*;

use super::procs::{AgentProc, EntryProc};
use super::{AGENTS, ANNOUNCE_INTERVAL, ENTRIES, SHARDS, ToAgent, ToEntry, World, body_of};

/// One step of a test. Indexes wrap around.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Advance(u16),
    DeliverAll,
    Deliver {
        direction: usize,
        count: usize,
    },
    DeliverOld {
        link: usize,
        up: bool,
    },
    BreakLink {
        entry: usize,
        agent: usize,
        noticed: bool,
    },
    Connect {
        entry: usize,
        agent: usize,
    },
    DeclareLost {
        entry: usize,
        agent: usize,
    },
    SetLogUp(bool),
    /// Partitions a set of entries and agents from the log and from the others. Two empty sets end
    /// the partition.
    Partition {
        entries: usize,
        agents: usize,
    },
    /// Drops all but the given number of newest records of the log.
    Truncate(usize),
    Append {
        append: usize,
        outcome: Outcome,
    },
    ReadEntry(usize),
    ReadAgent(usize),
    KillEntry(usize, bool),
    KillAgent(usize, bool),
    PauseEntry(usize, bool),
    PauseAgent(usize, bool),
    TakeOver {
        entry: usize,
        shards: usize,
    },
    Release {
        entry: usize,
        shard: usize,
    },
    SendGossip(usize),
    ReceiveGossip(usize),
    SubmitNew {
        stamp: usize,
        tasks: usize,
        entry: usize,
    },
    Resubmit {
        job: usize,
        entry: usize,
    },
    /// Starts all tasks that are queued at an entry and finishes them.
    RunQueued(usize),
    Dispatch {
        entry: usize,
        task: usize,
        agent: usize,
    },
    Finish {
        agent: usize,
        task: usize,
        ok: bool,
    },
    Cancel {
        job: usize,
        entry: usize,
    },
    PassDeadline {
        job: usize,
        entry: usize,
    },
    Leave {
        agent: usize,
        custodian: Option<usize>,
    },
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    ReplyLost,
    Failed,
}

pub fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    let agent = 0..AGENTS;
    let pair = (0..ENTRIES, 0..AGENTS);
    let flag = any::<bool>();
    let number = 0..64usize;
    prop_oneof![
        8 => (10..3000u16).prop_map(Step::Advance),
        4 => Just(Step::DeliverAll),
        14 => (number.clone(), 1..4usize).prop_map(|(direction, count)| {
            Step::Deliver { direction, count }
        }),
        2 => (number.clone(), flag).prop_map(|(link, up)| Step::DeliverOld { link, up }),
        3 => (pair.clone(), flag).prop_map(|((entry, agent), noticed)| {
            Step::BreakLink { entry, agent, noticed }
        }),
        8 => pair.clone().prop_map(|(entry, agent)| Step::Connect { entry, agent }),
        1 => pair.clone().prop_map(|(entry, agent)| Step::DeclareLost { entry, agent }),
        2 => flag.prop_map(Step::SetLogUp),
        2 => (0..8usize, 0..8usize).prop_map(|(entries, agents)| Step::Partition { entries, agents }),
        2 => Just(Step::Partition { entries: 0, agents: 0 }),
        1 => (1..20usize).prop_map(Step::Truncate),
        6 => (number.clone(), prop_oneof![
            6 => Just(Outcome::Done),
            1 => Just(Outcome::ReplyLost),
            1 => Just(Outcome::Failed),
        ]).prop_map(|(append, outcome)| Step::Append { append, outcome }),
        4 => entry.clone().prop_map(Step::ReadEntry),
        4 => agent.clone().prop_map(Step::ReadAgent),
        1 => (entry.clone(), flag).prop_map(|(entry, connect)| Step::KillEntry(entry, connect)),
        1 => (agent.clone(), flag).prop_map(|(agent, connect)| Step::KillAgent(agent, connect)),
        2 => (entry.clone(), flag).prop_map(|(entry, on)| Step::PauseEntry(entry, on)),
        2 => (agent.clone(), flag).prop_map(|(agent, on)| Step::PauseAgent(agent, on)),
        4 => (entry.clone(), 1..4usize).prop_map(|(entry, shards)| Step::TakeOver { entry, shards }),
        1 => (entry.clone(), 0..2usize).prop_map(|(entry, shard)| Step::Release { entry, shard }),
        2 => entry.clone().prop_map(Step::SendGossip),
        2 => number.clone().prop_map(Step::ReceiveGossip),
        8 => (0..20usize, 1..4usize, 0..ENTRIES * 3).prop_map(|(stamp, tasks, entry)| {
            Step::SubmitNew { stamp, tasks, entry }
        }),
        8 => (number.clone(), 0..ENTRIES * 3).prop_map(|(job, entry)| Step::Resubmit { job, entry }),
        3 => entry.clone().prop_map(Step::RunQueued),
        14 => (entry.clone(), number.clone(), agent.clone()).prop_map(|(entry, task, agent)| {
            Step::Dispatch { entry, task, agent }
        }),
        8 => (agent.clone(), number.clone(), prop::bool::weighted(0.9)).prop_map(
            |(agent, task, ok)| Step::Finish { agent, task, ok }
        ),
        1 => (number.clone(), entry.clone()).prop_map(|(job, entry)| Step::Cancel { job, entry }),
        2 => (number.clone(), entry).prop_map(|(job, entry)| Step::PassDeadline { job, entry }),
        1 => (agent.clone(), prop::option::weighted(0.7, agent)).prop_map(|(agent, custodian)| {
            Step::Leave { agent, custodian }
        }),
    ]
}

impl World {
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.advance(Duration::from_millis(ms.into())),
            Step::DeliverAll => self.deliver_all(),
            Step::Deliver { direction, count } => self.deliver_pending(direction, count),
            Step::DeliverOld { link, up } => self.deliver_old(link, up),
            Step::BreakLink {
                entry,
                agent,
                noticed,
            } => self.break_link(entry, agent, noticed),
            Step::Connect { entry, agent } => self.connect(entry, agent),
            Step::DeclareLost { entry, agent } => self.declare_lost(entry, agent),
            Step::SetLogUp(up) => self.log_up = up,
            Step::Partition { entries, agents } => self.partition(entries, agents),
            Step::Truncate(kept) => {
                let end = self.log.len();
                self.first_retained = self.first_retained.max(end.saturating_sub(kept));
            }
            Step::Append { append, outcome } => self.append(append, outcome),
            Step::ReadEntry(entry) => self.read_entry(entry),
            Step::ReadAgent(agent) => self.read_agent(agent),
            Step::KillEntry(entry, connect) => {
                self.kill_entry(entry);
                (0..AGENTS * usize::from(connect)).for_each(|agent| self.connect(entry, agent));
            }
            Step::KillAgent(agent, connect) => {
                self.kill_agent(agent);
                (0..ENTRIES * usize::from(connect)).for_each(|entry| self.connect(entry, agent));
            }
            Step::PauseEntry(entry, on) => self.pause_entry(entry, on),
            Step::PauseAgent(agent, on) => self.agents[agent].paused = on,
            Step::TakeOver { entry, shards } => self.take_over(entry, shards),
            Step::Release { entry, shard } => self.release(entry, shard),
            Step::SendGossip(entry) => self.send_gossip(entry),
            Step::ReceiveGossip(message) => self.receive_gossip(message),
            Step::SubmitNew {
                stamp,
                tasks,
                entry,
            } => {
                let number = self.new_job(stamp, tasks);
                let entry = self.route(entry, number);
                self.submit(entry, number);
            }
            Step::Resubmit { job, entry } if !self.submissions.is_empty() => {
                let recent = self.submissions.len().saturating_sub(10);
                let number = recent + job % (self.submissions.len() - recent);
                let entry = self.route(entry, number);
                self.submit(entry, number);
            }
            Step::Resubmit { .. } => {}
            Step::Dispatch { entry, task, agent } => {
                let busy = |entry: &usize| !self.entries[*entry].queue.is_empty();
                let mut places = (entry..entry + ENTRIES).map(|at| at % ENTRIES);
                if let Some(entry) = places.find(busy) {
                    self.dispatch(entry, task, agent);
                }
            }
            Step::RunQueued(entry) => self.run_queued(entry),
            Step::Finish { agent, task, ok } => self.finish(agent, task, ok),
            Step::Cancel { job, entry } => self.cancel(entry, job),
            Step::PassDeadline { job, entry } => self.pass_deadline(entry, job),
            Step::Leave { agent, custodian } => self.leave(agent, custodian),
        }
    }

    /// Advances the time. While the log is up, pending appends reach it within a fraction of the
    /// announcement interval, as the protocol requires of live processes.
    pub fn advance(&mut self, by: Duration) {
        let mut left = by;
        while !left.is_zero() {
            let part = left.min(ANNOUNCE_INTERVAL / 8);
            left -= part;
            self.now += part;
            self.expire_log();
            let now = self.now;
            for entry in 0..ENTRIES {
                if !self.entries[entry].paused {
                    self.entries[entry].owner.tick(now);
                    self.run_actions(entry);
                    for number in std::mem::take(&mut self.entries[entry].waiting) {
                        self.submit(entry, number);
                    }
                    self.collect_stamps(entry);
                }
            }
            for agent in self.agents.iter_mut().filter(|agent| !agent.paused) {
                agent.gate.expire(now);
                self.appends.extend(agent.announce(now));
            }
            let is_due = |append: &super::Append| append.sent + ANNOUNCE_INTERVAL / 4 <= now;
            while let Some(due) = self.appends.iter().position(is_due) {
                self.append(due, Outcome::Done);
            }
        }
    }

    /// Delivers all pending appends, records and messages between processes that are not paused.
    pub fn deliver_all(&mut self) {
        for _ in 0..4 {
            for _ in 0..self.appends.len() {
                self.append(0, Outcome::Done);
            }
            (0..ENTRIES).for_each(|entry| self.read_entry(entry));
            (0..AGENTS).for_each(|agent| self.read_agent(agent));
            for (entry, agent) in pairs() {
                self.deliver(entry, agent, false, usize::MAX);
                self.deliver(entry, agent, true, usize::MAX);
            }
        }
    }

    /// Returns the entry that a client contacts: any entry, or one that serves the shard.
    pub fn route(&self, choice: usize, number: usize) -> usize {
        let shard = self.submissions[number].job.shard();
        let serves = |entry: &usize| self.entries[*entry].owner.stamp(shard).is_some();
        let owners: Vec<_> = (0..ENTRIES).filter(serves).collect();
        match choice < ENTRIES || owners.is_empty() {
            true => choice % ENTRIES,
            false => owners[choice % owners.len()],
        }
    }

    pub fn kill_entry(&mut self, entry: usize) {
        (0..AGENTS).for_each(|agent| self.break_link(entry, agent, false));
        let incarnation = self.new_incarnation();
        self.entries[entry] = EntryProc::new(self.rules, incarnation);
    }

    pub fn kill_agent(&mut self, agent: usize) {
        (0..ENTRIES).for_each(|entry| self.break_link(entry, agent, true));
        self.ended.push(self.agents[agent].incarnation);
        let incarnation = self.new_incarnation();
        self.agents[agent] = AgentProc::new(self.rules, incarnation, agent);
    }

    pub fn pause_entry(&mut self, entry: usize, paused: bool) {
        self.entries[entry].paused = paused;
        if !paused {
            for number in std::mem::take(&mut self.entries[entry].inbox) {
                self.submit(entry, number);
            }
        }
    }

    pub fn take_over(&mut self, entry: usize, shards: usize) {
        if self.entries[entry].paused {
            return;
        }
        let shards: Vec<_> = SHARDS
            .iter()
            .copied()
            .filter(|shard| shards >> shard & 1 == 1)
            .collect();
        self.entries[entry].owner.take_over(self.now, &shards);
        self.run_actions(entry);
    }

    pub fn release(&mut self, entry: usize, shard: usize) {
        if self.entries[entry].paused {
            return;
        }
        self.entries[entry]
            .owner
            .release(self.now, &[SHARDS[shard]]);
        self.run_actions(entry);
    }

    pub fn dispatch(&mut self, entry: usize, task: usize, agent: usize) {
        let now = self.now;
        let proc = &mut self.entries[entry];
        if proc.paused || proc.queue.is_empty() || !self.links.contains_key(&(entry, agent)) {
            return;
        }
        let position = task % proc.queue.len();
        let (key, index) = proc.queue[position].clone();
        let incarnation = self.agents[agent].incarnation;
        let number = self
            .submissions
            .iter()
            .position(|submission| submission.job.key == key);
        let service = &self.submissions[number.expect("the job was submitted")]
            .job
            .service;
        if !AgentProc::services(agent).contains(&&**service) {
            return;
        }
        proc.queue.remove(position);
        if let Some(order) = proc.owner.start_task(now, &key, index, incarnation) {
            self.send_to_agent(entry, incarnation, ToAgent::Start(order));
        }
        self.run_actions(entry);
    }

    pub fn run_queued(&mut self, entry: usize) {
        for agent in 0..AGENTS {
            for task in (0..self.entries[entry].queue.len()).rev() {
                self.dispatch(entry, task, agent);
            }
            self.deliver(entry, agent, false, usize::MAX);
            while !self.agents[agent].paused && !self.agents[agent].running.is_empty() {
                self.finish(agent, 0, true);
            }
            self.deliver(entry, agent, true, usize::MAX);
        }
    }

    pub fn finish(&mut self, agent: usize, task: usize, ok: bool) {
        let now = self.now;
        let proc = &mut self.agents[agent];
        if proc.paused || proc.running.is_empty() {
            return;
        }
        let position = task % proc.running.len();
        let (key, index) = proc.running.remove(position);
        let outcome = match ok {
            true => TaskOutcome::Ok(body_of(&key, index).into()),
            false => TaskOutcome::Failed("broken".to_owned()),
        };
        let result = TaskResult {
            outcome,
            run_time: Duration::from_millis(50),
        };
        proc.gate.finish_task(now, &key, index, result.clone());
        let owner = proc.gate.floor(hemlockhook_types::shard_of(&key)).owner;
        for ((_, linked), link) in &mut self.links {
            if *linked == agent && link.entry == owner {
                let done = ToEntry::Done(key.clone(), index, result.clone());
                link.to_entry.push_back(done.clone());
                link.to_entry.push_back(done);
            }
        }
    }

    pub fn cancel(&mut self, entry: usize, job: usize) {
        if self.submissions.is_empty() || self.entries[entry].paused {
            return;
        }
        let job = &self.submissions[job % self.submissions.len()].job;
        self.entries[entry].owner.cancel(self.now, &job.key);
        self.run_actions(entry);
    }

    /// Settles a job as its deadline passes: as not run if no task was started, as failed
    /// otherwise.
    pub fn pass_deadline(&mut self, entry: usize, job: usize) {
        if self.submissions.is_empty() || self.entries[entry].paused {
            return;
        }
        let key = self.submissions[job % self.submissions.len()]
            .job
            .key
            .clone();
        let owner = &mut self.entries[entry].owner;
        let detail = "the deadline passed".to_owned();
        let reason = Reason::Deadline;
        let answer = match owner.any_started(&key) {
            true => Answer::Failed {
                reason,
                task: None,
                detail,
            },
            false => Answer::NotRun {
                reason,
                detail,
                retry_after: None,
            },
        };
        owner.settle(self.now, &key, answer);
        self.run_actions(entry);
    }

    /// Makes an agent leave and hand over its records to a custodian, if one is given and can adopt
    /// them.
    pub fn leave(&mut self, agent: usize, custodian: Option<usize>) {
        if self.agents[agent].paused || self.agents[agent].left {
            return;
        }
        while !self.agents[agent].running.is_empty() {
            self.finish(agent, 0, true);
        }
        self.agents[agent].leaving = true;
        self.agents[agent].gate.set_leaving(true);
        let Some(custody) = self.agents[agent].gate.seal() else {
            return;
        };
        let custodian = custodian
            .filter(|other| *other != agent && !self.agents[*other].paused)
            .filter(|other| self.agents[*other].gate.adopt(self.now, &custody).is_ok())
            .map(|other| self.agents[other].incarnation);
        self.agents[agent].left = true;
        let incarnation = self.agents[agent].incarnation;
        self.appends.push(super::Append {
            from: incarnation,
            takeover: 0,
            record: Record::Left {
                incarnation,
                custodian,
            },
            sent: self.now,
        });
    }
}

pub fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..ENTRIES).flat_map(|entry| (0..AGENTS).map(move |agent| (entry, agent)))
}
