//! What the dispatcher decides, one rule at a time.

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

/// A dispatcher whose grants come back as soon as a task ends.
struct Desk {
    now: Instant,
    dispatcher: Dispatcher,
    running: Vec<(Instant, Placement)>,
    teams: HashMap<JobId, &'static str>,
    run_time: Duration,
}

impl Desk {
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
            .expect("the job is taken");
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

    /// Moves on by the run time of one task, ends what ran and places what is next.
    fn round<F>(&mut self, is_ok: F) -> Vec<Placement>
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
fn jobs_that_can_never_run_are_refused_by_name() {
    let policy = Policy {
        teams: vec![("farms".into(), 1)],
        services: vec!["price".into(), "stock".into()],
        max_queued: 3,
        ..Policy::default()
    };
    let mut desk = Desk::new(policy, 1);
    let now = desk.now;
    let mut refusal = |spec| match desk.dispatcher.submit(now, spec) {
        Ok(_) => "taken".into(),
        Err(rejection) => rejection.to_string(),
    };
    let with_service = |service: &str| JobSpec {
        service: service.into(),
        ..job(now, "farms", 1, 100)
    };
    insta::assert_snapshot!(refusal(job(now, "ghosts", 1, 100)), @"no_such_team: the inventory has no team ghosts");
    insta::assert_snapshot!(refusal(with_service("film")), @"no_such_service: the inventory has no service film");
    insta::assert_snapshot!(refusal(with_service("stock")), @"no_upstream: no upstream runs the service stock");
    insta::assert_snapshot!(refusal(JobSpec { deadline: now, ..job(now, "farms", 1, 100) }), @"deadline: the deadline has passed");
    insta::assert_snapshot!(refusal(job(now, "farms", 4, 100)), @"overloaded: 0 tasks are queued");
    insta::assert_snapshot!(refusal(job(now, "farms", 3, 100)), @"taken");
}

#[gtest]
fn job_behind_more_work_than_its_deadline_allows_is_refused_with_a_time_to_retry() {
    let mut desk = Desk::new(Policy::default(), 1);
    (0..20).for_each(|_| _ = desk.submit("farms", 100, 500));
    desk.place();
    let now = desk.now;
    let deadline = now + Duration::from_secs(1);
    let spec = JobSpec {
        deadline,
        ..job(now, "farms", 100, 500)
    };
    let rejection = desk
        .dispatcher
        .submit(now, spec)
        .expect_err("it is too much");
    expect_that!(rejection.reason.to_string(), eq("deadline"));
    expect_that!(rejection.retry_after, some(ge(Duration::from_secs(1))));
}

#[gtest]
fn cancelled_work_leaves_no_residue() {
    let mut desk = Desk::new(Policy::default(), 1);
    let jobs: Vec<JobId> = (0..100).map(|_| desk.submit("farms", 100, 100)).collect();
    desk.place();
    for job in jobs {
        desk.dispatcher.cancel_queued(desk.now, job);
        desk.dispatcher.finish_job(job);
    }
    let placed = desk.round(|_| false);
    expect_that!(placed, is_empty());
    let snapshot = desk.dispatcher.snapshot();
    expect_that!(snapshot.services, is_empty());
    expect_that!(snapshot.teams, is_empty());
    expect_that!(snapshot.upstreams[0].running, eq(0));
    expect_that!(
        desk.health(1),
        not(eq(UpstreamHealth::Quarantined)),
        "stopped tasks are no failures"
    );
    expect_that!(desk.dispatcher.next_wakeup(), none());
}

#[gtest]
fn upstream_that_fails_everything_is_quarantined_within_the_bound() {
    let mut desk = Desk::new(Policy::default(), 2);
    let mut exposed = 0;
    for _ in 0..600 {
        (0..SLOTS * 2).for_each(|_| _ = desk.submit("farms", 1, 100));
        let placed = desk.round(|agent| agent != 1);
        exposed += placed
            .iter()
            .filter(|placement| placement.agent == 1)
            .count();
    }
    expect_that!(desk.health(1), eq(UpstreamHealth::Quarantined));
    expect_that!(desk.health(2), eq(UpstreamHealth::Healthy));
    // Three failures in a row, what ran by then, and probes after 1, 2, 4, 8, 16 and 32 s.
    expect_that!(exposed, le(3 + SLOTS as usize + 6));
}

#[gtest]
fn quarantined_upstream_comes_back_through_probes() {
    let mut desk = Desk::new(Policy::default(), 2);
    let submit = |desk: &mut Desk| (0..SLOTS * 2).for_each(|_| _ = desk.submit("farms", 1, 100));
    for _ in 0..20 {
        submit(&mut desk);
        desk.round(|agent| agent != 1);
    }
    expect_that!(desk.health(1), eq(UpstreamHealth::Quarantined));
    for _ in 0..200 {
        submit(&mut desk);
        desk.round(|_| true);
    }
    expect_that!(desk.health(1), eq(UpstreamHealth::Healthy));
}

#[gtest]
fn failures_that_the_peers_share_quarantine_nobody() {
    let mut desk = Desk::new(Policy::default(), 2);
    for _ in 0..50 {
        (0..SLOTS * 2).for_each(|_| _ = desk.submit("farms", 1, 100));
        desk.round(|_| false);
    }
    let healths = [desk.health(1), desk.health(2)];
    expect_that!(healths, each(not(eq(UpstreamHealth::Quarantined))));
}

#[gtest]
fn team_in_excess_leaves_the_other_its_part_and_borrows_what_is_idle() {
    let teams = vec![("farms".into(), 1), ("sales".into(), 1)];
    let mut desk = Desk::new(
        Policy {
            teams,
            ..Policy::default()
        },
        1,
    );
    (0..1000).for_each(|_| _ = desk.submit("farms", 1, 100));
    let mut alone = 0;
    (0..20).for_each(|_| alone += desk.round(|_| true).len());
    expect_that!(
        alone,
        ge(20 * SLOTS as usize - 12),
        "all slots but for the slow start"
    );
    let mut placed = HashMap::new();
    for round in 0..100 {
        (0..SLOTS / 2).for_each(|_| _ = desk.submit("sales", 1, 100));
        // The first seconds belong to what the team in excess had saved up.
        for placement in desk.round(|_| true).into_iter().filter(|_| round >= 50) {
            *placed.entry(desk.teams[&placement.job]).or_insert(0) += 1;
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
        "what the other does not use"
    );
}

#[gtest]
fn nothing_waits_beyond_the_ageing_bound() {
    let mut desk = Desk::new(Policy::default(), 1);
    (0..50).for_each(|_| _ = desk.round(|_| true));
    let heavy = desk.submit("farms", 1, 900);
    let submitted = desk.now;
    let waited = loop {
        // More short work than there are slots.
        (0..SLOTS + 2).for_each(|_| _ = desk.submit("farms", 1, 60));
        let placed = desk.round(|_| true);
        match placed.iter().any(|placement| placement.job == heavy) {
            true => break desk.now - submitted,
            false if desk.now - submitted > Duration::from_secs(60) => break HOUR,
            false => {}
        }
    };
    // It is due after six times its ideal time; what was due earlier goes first.
    expect_that!(waited, le(Duration::from_secs(20)));
}

#[gtest]
fn long_work_leaves_slots_for_short_work() {
    let mut desk = Desk::new(Policy::default(), 4);
    for _ in 0..20 {
        (0..SLOTS * 4).for_each(|_| _ = desk.submit("farms", 1, 100));
        desk.round(|_| true);
    }
    desk.round(|_| true);
    (0..30).for_each(|_| _ = desk.submit("farms", 1, 30_000));
    let placed = desk.place();
    let long = placed.iter().filter(|placement| placement.long).count();
    expect_that!(
        long,
        le(SLOTS as usize * 4 / 2),
        "half of the slots while nothing else waits"
    );
}

#[gtest]
fn misdeclared_long_work_is_reported_while_short_work_waits() {
    let mut desk = Desk::new(Policy::default(), 1);
    for _ in 0..10 {
        (0..SLOTS).for_each(|_| _ = desk.submit("farms", 1, 100));
        desk.round(|_| true);
    }
    while !desk.running.is_empty() {
        desk.round(|_| true);
    }
    let misdeclared = desk.submit("farms", SLOTS, 100);
    desk.place();
    (0..20).for_each(|_| _ = desk.submit("farms", 1, 100));
    desk.now += Duration::from_secs(1);
    expect_that!(desk.dispatcher.take_interventions(desk.now), is_empty());
    desk.now += Duration::from_secs(4);
    let interventions = desk.dispatcher.take_interventions(desk.now);
    expect_that!(
        interventions,
        each(field!(&Intervention.job, eq(misdeclared)))
    );
    let kinds: Vec<_> = interventions
        .iter()
        .map(|intervention| intervention.kind)
        .collect();
    let (throttle, checkpoint) = (InterventionKind::Throttle, InterventionKind::Checkpoint);
    expect_that!(kinds[..2], each(eq(&throttle)), "within the ceiling");
    expect_that!(kinds[2..], each(eq(&checkpoint)), "beyond the ceiling");
    expect_that!(desk.dispatcher.take_interventions(desk.now), is_empty());
}
