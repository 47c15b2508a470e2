//! Tests of the supervisor: capacity, leases, unanswered starts and upstream health.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_dispatch::agent::{
    Action, ActiveRun, Announcement, AnnouncementStatus, EndedRun, FrameHeader, HoldResult, LinkId,
    Report, RunOrder, RunOutcome, StartCall, StartResult, StopResult, Supervisor, SupervisorPolicy,
};
use hemlockhook_dispatch::{Amounts, AttemptEnd, Outcome, TaskId, TaskRef};

const LINK: u64 = 1;
const ENTRY: u64 = 7;
const CORE: u64 = 1000;

struct Agent {
    now: Instant,
    supervisor: Supervisor,
    starts: Vec<StartCall>,
    stops: usize,
    ends: Vec<AttemptEnd>,
    reports: usize,
    /// Links of all reports.
    reported_links: Vec<LinkId>,
    /// The last share reported on each link.
    shares: BTreeMap<LinkId, f64>,
    /// Number of the last listed end.
    last_end: u64,
    started_ms: u64,
}

impl Agent {
    /// Creates an agent whose upstream has four cores and no active runs.
    fn new() -> Self {
        let now = Instant::now();
        let mut agent = Self {
            now,
            supervisor: Supervisor::new(SupervisorPolicy::default(), 100),
            starts: Vec::new(),
            stops: 0,
            ends: Vec::new(),
            reports: 0,
            reported_links: Vec::new(),
            shares: BTreeMap::new(),
            last_end: 0,
            started_ms: 1,
        };
        agent.announce("up-1", 1, false);
        agent.answer_hold(&[], &[]);
        agent.supervisor.linked(now, LINK, ENTRY, None, now, 0);
        agent.collect();
        agent
    }

    fn announce(
        &mut self,
        instance: &str,
        started_ms: u64,
        is_leaving: bool,
    ) -> AnnouncementStatus {
        let announcement = Announcement {
            instance: instance.into(),
            started_ms,
            sequence: 1,
            service: "desk".into(),
            capacity: Amounts {
                cpu: 4 * CORE,
                memory_mb: 100,
                gpus: 0,
            },
            labels: Vec::new(),
            is_leaving,
            clock_ms: Some(10_000),
        };
        let status = self.supervisor.announced(self.now, announcement);
        if status == AnnouncementStatus::Accepted {
            self.started_ms = started_ms;
        }
        self.collect();
        status
    }

    fn order(&mut self, job: &str, cores: u64) {
        let order = RunOrder {
            task: attempt(job),
            payload: "".into(),
            need: Amounts {
                cpu: cores * CORE,
                memory_mb: 1,
                gpus: 0,
            },
            expected: Duration::from_millis(50),
            class: 0,
            due_ms: 100,
            wait: Duration::from_secs(1),
        };
        self.supervisor.ordered(self.now, LINK, order);
        self.collect();
    }

    /// Answers the start call of a job's task.
    fn answer_start(&mut self, job: &str, result: StartResult) {
        let call = self.starts.iter().rev().find(|call| &*call.task.job == job);
        let key = call.expect("the task was started").key;
        self.supervisor.start_answered(self.now, key, result);
        self.collect();
    }

    fn start(&mut self, job: &str) {
        self.order(job, 1);
        self.answer_start(job, StartResult::Started { clock_ms: 10_000 });
    }

    fn answer_hold_with(&mut self, result: Option<HoldResult>) {
        self.supervisor
            .hold_answered(self.now, self.now, Duration::ZERO, result);
        self.collect();
    }

    fn answer_hold(&mut self, running: &[(&str, u64)], ended: &[(&str, u64, RunOutcome)]) {
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
        let result = HoldResult::Lists {
            clock_ms: 10_000,
            started_ms: self.started_ms,
            running: running.collect(),
            ended,
        };
        self.answer_hold_with(Some(result));
    }

    /// Links more entries, each on the link with the next number, which is also its rank.
    fn link_others(&mut self, count: u64) {
        for other in 1..=count {
            let (link, entry) = (LINK + other, ENTRY + other);
            self.supervisor
                .linked(self.now, link, entry, None, self.now, other);
        }
        self.collect();
    }

    fn header(&self, state_interval: Duration) -> FrameHeader {
        FrameHeader {
            seq: 1,
            echoed: self.now,
            state_interval,
            wants_state: false,
        }
    }

