//! The entry's decisions: admission, order, placement, and what becomes of attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_dispatch::agent::UpstreamState;
use hemlockhook_dispatch::entry::{
    Action, AgentKey, AgentReport, Answer, DispatchPolicy, Dispatcher, Order, Refusal, Submission,
};
use hemlockhook_dispatch::{
    Amounts, AttemptEnd, JobSpec, Outcome, QueueConfig, StepSpec, Unsupported,
};

const CORE: u64 = 1000;

struct Desk {
    now: Instant,
    dispatcher: Dispatcher,
    agents: Vec<AgentKey>,
    seen: Vec<u64>,
}

impl Desk {
    /// Creates an entry with agents of the given paces, each with room for `cores`.
    fn new(paces: &[f64], cores: u64) -> Self {
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new(DispatchPolicy::default());
        let mut agents = Vec::new();
        for (index, pace) in paces.iter().enumerate() {
            let key = dispatcher.linked(now, index as u64 + 1, "here".into());
            let report = AgentReport {
                orders_seen: 0,
                state: Some(state(*pace, cores, cores)),
                ends: Vec::new(),
                held: None,
            };
            dispatcher.reported(now, key, report);
            agents.push(key);
        }
        let seen = vec![0; agents.len()];
        Self {
            now,
            dispatcher,
            agents,
            seen,
        }
    }

    fn submit(
        &mut self,
        job: JobSpec,
        queue_config: &Arc<QueueConfig>,
    ) -> std::result::Result<(), Refusal> {
        let submission = Submission {
            spec: job,
            queue_config: queue_config.clone(),
            caller_timeout: Some(Duration::from_secs(20)),
        };
        self.dispatcher.submit(self.now, submission).map(|_| ())
    }

    /// Returns the orders that were given, and counts the frames that carry them.
    fn orders(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        for action in self.dispatcher.take_actions() {
            if let Action::Run(order) = action {
                orders.push(order);
            }
        }
        let mut agents: Vec<_> = orders.iter().map(|order| order.agent).collect();
        agents.dedup();
        for agent in agents {
            let seq = self.dispatcher.next_seq(agent);
            let index = self.index(agent);
            self.seen[index] = seq;
        }
        orders
    }

    fn answers(&mut self) -> Vec<Answer> {
        let actions = self.dispatcher.take_actions().into_iter();
        let answer = |action| match action {
            Action::Answer(_, answer) => Some(answer),
            _ => None,
        };
        actions.filter_map(answer).collect()
    }

    fn end(&mut self, order: &Order, outcome: Outcome) {
        let index = self.index(order.agent);
        let report = AgentReport {
            orders_seen: self.seen[index],
            state: None,
            ends: vec![AttemptEnd {
                task: order.run.task.clone(),
                outcome,
                run_ms: 50,
            }],
            held: None,
        };
        self.dispatcher.reported(self.now, order.agent, report);
    }

    /// Takes an agent's report of its upstream's state.
    fn set_state(&mut self, index: usize, state: UpstreamState) {
        let report = AgentReport {
            orders_seen: 0,
            state: Some(state),
            ends: Vec::new(),
            held: None,
        };
        self.dispatcher
            .reported(self.now, self.agents[index], report);
    }

    /// Takes a sign of life of each agent.
    fn hear(&mut self) {
        for &agent in &self.agents {
            let report = AgentReport {
                orders_seen: 0,
                state: None,
                ends: Vec::new(),
                held: None,
            };
            self.dispatcher.reported(self.now, agent, report);
        }
    }

    fn index(&self, agent: AgentKey) -> usize {
        let is_it = |known: &AgentKey| *known == agent;
        self.agents
            .iter()
            .position(is_it)
            .expect("an agent of the test")
    }
}

fn state(pace: f64, cores: u64, free: u64) -> UpstreamState {
    let amounts = |cores| Amounts {
        cpu: cores * CORE,
        memory_mb: 100_000,
        gpus: 0,
    };
    UpstreamState {
        is_usable: true,
        service: "desk".into(),
        instance: "up".into(),
        capacity: amounts(cores),
        free: amounts(free),
        labels: Vec::new(),
        waiting: 0,
        pace,
        entries: 1,
    }
}

