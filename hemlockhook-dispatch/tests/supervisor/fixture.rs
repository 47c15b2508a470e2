//! An agent whose upstream and entries a test plays.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hemlockhook_dispatch::agent::{
    Action, ActiveRun, Announcement, AnnouncementStatus, DescriptionNumber, EndedRun, FrameHeader,
    HoldCall, HoldResult, LifeNumber, LinkId, Report, RunOrder, RunOutcome, StartCall, StartResult,
    StopResult, Supervisor, SupervisorPolicy,
};
use hemlockhook_dispatch::{
    Amounts, AttemptEnd, ClaimStatus, HeldAttempts, Outcome, TaskId, TaskRef,
};

pub const LINK: u64 = 1;
pub const ENTRY: u64 = 7;
pub const CORE: u64 = 1000;

pub struct Agent {
    pub now: Instant,
    pub supervisor: Supervisor,
    pub starts: Vec<StartCall>,
    pub holds: Vec<HoldCall>,
    pub stops: usize,
    pub ends: Vec<AttemptEnd>,
    pub reports: usize,
    /// Links of all reports.
    pub reported_links: Vec<LinkId>,
    /// What the first reports of links listed.
    pub held: Vec<HeldAttempts>,
    /// Answers to claims, as links, numbers of claims and states.
    pub claims: Vec<(LinkId, u64, ClaimStatus)>,
    /// The last share reported on each link.
    pub shares: BTreeMap<LinkId, f64>,
    /// The last state reported on each link, as instance and whether it accepts work.
    pub states: BTreeMap<LinkId, (String, bool)>,
    /// Number of the last listed end.
    pub last_end: u64,
    pub started_ms: u64,
    /// Description that orders name.
    pub description: Option<DescriptionNumber>,
    /// The upstream's clock in its lists.
    pub clock_ms: u64,
}

impl Agent {
    /// Creates an agent whose upstream has four cores and no active runs.
    pub fn new() -> Self {
        Self::with_policy(SupervisorPolicy::default())
    }

    /// Creates an agent like [`Agent::new`] that reports cold upstreams as half as fast.
    pub fn cold_aware() -> Self {
        Self::with_policy(SupervisorPolicy {
            cold_pace_factor: 2.0,
            ..SupervisorPolicy::default()
        })
    }

    pub fn with_policy(policy: SupervisorPolicy) -> Self {
        let mut agent = Self::unlinked(policy);
        agent.announce("up-1", 1, false);
        agent.answer_hold(&[], &[]);
        agent.link();
        agent
    }

    /// Creates an agent that is linked and knows of no upstream.
    pub fn unannounced() -> Self {
        let mut agent = Self::unlinked(SupervisorPolicy::default());
        agent.link();
        agent
    }

    fn link(&mut self) {
        self.supervisor
            .linked(self.now, LINK, ENTRY, None, self.now, 0);
        self.collect();
    }

    fn unlinked(policy: SupervisorPolicy) -> Self {
        let now = Instant::now();
        Self {
            now,
            supervisor: Supervisor::new(policy, 100),
            starts: Vec::new(),
            holds: Vec::new(),
            stops: 0,
            ends: Vec::new(),
            reports: 0,
            reported_links: Vec::new(),
            held: Vec::new(),
            claims: Vec::new(),
            shares: BTreeMap::new(),
            states: BTreeMap::new(),
            last_end: 0,
            started_ms: 1,
            description: None,
            clock_ms: 10_000,
        }
    }

    pub fn announce(
        &mut self,
        instance: &str,
        started_ms: u64,
        is_leaving: bool,
    ) -> AnnouncementStatus {
        self.announce_with(instance, started_ms, "desk", is_leaving)
    }

    pub fn announce_service(
        &mut self,
        instance: &str,
        started_ms: u64,
        service: &str,
    ) -> AnnouncementStatus {
        self.announce_with(instance, started_ms, service, false)
    }