    /// Delivers a frame of each of `count` entries, which echoes what was sent until now.
    fn echo_all(&mut self, count: u64, state_interval: Duration) {
        let header = self.header(state_interval);
        for other in 0..count {
            self.supervisor
                .frame_received(self.now, LINK + other, &header);
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.supervisor.tick(self.now);
        self.collect();
    }

    fn collect(&mut self) {
        for action in self.supervisor.take_actions() {
            match action {
                Action::Start(call) => self.starts.push(call),
                Action::Stop(_) => self.stops += 1,
                Action::Hold(_) => {}
            }
        }
        let reports = self.supervisor.take_reports(self.now);
        self.reports += reports.len();
        for report in &reports {
            self.reported_links.push(report.link);
            if let Some(state) = &report.state {
                self.shares.insert(report.link, state.share);
            }
        }
        self.ends
            .extend(reports.into_iter().flat_map(|report: Report| report.ends));
    }

    fn outcomes(&self) -> Vec<(&str, Outcome)> {
        let end = |end: &'_ AttemptEnd| end.outcome;
        self.ends
            .iter()
            .map(|ended| (&*ended.task.task.job, end(ended)))
            .collect()
    }
}

fn task(job: &str) -> TaskId {
    TaskId {
        job: job.into(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn attempt(job: &str) -> TaskRef {
    TaskRef {
        task: task(job),
        attempt: 1,
    }
}

#[gtest]
fn starts_stay_within_capacity_and_a_waiting_order_starts_after_an_end() {
    let mut agent = Agent::new();
    for job in ["a", "b", "c", "d"] {
        agent.start(job);
    }
    agent.order("e", 1);
    expect_that!(agent.starts.len(), eq(4));
    agent.answer_hold(
        &[("b", 1), ("c", 1), ("d", 1)],
        &[("a", 1, RunOutcome::Done)],
    );
    expect_that!(agent.starts.len(), eq(5));
    expect_that!(agent.outcomes(), elements_are![eq(&("a", Outcome::Done))]);
}

#[gtest]
fn a_stopping_run_keeps_its_reservation_until_its_end_is_listed() {
    let mut agent = Agent::new();
    agent.order("a", 4);
    agent.answer_start("a", StartResult::Started { clock_ms: 10_000 });
    agent.supervisor.cancelled(agent.now, LINK, &attempt("a"));
    agent.order("b", 1);
    agent.supervisor.stop_answered(
        agent.now,
        &attempt("a"),
        StopResult::Stopped { clock_ms: 10_000 },
    );
    agent.collect();
    expect_that!(agent.starts.len(), eq(1));
    agent.answer_hold(&[], &[("a", 1, RunOutcome::Stopped)]);
    expect_that!(agent.starts.len(), eq(2));
}

#[gtest]
fn an_unanswered_start_is_retried_only_once_it_can_no_longer_arrive() {
    let mut agent = Agent::new();
    agent.order("a", 1);
    agent.answer_start("a", StartResult::NoAnswer);
    expect_that!(agent.stops, eq(1));
    agent.answer_hold(&[], &[]);
    expect_that!(agent.starts.len(), eq(1));
    agent.supervisor.stop_answered(
        agent.now,
        &attempt("a"),
        StopResult::Stopped { clock_ms: 10_000 },
    );
    agent.answer_hold(&[], &[]);
    expect_that!(agent.starts.len(), eq(2));
    expect_that!(agent.starts[1].run, gt(agent.starts[0].run));
}

#[gtest]
fn a_start_listed_as_active_counts_as_started() {
    let mut agent = Agent::new();
    agent.order("a", 1);
    // The lists arrive before the answer to the start.
    agent.answer_hold(&[("a", 1)], &[]);
    agent.answer_start("a", StartResult::NoAnswer);
    expect_that!(agent.stops, eq(0));
}

#[gtest]
fn the_runs_of_a_silent_entry_are_stopped_after_the_owner_timeout() {
    let mut agent = Agent::new();
    agent.start("a");
    agent.advance(300);
    expect_that!(agent.stops, eq(0));
    agent.advance(150);
    expect_that!(agent.stops, eq(1));
}

#[gtest]
fn a_delayed_order_is_not_started() {
    let mut agent = Agent::new();
    agent.now += Duration::from_secs(2);
    agent.order("a", 1);
    expect_that!(agent.starts, is_empty());
    expect_that!(
        agent.outcomes(),
        elements_are![eq(&("a", Outcome::NotStarted))]
    );
}

#[gtest]
fn orders_from_before_a_timeout_end_with_a_new_link() {
    let mut agent = Agent::new();
    for job in ["a", "b", "c", "d", "e"] {
        agent.order(job, 1);
    }
    expect_that!(agent.starts.len(), eq(4));
    agent.now += Duration::from_secs(2);
    agent
        .supervisor
        .linked(agent.now, LINK + 1, ENTRY, None, agent.now, 0);
    agent.answer_hold(&[], &[]);
    expect_that!(agent.starts.len(), eq(4));
}

#[gtest]
fn another_incarnation_of_the_same_name_gets_a_higher_fencing_token() {
    let mut agent = Agent::new();
    agent.start("a");
    let before = agent.starts[0].fence;
    expect_that!(
        agent.announce("up-1", 2, false),
        eq(AnnouncementStatus::Accepted)
    );
    // The start call may be in flight: the run is stopped before its task is placed elsewhere.
    expect_that!(agent.outcomes(), is_empty());
    agent.supervisor.stop_answered(
        agent.now,
        &attempt("a"),
        StopResult::Stopped { clock_ms: 10 },
    );
    agent.answer_hold(&[], &[]);
    agent.announce("up-1", 2, false);
    expect_that!(agent.outcomes(), elements_are![eq(&("a", Outcome::Lost))]);
    agent.order("b", 1);
    expect_that!(agent.starts.last().map(|call| call.fence), some(gt(before)));
}

#[gtest]
fn an_announcement_of_an_earlier_incarnation_is_ignored() {
    let mut agent = Agent::new();
    agent.announce("up-2", 5, false);
    agent.answer_hold_with(Some(HoldResult::OtherInstance));
    expect_that!(
        agent.announce("up-1", 1, false),
        eq(AnnouncementStatus::Outdated)
    );
}

#[gtest]
fn an_announcement_of_another_writer_ends_no_runs() {
    let mut agent = Agent::new();
    agent.start("a");
    expect_that!(
        agent.announce("stray", 5, false),
        eq(AnnouncementStatus::Unverified)
    );
    expect_that!(agent.outcomes(), is_empty());
    // The known upstream still answers.
    agent.answer_hold(&[("a", 1)], &[]);
    agent.start("b");
    expect_that!(agent.outcomes(), is_empty());
    expect_that!(agent.starts[1].instance.as_ref(), eq("up-1"));
}

#[gtest]
fn an_upstream_that_took_the_place_of_the_known_one_is_used() {
    for silent in [false, true] {
        let mut agent = Agent::new();
        agent.start("a");
        agent.announce("up-2", 5, false);
        match silent {
            // Nothing listens any more, or does so under another name.
            true => (0..2).for_each(|_| agent.answer_hold_with(None)),
            false => agent.answer_hold_with(Some(HoldResult::OtherInstance)),
        }
        expect_that!(agent.outcomes(), elements_are![eq(&("a", Outcome::Lost))]);
        agent.started_ms = 5;
        agent.answer_hold(&[], &[]);
        agent.order("b", 1);
        let last = agent.starts.last().map(|call| call.instance.to_string());
        expect_that!(last, some(eq("up-2")));
    }
}

#[gtest]
fn a_leaving_upstream_gets_no_new_work_and_finishes_its_runs() {
    let mut agent = Agent::new();
    agent.start("a");
    agent.announce("up-1", 1, true);
    agent.order("b", 1);
    expect_that!(agent.starts.len(), eq(1));
    expect_that!(agent.stops, eq(0));
    expect_that!(
        agent.outcomes(),
        elements_are![eq(&("b", Outcome::NotStarted))]
    );
}

#[gtest]
fn an_upstream_that_fails_tasks_of_several_jobs_is_probed_one_at_a_time() {
    // An upstream can fail every task while its announcements are normal.
    let mut agent = Agent::new();
    for job in ["a", "b", "c"] {
        agent.start(job);
        agent.answer_hold(&[], &[(job, 1, RunOutcome::Failed)]);
    }
    let last = agent.outcomes().last().copied();
    expect_that!(last, some(eq(("c", Outcome::FailedByUpstream))));
    agent.order("d", 1);
    expect_that!(agent.starts.len(), eq(3));
    agent.now += Duration::from_millis(900);
    agent
        .supervisor
        .linked(agent.now, LINK, ENTRY, None, agent.now, 0);
    agent.order("e", 1);
    agent.order("f", 1);
    expect_that!(agent.starts.len(), eq(4));
}

#[gtest]
fn the_failures_of_one_job_do_not_make_an_upstream_unhealthy() {
    let mut agent = Agent::new();
    for run in 1..=4 {
        agent.start("a");
        agent.answer_hold(&[], &[("a", run, RunOutcome::Failed)]);
    }
    agent.order("b", 1);
    expect_that!(agent.starts.len(), eq(5));
}

/// Nine entries share an agent whose state changes with each task of any of them, and each asks for
/// 30 reports a second at most.
#[gtest]
fn state_changes_are_reported_to_entries_at_a_bounded_rate() {
    const REPORTS_PER_S: usize = 30;
    let mut agent = Agent::new();
    agent.link_others(8);
    agent.reports = 0;
    for _ in 0..1000 {
        agent.now += Duration::from_millis(1);
        agent.echo_all(9, Duration::from_secs(1) / REPORTS_PER_S as u32);
        // An announcement counts as a change, like the start and end of a task.
        agent.announce("up-1", 1, false);
    }
    // Each link has its first report besides.
    let active = SupervisorPolicy::default().active_links;
    expect_that!(agent.reports, le(active * REPORTS_PER_S + 9));
    expect_that!(agent.reports, ge(active * REPORTS_PER_S / 2));
}

/// Hundreds of entries know an agent, and few of them use it.
#[gtest]
fn what_an_agent_reports_does_not_grow_with_the_entries_that_do_not_use_it() {
    let reports_of = |others: u64| {
        let mut agent = Agent::new();
        agent.link_others(others);
        agent.reports = 0;
        for _ in 0..400 {
            agent.now += Duration::from_millis(10);
            agent.echo_all(others + 1, Duration::from_millis(100));
            agent.announce("up-1", 1, false);
        }
        agent.reports as u64 / 4
    };
    let few = reports_of(7);
    let many = reports_of(169);
    // A standby link costs half a report a second.
    expect_that!(many, le(few + 162));
    expect_that!(many, ge(few));
}

#[gtest]
fn an_entry_that_requests_the_state_gets_it_at_once() {
    let mut agent = Agent::new();
    agent.link_others(20);
    agent.advance(100);
    let reports = agent.reports;
    let standby = LINK + 20;
    let header = FrameHeader {
        wants_state: true,
        ..agent.header(Duration::from_millis(10))
    };
    agent.supervisor.frame_received(agent.now, standby, &header);
    agent.collect();
    expect_that!(agent.reports, eq(reports + 1));
    // From then on it is told of changes like the others.
    agent.advance(20);
    agent.announce("up-1", 1, false);
    expect_that!(agent.reported_links.last(), some(eq(&standby)));
}

#[gtest]
fn an_entry_counts_on_the_part_that_it_uses() {
    let mut agent = Agent::new();
    agent.link_others(3);
    agent.start("a");
    for _ in 0..200 {
        agent.now += Duration::from_millis(10);
        agent.echo_all(4, Duration::from_millis(10));
        agent.answer_hold(&[("a", 1)], &[]);
        agent.announce("up-1", 1, false);
    }
    expect_that!(agent.shares[&LINK], ge(0.95));
    expect_that!(agent.shares[&(LINK + 1)], approx_eq(0.25));
}

#[gtest]
fn a_link_is_silent_once_a_report_is_not_echoed() {
    let timeout = Duration::from_millis(1100);
    let mut agent = Agent::new();
    agent.echo_all(1, Duration::from_millis(10));
    // Nothing is due for a while on a link that stands by.
    expect_false!(agent.supervisor.is_link_silent(agent.now, LINK, timeout));
    agent.advance(2000);
    expect_false!(agent.supervisor.is_link_silent(agent.now, LINK, timeout));
    agent.advance(1200);
    expect_true!(agent.supervisor.is_link_silent(agent.now, LINK, timeout));
    agent.echo_all(1, Duration::from_millis(10));
    expect_false!(agent.supervisor.is_link_silent(agent.now, LINK, timeout));
}
