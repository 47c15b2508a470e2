//! Tests of the dispatcher's scheduling rules, one rule each.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_schedule::{
    Dispatcher, Intervention, InterventionKind, JobId, JobSpec, Placement, Policy, TaskSpec,
    UpstreamHealth, UpstreamSpec,
};
use hemlockhook_types::Incarnation;

const SLOTS: u32 = 8;
const HOUR: Duration = Duration::from_secs(3600);

fn upstream(name: &str) -> UpstreamSpec {
    UpstreamSpec {
        name: name.into(),
        services: vec!["price".into()],
        worker: format!("worker of {name}").into(),
        rack: "rack".into(),
        data_center: "osijek".into(),
        slots: SLOTS,
    }
}

fn job(now: Instant, team: &str, tasks: u32, declared_ms: u64) -> JobSpec {
    let declared_run_time = Some(Duration::from_millis(declared_ms));
    let task = |index| TaskSpec {
        index,
        class: "plain".into(),
        declared_run_time,
    };
    JobSpec {
        team: team.into(),
        service: "price".into(),
        deadline: now + HOUR,
        tasks: (0..tasks).map(task).collect(),
    }
}

/// Drives a dispatcher that is granted a slot again as soon as a task ends.
struct Harness {
    now: Instant,
    dispatcher: Dispatcher,
    running: Vec<(Instant, Placement)>,
    teams: HashMap<JobId, &'static str>,
    run_time: Duration,
}

impl Harness {
    fn new(policy: Policy, upstreams: u64) -> Self {
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new(policy, "osijek");
        for agent in 1..=upstreams {
            dispatcher.add_upstream(now, agent, upstream(&format!("upstream-{agent}")));
            dispatcher.add_grants(now, agent, SLOTS);
        }
        let run_time = Duration::from_millis(100);
        Self {
            now,
            dispatcher,
            running: Vec::new(),
            teams: HashMap::new(),
            run_time,
        }
    }

    fn submit(&mut self, team: &'static str, tasks: u32, declared_ms: u64) -> JobId {
        let spec = job(self.now, team, tasks, declared_ms);
        let job = self
            .dispatcher
            .submit(self.now, spec)
            .expect("the job is accepted");
        self.teams.insert(job, team);
        job
    }

    fn place(&mut self) -> Vec<Placement> {
        let now = self.now;
        let placed: Vec<_> = std::iter::from_fn(|| self.dispatcher.place_next(now)).collect();
        self.running
            .extend(placed.iter().map(|placement| (now, *placement)));
        placed
    }

    /// Advances the time by the run time of one task, ends the running tasks and places the next
    /// ones.
    fn run_round<F>(&mut self, is_ok: F) -> Vec<Placement>
    where
        F: Fn(Incarnation) -> bool,
    {
        self.now += self.run_time;
        for (_, p) in std::mem::take(&mut self.running) {
            let ok = is_ok(p.agent);
            self.dispatcher
                .finish_task(self.now, p.agent, p.job, p.index, self.run_time, ok);
            self.dispatcher.add_grants(self.now, p.agent, 1);
        }
        self.place()
    }

    fn health(&self, agent: Incarnation) -> UpstreamHealth {
        let snapshot = self.dispatcher.snapshot();
        let upstream = snapshot
            .upstreams
            .iter()
            .find(|upstream| upstream.agent == agent);
        upstream.expect("the upstream is linked").health
    }
}

#[gtest]
fn jobs_that_cannot_run_are_rejected_with_a_reason() {
    let policy = Policy {
        teams: vec![("farms".into(), 1)],
        services: vec!["price".into(), "stock".into()],
        max_queued: 3,
        ..Policy::default()
    };
    let mut harness = Harness::new(policy, 1);
    let now = harness.now;
    let mut submit_outcome = |spec| match harness.dispatcher.submit(now, spec) {
        Ok(_) => "accepted".into(),
        Err(rejection) => rejection.to_string(),
    };
    let with_service = |service: &str| JobSpec {
        service: service.into(),
        ..job(now, "farms", 1, 100)
    };
    insta::assert_snapshot!(submit_outcome(job(now, "ghosts", 1, 100)), @"no_such_team: the inventory has no team ghosts");
    insta::assert_snapshot!(submit_outcome(with_service("film")), @"no_such_service: the inventory has no service film");
    insta::assert_snapshot!(submit_outcome(with_service("stock")), @"no_upstream: no upstream runs the service stock");
    insta::assert_snapshot!(submit_outcome(JobSpec { deadline: now, ..job(now, "farms", 1, 100) }), @"deadline: the deadline has passed");
    insta::assert_snapshot!(submit_outcome(job(now, "farms", 4, 100)), @"overloaded: 0 tasks are queued");
    insta::assert_snapshot!(submit_outcome(job(now, "farms", 3, 100)), @"accepted");
}