    fn announce_with(
        &mut self,
        instance: &str,
        started_ms: u64,
        service: &str,
        is_leaving: bool,
    ) -> AnnouncementStatus {
        let announcement = Announcement {
            instance: instance.into(),
            started_ms,
            sequence: 1,
            service: service.into(),
            capacity: Amounts {
                cpu: 4 * CORE,
                memory_mb: 100,
                gpus: 0,
            },
            labels: Vec::new(),
            is_leaving,
            clock_ms: Some(10_000),
            cold: Duration::ZERO,
        };
        let status = self.supervisor.announced(self.now, announcement);
        if status == AnnouncementStatus::Accepted {
            self.started_ms = started_ms;
        }
        self.collect();
        status
    }

    /// Announces the known upstream with other labels.
    pub fn announce_labels(&mut self, labels: &[&str]) {
        let known = self.supervisor.upstream().expect("an upstream is known");
        let announcement = Announcement {
            labels: labels.iter().map(|&label| label.into()).collect(),
            ..known.clone()
        };
        self.supervisor.announced(self.now, announcement);
        self.collect();
    }

    /// Returns the description in the state that the agent reports.
    pub fn described(&self) -> Option<DescriptionNumber> {
        let state = self.supervisor.state(self.now);
        state.map(|state| state.description)
    }

    /// Announces the known upstream with another capacity.
    pub fn announce_capacity(&mut self, capacity: Amounts) {
        let known = self.supervisor.upstream().expect("an upstream is known");
        let announcement = Announcement {
            capacity,
            ..known.clone()
        };
        self.supervisor.announced(self.now, announcement);
        self.collect();
    }

    pub fn order(&mut self, job: &str, cores: u64) {
        let need = Amounts {
            cpu: cores * CORE,
            memory_mb: 1,
            gpus: 0,
        };
        self.order_needing(job, need);
    }

    pub fn order_needing(&mut self, job: &str, need: Amounts) {
        let order = RunOrder {
            task: attempt(job),
            description: self.description,
            payload: "".into(),
            need,
            expected: Duration::from_millis(50),
            class: 0,
            due_ms: 100,
            wait: Duration::from_secs(1),
            kind: 7,
        };
        self.supervisor.ordered(self.now, LINK, order);
        self.collect();
    }

    /// Answers the start call of a job's task.
    pub fn answer_start(&mut self, job: &str, result: StartResult) {
        let call = self.starts.iter().rev().find(|call| &*call.task.job == job);
        let call = call.expect("the task was started");
        let (key, life) = (call.key, call.life);
        self.supervisor.start_answered(self.now, key, life, result);
        self.collect();
    }

    pub fn start(&mut self, job: &str) {
        self.order(job, 1);
        self.answer_start(job, StartResult::Started { clock_ms: 10_000 });
    }

    /// Answers a stop call for a job's task to the present life of the upstream.
    pub fn answer_stop(&mut self, job: &str, result: StopResult) {
        let life = self.life();
        self.supervisor
            .stop_answered(self.now, &attempt(job), life, result);
    }

    /// Answers a hold call, which may be to an earlier life of the upstream.
    pub fn answer_call(&mut self, call: &HoldCall, result: Option<HoldResult>) {
        self.supervisor
            .hold_answered(self.now, self.now, call.life, call.wait, result);
        self.collect();
    }

    /// Returns the number of the present life of the upstream.
    pub fn life(&self) -> LifeNumber {
        self.supervisor.life().unwrap_or_default()
    }

    pub fn answer_hold_with(&mut self, result: Option<HoldResult>) {
        let life = self.life();
        self.supervisor
            .hold_answered(self.now, self.now, life, Duration::ZERO, result);
        self.collect();
    }

    pub fn answer_hold(&mut self, running: &[(&str, u64)], ended: &[(&str, u64, RunOutcome)]) {
        let result = self.lists(running, ended);
        self.answer_hold_with(Some(result));
    }

