//! The steps of the randomised tests.

use std::time::Duration;

use hemlockhook_ownership::Record;
use hemlockhook_types::{Answer, Incarnation, Reason, TaskEnd, TaskResult};
use proptest::prelude::*;

use super::procs::{AgentProc, EntryProc};
use super::{AGENTS, ENTRIES, INTERVAL, Link, SHARDS, ToAgent, ToEntry, World, body_of};

/// One step. Indexes are taken modulo what there is.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Advance(u16),
    Calm,
    Deliver {
        message: usize,
        count: usize,
    },
    DeliverOld {
        link: usize,
        up: bool,
    },
    Break {
        entry: usize,
        agent: usize,
        noticed: bool,
    },
    Connect {
        entry: usize,
        agent: usize,
    },
    GiveUp {
        entry: usize,
        agent: usize,
    },
    Log(bool),
    /// Cuts some entries and agents off from the log and from the others, or none.
    Island {
        entries: usize,
        agents: usize,
    },
    /// Has the log drop all but its newest records.
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
    Take {
        entry: usize,
        shards: usize,
    },
    Release {
        entry: usize,
        shard: usize,
    },
    Tell(usize),
    Hear(usize),
    Make {
        stamp: usize,
        tasks: usize,
        entry: usize,
    },
    Resubmit {
        job: usize,
        entry: usize,
    },
    /// Starts everything queued at an entry and lets it end.
    Work(usize),
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
    Expire {
        job: usize,
        entry: usize,
    },
    Leave {
        agent: usize,
        custodian: Option<usize>,
    },
}

/// What becomes of an append.
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
        4 => Just(Step::Calm),
        14 => (number.clone(), 1..4usize).prop_map(|(message, count)| {
            Step::Deliver { message, count }
        }),
        2 => (number.clone(), flag).prop_map(|(link, up)| Step::DeliverOld { link, up }),
        3 => (pair.clone(), flag).prop_map(|((entry, agent), noticed)| {
            Step::Break { entry, agent, noticed }
        }),
        8 => pair.clone().prop_map(|(entry, agent)| Step::Connect { entry, agent }),
        1 => pair.clone().prop_map(|(entry, agent)| Step::GiveUp { entry, agent }),
        2 => flag.prop_map(Step::Log),
        2 => (0..8usize, 0..8usize).prop_map(|(entries, agents)| Step::Island { entries, agents }),
        2 => Just(Step::Island { entries: 0, agents: 0 }),
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
        4 => (entry.clone(), 1..4usize).prop_map(|(entry, shards)| Step::Take { entry, shards }),
        1 => (entry.clone(), 0..2usize).prop_map(|(entry, shard)| Step::Release { entry, shard }),
        2 => entry.clone().prop_map(Step::Tell),
        2 => number.clone().prop_map(Step::Hear),
        8 => (0..20usize, 1..4usize, 0..ENTRIES * 3).prop_map(|(stamp, tasks, entry)| {
            Step::Make { stamp, tasks, entry }
        }),
        8 => (number.clone(), 0..ENTRIES * 3).prop_map(|(job, entry)| Step::Resubmit { job, entry }),
        3 => entry.clone().prop_map(Step::Work),
        14 => (entry.clone(), number.clone(), agent.clone()).prop_map(|(entry, task, agent)| {
            Step::Dispatch { entry, task, agent }
        }),
        8 => (agent.clone(), number.clone(), prop::bool::weighted(0.9)).prop_map(
            |(agent, task, ok)| Step::Finish { agent, task, ok }
        ),
        1 => (number.clone(), entry.clone()).prop_map(|(job, entry)| Step::Cancel { job, entry }),
        2 => (number.clone(), entry).prop_map(|(job, entry)| Step::Expire { job, entry }),
        1 => (agent.clone(), prop::option::weighted(0.7, agent)).prop_map(|(agent, custodian)| {
            Step::Leave { agent, custodian }
        }),
    ]
}