#[gtest]
fn job_that_cannot_meet_its_deadline_is_rejected_with_retry_after() {
    let mut harness = Harness::new(Policy::default(), 1);
    (0..20).for_each(|_| _ = harness.submit("farms", 100, 500));
    harness.place();
    let now = harness.now;
    let deadline = now + Duration::from_secs(1);
    let spec = JobSpec {
        deadline,
        ..job(now, "farms", 100, 500)
    };
    let rejection = harness
        .dispatcher
        .submit(now, spec)
        .expect_err("the job cannot meet its deadline");
    expect_that!(rejection.reason.to_string(), eq("deadline"));
    expect_that!(rejection.retry_after, some(ge(Duration::from_secs(1))));
}

#[gtest]
fn cancelled_jobs_leave_no_state() {
    let mut harness = Harness::new(Policy::default(), 1);
    let jobs: Vec<JobId> = (0..100)
        .map(|_| harness.submit("farms", 100, 100))
        .collect();
    harness.place();
    for job in jobs {
        harness.dispatcher.cancel_queued(harness.now, job);
        harness.dispatcher.finish_job(job);
    }
    let placed = harness.run_round(|_| false);
    expect_that!(placed, is_empty());
    let snapshot = harness.dispatcher.snapshot();
    expect_that!(snapshot.services, is_empty());
    expect_that!(snapshot.teams, is_empty());
    expect_that!(snapshot.upstreams[0].running, eq(0));
    expect_that!(
        harness.health(1),
        not(eq(UpstreamHealth::Quarantined)),
        "tasks of cancelled jobs do not count as failures"
    );
    expect_that!(harness.dispatcher.next_wakeup(), none());
}

#[gtest]
fn upstream_that_fails_everything_is_quarantined_within_the_bound() {
    let mut harness = Harness::new(Policy::default(), 2);
    let mut placed_on_failing = 0;
    for _ in 0..600 {
        (0..SLOTS * 2).for_each(|_| _ = harness.submit("farms", 1, 100));
        let placed = harness.run_round(|agent| agent != 1);
        placed_on_failing += placed
            .iter()
            .filter(|placement| placement.agent == 1)
            .count();
    }
    expect_that!(harness.health(1), eq(UpstreamHealth::Quarantined));
    expect_that!(harness.health(2), eq(UpstreamHealth::Healthy));
    // Three consecutive failures, the tasks that ran at that time, and probes after 1, 2, 4, 8, 16
    // and 32 s.
    expect_that!(placed_on_failing, le(3 + SLOTS as usize + 6));
}

#[gtest]
fn quarantined_upstream_recovers_through_probes() {
    let mut harness = Harness::new(Policy::default(), 2);
    let submit =
        |harness: &mut Harness| (0..SLOTS * 2).for_each(|_| _ = harness.submit("farms", 1, 100));
    for _ in 0..20 {
        submit(&mut harness);
        harness.run_round(|agent| agent != 1);
    }
    expect_that!(harness.health(1), eq(UpstreamHealth::Quarantined));
    for _ in 0..200 {
        submit(&mut harness);
        harness.run_round(|_| true);
    }
    expect_that!(harness.health(1), eq(UpstreamHealth::Healthy));
}

#[gtest]
fn failures_shared_by_peers_cause_no_quarantine() {
    let mut harness = Harness::new(Policy::default(), 2);
    for _ in 0..50 {
        (0..SLOTS * 2).for_each(|_| _ = harness.submit("farms", 1, 100));
        harness.run_round(|_| false);
    }
    let healths = [harness.health(1), harness.health(2)];
    expect_that!(healths, each(not(eq(UpstreamHealth::Quarantined))));
}