fn queue_config(priority: u32) -> Arc<QueueConfig> {
    Arc::new(QueueConfig {
        name: format!("queue-{priority}").into(),
        host: "desk".into(),
        path_prefix: "/".into(),
        service: "desk".into(),
        priority,
        attempts: 2,
        stretch: 1.6,
        latency_target: Duration::from_millis(60),
        timeout: None,
        needs_recommendation: false,
    })
}

fn job(id: &str, tasks: u32, millis: u64) -> JobSpec {
    JobSpec {
        id: id.into(),
        payload: "".into(),
        steps: vec![StepSpec {
            tasks,
            need: Amounts {
                cpu: CORE,
                memory_mb: 1,
                gpus: 0,
            },
            declared_run_time: Duration::from_millis(millis),
            ..StepSpec::default()
        }],
        is_stored: false,
        repetitions: 0,
    }
}

#[gtest]
fn a_task_with_time_to_spare_leaves_the_fast_upstream_to_others() {
    // Upstreams whose speeds differ by a factor of two, of which the fast one is nearly full, and work of
    // which some has no time to spare.
    let mut desk = Desk::new(&[0.7, 1.5], 10);
    desk.set_state(0, state(0.7, 10, 2));
    desk.submit(job("spare", 1, 50), &queue_config(0))
        .expect("there is room");
    let orders = desk.orders();
    expect_that!(desk.index(orders[0].agent), eq(1));

    desk.submit(job("tight", 1, 700), &queue_config(0))
        .expect("there is room");
    let orders = desk.orders();
    expect_that!(desk.index(orders[0].agent), eq(0));
}

#[gtest]
fn while_the_fast_upstreams_have_ample_room_all_tasks_go_there() {
    // A quiet day, and tasks that may run many times longer than expected.
    let mut desk = Desk::new(&[0.7, 1.5], 10);
    for index in 0..6 {
        desk.submit(job(&format!("spare-{index}"), 1, 50), &queue_config(0))
            .expect("there is room");
        let orders = desk.orders();
        expect_that!(desk.index(orders[0].agent), eq(0), "task {index}");
    }
}

#[gtest]
fn room_that_nobody_wants_is_never_refused() {
    let mut desk = Desk::new(&[1.0], 10);
    // Its estimate is above the time that its caller waits.
    let submission = Submission {
        spec: job("long", 1, 30_000),
        queue_config: queue_config(0),
        caller_timeout: Some(Duration::from_secs(1)),
    };
    expect_that!(
        desk.dispatcher.submit(desk.now, submission).is_ok(),
        eq(true)
    );
}

#[gtest]
fn a_burst_beyond_what_can_be_done_is_refused_when_it_comes() {
    // A burst of one kind at ten times the room.
    let mut desk = Desk::new(&[1.0], 10);
    let mut refused = Vec::new();
    for index in 0..200 {
        if let Err(refusal) = desk.submit(job(&format!("{index}"), 8, 50), &queue_config(0)) {
            refused.push(refusal);
        }
    }
    expect_that!(refused.len(), gt(50));
    for refusal in refused {
        expect_that!(refusal.retry_after(), some(ge(Duration::from_secs(1))));
    }
}

#[gtest]
fn jobs_that_come_right_after_a_start_wait_for_the_agents_to_link() {
    // The first requests after a loss of all power.
    let mut desk = Desk::new(&[], 10);
    desk.dispatcher.tick(desk.now);
    expect_that!(
        desk.submit(job("early", 1, 50), &queue_config(0)),
        ok(anything())
    );
    desk.now += Duration::from_millis(200);
    let agent = desk.dispatcher.linked(desk.now, 1, "here".into());
    desk.agents.push(agent);
    desk.seen.push(0);
    desk.set_state(0, state(1.0, 10, 10));
    expect_that!(desk.orders().len(), eq(1));

    desk.dispatcher.unlinked(agent);
    desk.now += Duration::from_secs(3);
    let refused = desk
        .submit(job("late", 1, 50), &queue_config(0))
        .expect_err("nothing takes work");
    expect_that!(matches!(refused, Refusal::NoUpstream { .. }), eq(true));
}