    /// Answers the call that waits for an end.
    pub fn answer_long_hold(&mut self, running: &[(&str, u64)], ended: &[(&str, u64, RunOutcome)]) {
        let result = self.lists(running, ended);
        let wait = SupervisorPolicy::default().hold_wait;
        let life = self.life();
        self.supervisor
            .hold_answered(self.now, self.now, life, wait, Some(result));
        self.collect();
    }

    /// Acknowledges the stop of a job's task, and lists nothing afterwards.
    pub fn settle_stop(&mut self, job: &str) {
        self.answer_stop(job, StopResult::Stopped { clock_ms: 10_000 });
        self.answer_hold(&[], &[]);
    }

    pub fn lists(
        &mut self,
        running: &[(&str, u64)],
        ended: &[(&str, u64, RunOutcome)],
    ) -> HoldResult {
        let rows = ended.iter().map(|&(job, run, outcome)| {
            self.last_end += 1;
            EndedRun {
                number: self.last_end,
                task: task(job),
                run,
                outcome,
            }
        });
        let ended = rows.collect();
        let running = running.iter().map(|&(job, run)| ActiveRun {
            task: task(job),
            run,
            percent: 50,
        });
        HoldResult::Lists {
            clock_ms: self.clock_ms,
            started_ms: self.started_ms,
            running: running.collect(),
            ended,
        }
    }

    /// Links more entries, each on the link with the next number, which is also its rank.
    pub fn link_others(&mut self, count: u64) {
        for other in 1..=count {
            let (link, entry) = (LINK + other, ENTRY + other);
            self.supervisor
                .linked(self.now, link, entry, None, self.now, other);
        }
        self.collect();
    }

    pub fn header(&self, state_interval: Duration) -> FrameHeader {
        FrameHeader {
            seq: 1,
            echoed: self.now,
            state_interval,
            wants_state: false,
            demand_milli: None,
        }
    }

    /// Delivers a frame of each of `count` entries, which echoes what was sent until now.
    pub fn echo_all(&mut self, count: u64, state_interval: Duration) {
        let header = self.header(state_interval);
        for other in 0..count {
            self.supervisor
                .frame_received(self.now, LINK + other, &header);
        }
    }

    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.supervisor.tick(self.now);
        self.collect();
    }

    /// Advances the time in ticks, as it passes for an agent without pauses and a live entry.
    pub fn advance_by_ticks(&mut self, millis: u64) {
        const TICK_MS: u64 = 10;
        for _ in 0..millis / TICK_MS {
            self.echo_all(1, Duration::from_secs(1));
            self.advance(TICK_MS);
        }
    }

    pub fn collect(&mut self) {
        for action in self.supervisor.take_actions() {
            match action {
                Action::Start(call) => self.starts.push(call),
                Action::Stop(_) => self.stops += 1,
                Action::Hold(call) => self.holds.push(call),
            }
        }
        for (link, answers) in self.supervisor.take_claim_answers() {
            let answers = answers.iter();
            let answers = answers.map(|answer| (link, answer.number, answer.status));
            self.claims.extend(answers);
        }
        let reports = self.supervisor.take_reports(self.now);
        self.reports += reports.len();
        for report in &reports {
            self.reported_links.push(report.link);
            self.held.extend(report.held.clone());
            if let Some(state) = &report.state {
                self.shares.insert(report.link, state.share);
                let known = (state.instance.to_string(), state.is_usable);
                self.states.insert(report.link, known);
            }
        }
        self.ends
            .extend(reports.into_iter().flat_map(|report: Report| report.ends));
    }

    pub fn outcomes(&self) -> Vec<(&str, Outcome)> {
        let end = |end: &'_ AttemptEnd| end.outcome;
        self.ends
            .iter()
            .map(|ended| (&*ended.task.task.job, end(ended)))
            .collect()
    }
}

pub fn task(job: &str) -> TaskId {
    TaskId {
        job: job.into(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

pub fn attempt(job: &str) -> TaskRef {
    TaskRef {
        task: task(job),
        attempt: 1,
    }
}