#[gtest]
fn overloading_team_leaves_others_their_share_and_borrows_idle_slots() {
    let teams = vec![("farms".into(), 1), ("sales".into(), 1)];
    let mut harness = Harness::new(
        Policy {
            teams,
            ..Policy::default()
        },
        1,
    );
    (0..1000).for_each(|_| _ = harness.submit("farms", 1, 100));
    let mut alone = 0;
    (0..20).for_each(|_| alone += harness.run_round(|_| true).len());
    expect_that!(
        alone,
        ge(20 * SLOTS as usize - 12),
        "all slots except during slow start"
    );
    let mut placed = HashMap::new();
    for round in 0..100 {
        (0..SLOTS / 2).for_each(|_| _ = harness.submit("sales", 1, 100));
        // The first rounds are not counted: the overloading team uses up its saved credit in them.
        for placement in harness
            .run_round(|_| true)
            .into_iter()
            .filter(|_| round >= 50)
        {
            *placed.entry(harness.teams[&placement.job]).or_insert(0) += 1;
        }
    }
    expect_that!(
        placed["sales"],
        ge(50 * SLOTS / 2 - SLOTS),
        "half of the slots"
    );
    expect_that!(
        placed["farms"],
        ge(50 * SLOTS / 2 - SLOTS),
        "the slots that the other team does not use"
    );
}

#[gtest]
fn heavy_job_is_started_within_the_ageing_bound() {
    let mut harness = Harness::new(Policy::default(), 1);
    (0..50).for_each(|_| _ = harness.run_round(|_| true));
    let heavy = harness.submit("farms", 1, 900);
    let submitted = harness.now;
    let waited = loop {
        // More short tasks than there are slots.
        (0..SLOTS + 2).for_each(|_| _ = harness.submit("farms", 1, 60));
        let placed = harness.run_round(|_| true);
        match placed.iter().any(|placement| placement.job == heavy) {
            true => break harness.now - submitted,
            false if harness.now - submitted > Duration::from_secs(60) => break HOUR,
            false => {}
        }
    };
    // The heavy job is due after six times its ideal run time; jobs that are due earlier go first.
    expect_that!(waited, le(Duration::from_secs(20)));
}

#[gtest]
fn long_work_leaves_slots_for_short_work() {
    let mut harness = Harness::new(Policy::default(), 4);
    for _ in 0..20 {
        (0..SLOTS * 4).for_each(|_| _ = harness.submit("farms", 1, 100));
        harness.run_round(|_| true);
    }
    harness.run_round(|_| true);
    (0..30).for_each(|_| _ = harness.submit("farms", 1, 30_000));
    let placed = harness.place();
    let long = placed.iter().filter(|placement| placement.long).count();
    expect_that!(
        long,
        le(SLOTS as usize * 4 / 2),
        "at most half of the slots while no short work waits"
    );
}

#[gtest]
fn misdeclared_long_work_is_reported_while_short_work_waits() {
    let mut harness = Harness::new(Policy::default(), 1);
    for _ in 0..10 {
        (0..SLOTS).for_each(|_| _ = harness.submit("farms", 1, 100));
        harness.run_round(|_| true);
    }
    while !harness.running.is_empty() {
        harness.run_round(|_| true);
    }
    let misdeclared = harness.submit("farms", SLOTS, 100);
    harness.place();
    (0..20).for_each(|_| _ = harness.submit("farms", 1, 100));
    harness.now += Duration::from_secs(1);
    expect_that!(
        harness.dispatcher.take_interventions(harness.now),
        is_empty()
    );
    harness.now += Duration::from_secs(4);
    let interventions = harness.dispatcher.take_interventions(harness.now);
    expect_that!(
        interventions,
        each(field!(&Intervention.job, eq(misdeclared)))
    );
    let kinds: Vec<_> = interventions
        .iter()
        .map(|intervention| intervention.kind)
        .collect();
    let (throttle, checkpoint) = (InterventionKind::Throttle, InterventionKind::Checkpoint);
    expect_that!(
        kinds[..2],
        each(eq(&throttle)),
        "up to the ceiling for long work"
    );
    expect_that!(
        kinds[2..],
        each(eq(&checkpoint)),
        "above the ceiling for long work"
    );
    expect_that!(
        harness.dispatcher.take_interventions(harness.now),
        is_empty()
    );
}