impl World {
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.advance(Duration::from_millis(ms.into())),
            Step::Calm => self.calm(),
            Step::Deliver { message, count } => self.deliver_some(message, count),
            Step::DeliverOld { link, up } => self.deliver_old(link, up),
            Step::Break {
                entry,
                agent,
                noticed,
            } => self.break_link(entry, agent, noticed),
            Step::Connect { entry, agent } => self.connect(entry, agent),
            Step::GiveUp { entry, agent } => self.give_up(entry, agent),
            Step::Log(up) => self.log_up = up,
            Step::Island { entries, agents } => self.cut(entries, agents),
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
            Step::Take { entry, shards } => self.take(entry, shards),
            Step::Release { entry, shard } => self.release(entry, shard),
            Step::Tell(entry) => self.tell(entry),
            Step::Hear(message) => self.hear(message),
            Step::Make {
                stamp,
                tasks,
                entry,
            } => {
                let number = self.make_job(stamp, tasks);
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
            Step::Work(entry) => self.work(entry),
            Step::Finish { agent, task, ok } => self.finish(agent, task, ok),
            Step::Cancel { job, entry } => self.cancel(entry, job),
            Step::Expire { job, entry } => self.expire(entry, job),
            Step::Leave { agent, custodian } => self.leave(agent, custodian),
        }
    }

    /// Moves time on. While the log is up, appends that wait reach it within a part of the
    /// announcement interval, as the protocol expects of live processes.
    pub fn advance(&mut self, by: Duration) {
        let mut left = by;
        while !left.is_zero() {
            let part = left.min(INTERVAL / 8);
            left -= part;
            self.now += part;
            self.retain_log();
            let now = self.now;
            for entry in 0..ENTRIES {
                if !self.entries[entry].paused {
                    self.entries[entry].owner.tick(now);
                    self.act(entry);
                    self.note_stamps(entry);
                }
            }
            for agent in self.agents.iter_mut().filter(|agent| !agent.paused) {
                agent.gate.expire(now);
                self.appends.extend(agent.announce(now));
            }
            let is_due = |append: &super::Append| append.sent + INTERVAL / 4 <= now;
            while let Some(due) = self.appends.iter().position(is_due) {
                self.append(due, Outcome::Done);
            }
        }
    }

    /// Delivers everything that is on its way between processes that are not paused.
    pub fn calm(&mut self) {
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

    /// Returns the entry that a client reaches: a random one, or one that serves the shard.
    fn route(&self, choice: usize, number: usize) -> usize {
        let shard = self.submissions[number].job.shard();
        let serves = |entry: &usize| self.entries[*entry].owner.stamp(shard).is_some();
        let owners: Vec<_> = (0..ENTRIES).filter(serves).collect();
        match choice < ENTRIES || owners.is_empty() {
            true => choice % ENTRIES,
            false => owners[choice % owners.len()],
        }
    }

    /// Delivers messages of one of the directions that have any.
    fn deliver_some(&mut self, message: usize, count: usize) {
        let pending: Vec<_> = self
            .links
            .iter()
            .flat_map(|(ends, link)| {
                let up = (!link.to_entry.is_empty()).then_some((*ends, true));
                let down = (!link.to_agent.is_empty()).then_some((*ends, false));
                up.into_iter().chain(down)
            })
            .collect();
        if !pending.is_empty() {
            let ((entry, agent), up) = pending[message % pending.len()];
            self.deliver(entry, agent, up, count);
        }
    }

    fn deliver(&mut self, entry: usize, agent: usize, up: bool, count: usize) {
        for _ in 0..count {
            let Some(link) = self.links.get_mut(&(entry, agent)) else {
                return;
            };
            match up {
                true if !self.entries[entry].paused => match link.to_entry.pop_front() {
                    Some(message) => self.at_entry(entry, agent, message),
                    None => return,
                },
                false if !self.agents[agent].paused => match link.to_agent.pop_front() {
                    Some(message) => self.at_agent(entry, agent, message),
                    None => return,
                },
                _ => return,
            }
        }
    }

    /// Delivers a message of a superseded link, which a receiver drops.
    fn deliver_old(&mut self, link: usize, up: bool) {
        if self.rules.links || self.old_links.is_empty() {
            return;
        }
        let at = link % self.old_links.len();
        let link = &mut self.old_links[at];
        let ends = pairs().find(|(entry, agent)| {
            self.entries[*entry].owner.incarnation() == link.entry
                && self.agents[*agent].incarnation == link.agent
        });
        let Some((entry, agent)) = ends else {
            return;
        };
        match up {
            true => {
                let message = link.to_entry.pop_front();
                message
                    .into_iter()
                    .for_each(|message| self.at_entry(entry, agent, message));
            }
            false => {
                let message = link.to_agent.pop_front();
                message
                    .into_iter()
                    .for_each(|message| self.at_agent(entry, agent, message));
            }
        }
    }

    fn at_agent(&mut self, entry: usize, agent: usize, message: ToAgent) {
        let now = self.now;
        let proc = &mut self.agents[agent];
        let reply = match message {
            ToAgent::Start(order) => match proc.gate.start(now, &order) {
                Ok(()) => {
                    proc.running.push((order.key.clone(), order.index));
                    let doubled = proc.gate.start(now, &order);
                    self.check_start(&order);
                    doubled.iter().for_each(|()| self.check_start(&order));
                    return;
                }
                Err(refusal) => ToEntry::Refusal(order.key, order.index, refusal),
            },
            ToAgent::Fence(takeover, shards, ballot) => {
                ToEntry::Report(takeover, proc.gate.fence(now, &shards, ballot))
            }
            ToAgent::Withdraw(ballot, withdrawal) => {
                let outcome = proc.gate.withdraw(now, ballot, &withdrawal);
                ToEntry::Withdrawn(withdrawal.key, outcome)
            }
        };
        if let Some(link) = self.links.get_mut(&(entry, agent)) {
            link.to_entry.push_back(reply);
        }
    }

    fn at_entry(&mut self, entry: usize, agent: usize, message: ToEntry) {
        let now = self.now;
        let agent = self.agents[agent].incarnation;
        let proc = &mut self.entries[entry];
        match message {
            ToEntry::Refusal(key, index, refusal) => {
                use hemlockhook_ownership::RefusedOutcome::Requeue;
                if proc.owner.refused(now, agent, &key, index, refusal) == Requeue {
                    proc.queue.push((key, index));
                }
            }
            ToEntry::Done(key, index, result) => proc.owner.done(now, agent, &key, index, result),
            ToEntry::Report(takeover, report) => {
                proc.owner.on_report(now, agent, takeover, report.clone());
                proc.owner.on_report(now, agent, takeover, report);
            }
            ToEntry::Withdrawn(key, outcome) => {
                proc.owner.on_withdrawn(now, agent, &key, outcome);
            }
        }
        self.act(entry);
    }

    fn break_link(&mut self, entry: usize, agent: usize, noticed: bool) {
        let Some(link) = self.links.remove(&(entry, agent)) else {
            return;
        };
        if noticed && !self.entries[entry].paused {
            self.entries[entry].owner.agent_down(self.now, link.agent);
            self.act(entry);
        }
        self.old_links.push(link);
    }

    fn cut(&mut self, entries: usize, agents: usize) {
        self.island = (entries, agents);
        for (entry, agent) in pairs() {
            if self.entry_is_cut(entry) != self.agent_is_cut(agent) {
                self.break_link(entry, agent, true);
            }
        }
    }

    fn connect(&mut self, entry: usize, agent: usize) {
        let is_cut = self.entry_is_cut(entry) != self.agent_is_cut(agent);
        if is_cut || self.entries[entry].paused || self.agents[agent].paused {
            return;
        }
        self.break_link(entry, agent, false);
        let incarnation = self.agents[agent].incarnation;
        let link = Link {
            entry: self.entries[entry].owner.incarnation(),
            agent: incarnation,
            to_agent: Default::default(),
            to_entry: Default::default(),
        };
        self.links.insert((entry, agent), link);
        let services: Vec<_> = AgentProc::services(agent)
            .iter()
            .map(|name| (*name).into())
            .collect();
        let owner = &mut self.entries[entry].owner;
        owner.agent_up(self.now, incarnation, &services);
        self.act(entry);
    }

    fn give_up(&mut self, entry: usize, agent: usize) {
        if self.entries[entry].paused {
            return;
        }
        self.break_link(entry, agent, false);
        let agent = self.agents[agent].incarnation;
        self.entries[entry].owner.agent_gone(self.now, agent);
        self.act(entry);
    }

    fn append(&mut self, append: usize, outcome: Outcome) {
        if self.appends.is_empty() {
            return;
        }
        let append = self.appends.remove(append % self.appends.len());
        let reaches = self.log_up && !self.is_cut(append.from);
        let lands = reaches && outcome != Outcome::Failed;
        if lands {
            self.log.push((self.now, append.record));
        }
        let ok = lands && outcome == Outcome::Done;
        let now = self.now;
        for agent in &mut self.agents {
            if agent.incarnation == append.from {
                agent.on_append(append.sent, ok);
            }
        }
        for entry in 0..ENTRIES {
            let owner = &mut self.entries[entry].owner;
            if owner.incarnation() != append.from {
                continue;
            }
            match ok {
                true => owner.on_appended(now, append.takeover),
                false => owner.on_append_failed(now, append.takeover),
            }
            self.act(entry);
        }
    }

    fn is_cut(&self, incarnation: Incarnation) -> bool {
        let is_entry = |at: &usize| self.entries[*at].owner.incarnation() == incarnation;
        let is_agent = |at: &usize| self.agents[*at].incarnation == incarnation;
        (0..ENTRIES)
            .filter(is_entry)
            .any(|at| self.entry_is_cut(at))
            || (0..AGENTS).filter(is_agent).any(|at| self.agent_is_cut(at))
    }

    fn read_entry(&mut self, entry: usize) {
        let proc = &mut self.entries[entry];
        if !self.log_up || proc.paused || self.island.0 >> entry & 1 == 1 {
            return;
        }
        let now = self.now;
        let from = proc.read.max(self.first_retained);
        for (offset, (written, record)) in self.log.iter().enumerate().skip(from) {
            proc.owner
                .on_record(now, offset as u64, now - *written, record);
        }
        proc.read = self.log.len();
        for takeover in std::mem::take(&mut proc.reading) {
            proc.owner.on_caught_up(now, takeover);
        }
        self.act(entry);
        self.note_stamps(entry);
        for number in std::mem::take(&mut self.entries[entry].inbox) {
            self.submit(entry, number);
        }
    }

    fn read_agent(&mut self, agent: usize) {
        let proc = &mut self.agents[agent];
        if !self.log_up || proc.paused || self.island.1 >> agent & 1 == 1 {
            return;
        }
        let from = proc.read.max(self.first_retained);
        proc.on_records(self.now, from, &self.log[from..]);
        proc.read = self.log.len();
    }

    fn kill_entry(&mut self, entry: usize) {
        (0..AGENTS).for_each(|agent| self.break_link(entry, agent, false));
        let incarnation = self.new_incarnation();
        self.entries[entry] = EntryProc::new(self.rules, incarnation);
    }

    fn kill_agent(&mut self, agent: usize) {
        (0..ENTRIES).for_each(|entry| self.break_link(entry, agent, true));
        let incarnation = self.new_incarnation();
        self.agents[agent] = AgentProc::new(self.rules, incarnation, agent);
    }

    fn pause_entry(&mut self, entry: usize, paused: bool) {
        self.entries[entry].paused = paused;
        if !paused {
            for number in std::mem::take(&mut self.entries[entry].inbox) {
                self.submit(entry, number);
            }
        }
    }

    pub fn take(&mut self, entry: usize, shards: usize) {
        if self.entries[entry].paused {
            return;
        }
        let shards: Vec<_> = SHARDS
            .iter()
            .copied()
            .filter(|shard| shards >> shard & 1 == 1)
            .collect();
        self.entries[entry].owner.take(self.now, &shards);
        self.act(entry);
    }

    fn release(&mut self, entry: usize, shard: usize) {
        if self.entries[entry].paused {
            return;
        }
        self.entries[entry]
            .owner
            .release(self.now, &[SHARDS[shard]]);
        self.act(entry);
    }

    /// Has an entry tell the others what it owns.
    fn tell(&mut self, entry: usize) {
        if self.entry_is_cut(entry) {
            return;
        }
        for (shard, ballot) in self.entries[entry].owner.owned() {
            for other in (0..ENTRIES).filter(|other| *other != entry) {
                self.gossip.push((other, shard, ballot));
            }
        }
    }

    fn hear(&mut self, message: usize) {
        if self.gossip.is_empty() {
            return;
        }
        let (entry, shard, ballot) = self.gossip.remove(message % self.gossip.len());
        if !self.entries[entry].paused && !self.entry_is_cut(entry) {
            self.entries[entry]
                .owner
                .saw_ballot(self.now, shard, ballot);
            self.act(entry);
        }
    }

    fn dispatch(&mut self, entry: usize, task: usize, agent: usize) {
        let now = self.now;
        let proc = &mut self.entries[entry];
        if proc.paused || proc.queue.is_empty() || !self.links.contains_key(&(entry, agent)) {
            return;
        }
        let at = task % proc.queue.len();
        let (key, index) = proc.queue[at].clone();
        let incarnation = self.agents[agent].incarnation;
        let number = self.submissions.iter().position(|made| made.job.key == key);
        let service = &self.submissions[number.expect("it was submitted")]
            .job
            .service;
        if !AgentProc::services(agent).contains(&&**service) {
            return;
        }
        proc.queue.remove(at);
        if let Some(order) = proc.owner.start(now, &key, index, incarnation) {
            self.send_to_agent(entry, incarnation, ToAgent::Start(order));
        }
        self.act(entry);
    }

    fn work(&mut self, entry: usize) {
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

    fn finish(&mut self, agent: usize, task: usize, ok: bool) {
        let now = self.now;
        let proc = &mut self.agents[agent];
        if proc.paused || proc.running.is_empty() {
            return;
        }
        let at = task % proc.running.len();
        let (key, index) = proc.running.remove(at);
        let end = match ok {
            true => TaskEnd::Ok(body_of(&key, index).into()),
            false => TaskEnd::Failed("broken".to_owned()),
        };
        let result = TaskResult {
            end,
            run_time: Duration::from_millis(50),
        };
        proc.gate.finish(now, &key, index, result.clone());
        let owner = proc.gate.floor(hemlockhook_types::shard_of(&key)).owner;
        for ((_, at), link) in &mut self.links {
            if *at == agent && link.entry == owner {
                let done = ToEntry::Done(key.clone(), index, result.clone());
                link.to_entry.push_back(done.clone());
                link.to_entry.push_back(done);
            }
        }
    }

    fn cancel(&mut self, entry: usize, job: usize) {
        if self.submissions.is_empty() || self.entries[entry].paused {
            return;
        }
        let job = &self.submissions[job % self.submissions.len()].job;
        self.entries[entry].owner.cancel(self.now, &job.key);
        self.act(entry);
    }

    /// Has a deadline pass: what was not started is refused as not run.
    fn expire(&mut self, entry: usize, job: usize) {
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
        let answer = match owner.has_started(&key) {
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
        self.act(entry);
    }

    /// Has an agent leave, and hand its records to another one.
    fn leave(&mut self, agent: usize, custodian: Option<usize>) {
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
            .filter(|place| *place != agent && !self.agents[*place].paused)
            .filter(|place| self.agents[*place].gate.adopt(self.now, &custody).is_ok())
            .map(|place| self.agents[place].incarnation);
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

    pub fn connect_all(&mut self) {
        pairs().for_each(|(entry, agent)| self.connect(entry, agent));
    }

    fn note_stamps(&mut self, entry: usize) {
        for stamp in self.entries[entry].owner.owned() {
            if !self.stamps.contains(&stamp) {
                self.stamps.push(stamp);
            }
        }
    }

    /// Ends all faults, and checks that the system serves again: one owner a shard, and a fresh
    /// job completes.
    pub fn heal(&mut self) {
        self.log_up = true;
        self.island = (0, 0);
        for entry in 0..ENTRIES {
            self.pause_entry(entry, false);
        }
        for agent in 0..AGENTS {
            self.agents[agent].paused = false;
            if self.agents[agent].leaving {
                self.kill_agent(agent);
            }
        }
        self.connect_all();
        for (job, entry) in
            (0..self.submissions.len()).flat_map(|job| [(job, 0), (job, 1), (job, 2)])
        {
            self.expire(entry, job);
        }
        for round in 0..8 {
            self.advance(INTERVAL);
            self.calm();
            (0..ENTRIES).for_each(|entry| self.tell(entry));
            while !self.gossip.is_empty() {
                self.hear(0);
            }
            for shard in SHARDS {
                if round >= 4 && self.owners(shard) == 0 {
                    self.take(0, 1 << shard);
                }
            }
            self.calm();
        }
        for shard in SHARDS {
            let owners = self.owners(shard);
            assert!(owners == 1, "shard {shard} has {owners} owners");
        }
        for _ in SHARDS {
            self.check_service();
        }
    }

    fn owners(&self, shard: u16) -> usize {
        let owners = self.entries.iter();
        owners
            .filter(|entry| entry.owner.stamp(shard).is_some())
            .count()
    }

    /// Checks that a fresh job completes.
    fn check_service(&mut self) {
        let number = self.make_job(1, 1);
        let shard = self.submissions[number].job.shard();
        let entry = (0..ENTRIES)
            .find(|entry| self.entries[*entry].owner.stamp(shard).is_some())
            .expect("the shard is owned");
        self.submissions[number].stamp = self.entries[entry].owner.stamp(shard);
        let key = self.submissions[number].job.key.clone();
        self.submit(entry, number);
        for agent in 0..AGENTS {
            let queue = &self.entries[entry].queue;
            if let Some(task) = queue.iter().position(|(queued, _)| *queued == key) {
                self.dispatch(entry, task, agent);
            }
            self.calm();
            let running = &self.agents[agent].running;
            if let Some(task) = running.iter().position(|(running, _)| *running == key) {
                self.finish(agent, task, true);
            }
            self.calm();
        }
        let found = self.entries[entry].owner.look_up(&key);
        let answered = matches!(
            found,
            hemlockhook_ownership::LookUp::Answered(Answer::Complete(_))
        );
        assert!(answered, "a fresh job ends as {found:?}");
    }
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..ENTRIES).flat_map(|entry| (0..AGENTS).map(move |agent| (entry, agent)))
}