#[gtest]
fn a_task_runs_again_elsewhere_and_where_it_failed_only_for_want_of_another() {
    let mut desk = Desk::new(&[1.0, 1.0], 10);
    desk.submit(job("a", 1, 50), &queue_config(0))
        .expect("there is room");
    let first = desk.orders().remove(0);
    desk.end(&first, Outcome::Lost);
    let second = desk.orders().remove(0);
    expect_that!(second.agent, not(eq(first.agent)));
    // Both are now avoided; the task must not wait for ever.
    desk.end(&second, Outcome::Lost);
    expect_that!(desk.orders().len(), eq(1));
}

#[gtest]
fn only_failures_of_its_own_count_against_a_job() {
    let mut desk = Desk::new(&[1.0, 1.0, 1.0], 10);
    desk.submit(job("a", 1, 50), &queue_config(0))
        .expect("there is room");
    for outcome in [Outcome::FailedByUpstream, Outcome::Lost, Outcome::Failed] {
        let order = desk.orders().remove(0);
        desk.end(&order, outcome);
    }
    let order = desk.orders().remove(0);
    desk.end(&order, Outcome::Failed);
    expect_that!(desk.answers(), elements_are![eq(&Answer::Failed)]);
}

#[gtest]
fn a_step_waits_for_those_before_it() {
    let mut desk = Desk::new(&[1.0], 10);
    let mut spec = job("steps", 2, 50);
    let mut second = spec.steps[0].clone();
    second.depends_on = vec![0];
    spec.steps.push(second);
    desk.submit(spec, &queue_config(0)).expect("there is room");
    let first = desk.orders();
    expect_that!(first.len(), eq(2));
    desk.end(&first[0], Outcome::Done);
    expect_that!(desk.orders(), is_empty());
    desk.end(&first[1], Outcome::Done);
    let second = desk.orders();
    expect_that!(second.len(), eq(2));
    desk.end(&second[0], Outcome::Done);
    desk.end(&second[1], Outcome::Done);
    expect_that!(desk.answers(), elements_are![eq(&Answer::Completed)]);
}

#[gtest]
fn a_job_that_came_back_unstarted_is_not_said_to_have_run() {
    let mut desk = Desk::new(&[1.0], 10);
    desk.submit(job("a", 1, 50), &queue_config(0))
        .expect("there is room");
    let order = desk.orders().remove(0);
    desk.end(&order, Outcome::NotStarted);
    // Nothing takes it any more until its caller gives up.
    desk.dispatcher.unlinked(order.agent);
    desk.now += Duration::from_secs(21);
    desk.dispatcher.tick(desk.now);
    let answers = desk.answers();
    expect_that!(matches!(answers[..], [Answer::NotRun(_)]), eq(true));
}

#[gtest]
fn attempts_at_a_silent_agent_count_as_running_until_they_are_surely_over() {
    let mut desk = Desk::new(&[1.0], 10);
    desk.submit(job("a", 1, 50), &queue_config(0))
        .expect("there is room");
    let first = desk.orders().remove(0);
    desk.dispatcher.unlinked(first.agent);
    let other = desk.dispatcher.linked(desk.now, 99, "here".into());
    desk.agents.push(other);
    desk.seen.push(0);
    for elapsed in [500, 1000] {
        let report = AgentReport {
            orders_seen: 0,
            state: Some(state(1.0, 10, 10)),
            ends: Vec::new(),
            held: None,
        };
        let now = desk.now + Duration::from_millis(elapsed);
        desk.dispatcher.reported(now, other, report);
        desk.dispatcher.tick(now);
        expect_that!(desk.orders(), is_empty());
    }
    let later = desk.now + Duration::from_millis(1300);
    desk.dispatcher.tick(later);
    expect_that!(desk.orders().len(), eq(1));
}

#[gtest]
fn what_is_not_served_is_named() {
    let mut stored = job("a", 1, 50);
    stored.is_stored = true;
    let mut repeated = job("a", 1, 50);
    repeated.repetitions = 3;
    let mut gang = job("a", 1, 50);
    gang.steps[0].is_gang = true;
    let mut endless = job("a", 1, 50);
    endless.steps[0].is_long_running = true;
    let mut circle = job("a", 1, 50);
    circle.steps[0].depends_on = vec![0];
    let parts =
        [stored, repeated, gang, endless, circle].map(|spec| spec.unsupported(&queue_config(0)));
    let names = parts.map(|part| part.map(<&str>::from));
    expect_that!(
        names.map(Option::unwrap_or_default),
        eq(["stored", "repetitions", "gang", "long_running", "steps"])
    );
    let mut advised = (*queue_config(0)).clone();
    advised.needs_recommendation = true;
    expect_that!(
        job("a", 1, 50).unsupported(&advised),
        some(eq(Unsupported::Recommendation))
    );
}

/// The load: a crest at which jobs wait at an entry of sixty agents without room, each of which reports
/// many times a second.
#[gtest]
fn a_report_at_a_crest_does_not_weigh_each_agent_for_each_job() {
    let mut desk = Desk::new(&[1.0; 60], 4);
    for index in 0..1000 {
        if desk
            .submit(job(&format!("job-{index}"), 4, 2), &queue_config(0))
            .is_err()
        {
            break;
        }
    }
    desk.orders();
    expect_that!(desk.dispatcher.jobs(), ge(90));

    let before = desk.dispatcher.evaluated_candidates();
    desk.set_state(0, state(1.0, 4, 0));
    let weighed = desk.dispatcher.evaluated_candidates() - before;
    expect_that!(weighed, le(60));
}

/// The load: a crest at which agents refuse orders for want of room, a few milliseconds each.
#[gtest]
fn agents_without_room_for_a_moment_count_as_upstreams_that_do_work() {
    let mut desk = Desk::new(&[1.0; 4], 4);
    desk.dispatcher.tick(desk.now);
    desk.now += Duration::from_secs(3);
    desk.hear();
    for index in 0..4 {
        let submitted = desk.submit(job(&format!("first-{index}"), 4, 50), &queue_config(0));
        expect_that!(submitted, ok(anything()));
    }
    let mut orders = desk.orders();
    orders.sort_by_key(|order| order.agent);
    orders.dedup_by_key(|order| order.agent);
    expect_that!(orders.len(), eq(4));
    for order in &orders {
        desk.end(order, Outcome::NotStarted);
    }

    // A fifth of a second's work is ahead at most: the job can be answered within its objective.
    let submitted = desk.submit(job("next", 1, 50), &queue_config(0));
    expect_that!(submitted, ok(anything()));
}

/// The load: a crest at which more is due than can be done, and half-done jobs become late.
#[gtest]
fn a_late_job_that_has_begun_is_finished_before_another_begins() {
    let mut desk = Desk::new(&[1.0], 1);
    let submitted = desk.submit(job("begun", 3, 50), &queue_config(0));
    expect_that!(submitted, ok(anything()));
    let orders = desk.orders();
    expect_that!(orders.len(), eq(2));

    desk.now += Duration::from_millis(400);
    desk.hear();
    let submitted = desk.submit(job("fresh", 1, 50), &queue_config(0));
    expect_that!(submitted, ok(anything()));
    expect_that!(desk.orders().len(), eq(0));
    desk.end(&orders[0], Outcome::Done);

    let next: Vec<_> = desk.orders().iter().map(job_of).collect();
    expect_that!(next.first(), some(eq("begun")));
}

fn job_of(order: &Order) -> String {
    order.run.task.task.job.to_string()
}

/// The load: a burst that was taken when four upstreams worked, of which three are lost.
#[gtest]
fn queued_jobs_are_refused_once_the_work_ahead_shows_that_they_come_too_late() {
    let mut desk = Desk::new(&[1.0; 4], 1);
    desk.dispatcher.tick(desk.now);
    desk.now += Duration::from_secs(3);
    desk.hear();
    let submit = |index| desk.submit(job(&format!("job-{index}"), 1, 100), &queue_config(0));
    let taken = (0..30).map(submit).filter(|taken| taken.is_ok()).count();
    expect_that!(taken, ge(12));
    expect_that!(desk.answers(), is_empty());

    for &agent in &desk.agents.clone()[1..] {
        desk.dispatcher.unlinked(agent);
    }
    desk.dispatcher.tick(desk.now);

    let answers = desk.answers();
    expect_that!(answers, not(is_empty()));
    for answer in answers {
        let is_refused = matches!(&answer, Answer::NotRun(Refusal::Overload { retry_after })
            if *retry_after >= DispatchPolicy::default().min_retry_after);
        expect_true!(is_refused);
    }
}
