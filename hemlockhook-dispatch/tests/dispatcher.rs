//! Tests of the dispatcher: admission, queue order, placement and the ends of attempts.

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

struct Fixture {
    now: Instant,
    dispatcher: Dispatcher,
    agents: Vec<AgentKey>,
    seen: Vec<u64>,
}

impl Fixture {
    /// Creates an entry with one agent per given pace, each of whose upstreams has `cores` cores.
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

    /// Takes the orders, and assigns sequence numbers to the frames that carry them.
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

    /// Delivers a report with the state of an agent's upstream.
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

    /// Delivers an empty report of each agent.
    fn report_all(&mut self) {
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
            .expect("the agent belongs to the test")
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
fn a_task_with_slack_leaves_the_fast_upstream_to_others() {
    // The speeds of the upstreams differ by a factor of two, the fast one is nearly full, and some
    // of the tasks have no slack.
    let mut fixture = Fixture::new(&[0.7, 1.5], 10);
    fixture.set_state(0, state(0.7, 10, 2));
    fixture
        .submit(job("spare", 1, 50), &queue_config(0))
        .expect("there is room");
    let orders = fixture.orders();
    expect_that!(fixture.index(orders[0].agent), eq(1));

    fixture
        .submit(job("tight", 1, 700), &queue_config(0))
        .expect("there is room");
    let orders = fixture.orders();
    expect_that!(fixture.index(orders[0].agent), eq(0));
}

#[gtest]
fn all_tasks_go_to_the_fast_upstreams_while_they_have_ample_capacity() {
    // At low load, tasks that may run many times longer than expected go to the fast upstream.
    let mut fixture = Fixture::new(&[0.7, 1.5], 10);
    for index in 0..6 {
        fixture
            .submit(job(&format!("spare-{index}"), 1, 50), &queue_config(0))
            .expect("there is room");
        let orders = fixture.orders();
        expect_that!(fixture.index(orders[0].agent), eq(0), "task {index}");
    }
}

#[gtest]
fn a_job_is_admitted_while_there_is_unused_capacity() {
    let mut fixture = Fixture::new(&[1.0], 10);
    // The expected run time exceeds the caller's timeout.
    let submission = Submission {
        spec: job("long", 1, 30_000),
        queue_config: queue_config(0),
        caller_timeout: Some(Duration::from_secs(1)),
    };
    expect_that!(
        fixture.dispatcher.submit(fixture.now, submission).is_ok(),
        eq(true)
    );
}

#[gtest]
fn a_burst_beyond_capacity_is_refused_on_arrival() {
    // A burst of jobs of one kind demands ten times the capacity.
    let mut fixture = Fixture::new(&[1.0], 10);
    let mut refused = Vec::new();
    for index in 0..200 {
        if let Err(refusal) = fixture.submit(job(&format!("{index}"), 8, 50), &queue_config(0)) {
            refused.push(refusal);
        }
    }
    expect_that!(refused.len(), gt(50));
    for refusal in refused {
        expect_that!(refusal.retry_after(), some(ge(Duration::from_secs(1))));
    }
}

#[gtest]
fn jobs_submitted_right_after_a_start_wait_for_agents_to_link() {
    // The first requests after a power loss arrive before any agent has linked.
    let mut fixture = Fixture::new(&[], 10);
    fixture.dispatcher.tick(fixture.now);
    expect_that!(
        fixture.submit(job("early", 1, 50), &queue_config(0)),
        ok(anything())
    );
    fixture.now += Duration::from_millis(200);
    let agent = fixture.dispatcher.linked(fixture.now, 1, "here".into());
    fixture.agents.push(agent);
    fixture.seen.push(0);
    fixture.set_state(0, state(1.0, 10, 10));
    expect_that!(fixture.orders().len(), eq(1));

    fixture.dispatcher.unlinked(agent);
    fixture.now += Duration::from_secs(3);
    let refused = fixture
        .submit(job("late", 1, 50), &queue_config(0))
        .expect_err("nothing takes work");
    expect_that!(matches!(refused, Refusal::NoUpstream { .. }), eq(true));
}

#[gtest]
fn a_lost_task_avoids_its_agents_unless_there_is_no_other() {
    let mut fixture = Fixture::new(&[1.0, 1.0], 10);
    fixture
        .submit(job("a", 1, 50), &queue_config(0))
        .expect("there is room");
    let first = fixture.orders().remove(0);
    fixture.end(&first, Outcome::Lost);
    let second = fixture.orders().remove(0);
    expect_that!(second.agent, not(eq(first.agent)));
    // The task now avoids both agents, and must still be placed.
    fixture.end(&second, Outcome::Lost);
    expect_that!(fixture.orders().len(), eq(1));
}

#[gtest]
fn only_task_failures_count_against_a_job() {
    let mut fixture = Fixture::new(&[1.0, 1.0, 1.0], 10);
    fixture
        .submit(job("a", 1, 50), &queue_config(0))
        .expect("there is room");
    for outcome in [Outcome::FailedByUpstream, Outcome::Lost, Outcome::Failed] {
        let order = fixture.orders().remove(0);
        fixture.end(&order, outcome);
    }
    let order = fixture.orders().remove(0);
    fixture.end(&order, Outcome::Failed);
    expect_that!(fixture.answers(), elements_are![eq(&Answer::Failed)]);
}

#[gtest]
fn a_step_waits_for_its_dependencies() {
    let mut fixture = Fixture::new(&[1.0], 10);
    let mut spec = job("steps", 2, 50);
    let mut second = spec.steps[0].clone();
    second.depends_on = vec![0];
    spec.steps.push(second);
    fixture
        .submit(spec, &queue_config(0))
        .expect("there is room");
    let first = fixture.orders();
    expect_that!(first.len(), eq(2));
    fixture.end(&first[0], Outcome::Done);
    expect_that!(fixture.orders(), is_empty());
    fixture.end(&first[1], Outcome::Done);
    let second = fixture.orders();
    expect_that!(second.len(), eq(2));
    fixture.end(&second[0], Outcome::Done);
    fixture.end(&second[1], Outcome::Done);
    expect_that!(fixture.answers(), elements_are![eq(&Answer::Completed)]);
}

#[gtest]
fn a_job_returned_unstarted_is_answered_as_not_run() {
    let mut fixture = Fixture::new(&[1.0], 10);
    fixture
        .submit(job("a", 1, 50), &queue_config(0))
        .expect("there is room");
    let order = fixture.orders().remove(0);
    fixture.end(&order, Outcome::NotStarted);
    // No agent accepts the task before its caller's timeout.
    fixture.dispatcher.unlinked(order.agent);
    fixture.now += Duration::from_secs(21);
    fixture.dispatcher.tick(fixture.now);
    let answers = fixture.answers();
    expect_that!(matches!(answers[..], [Answer::NotRun(_)]), eq(true));
}

#[gtest]
fn attempts_at_a_silent_agent_count_as_running_until_it_is_lost() {
    let mut fixture = Fixture::new(&[1.0], 10);
    fixture
        .submit(job("a", 1, 50), &queue_config(0))
        .expect("there is room");
    let first = fixture.orders().remove(0);
    fixture.dispatcher.unlinked(first.agent);
    let other = fixture.dispatcher.linked(fixture.now, 99, "here".into());
    fixture.agents.push(other);
    fixture.seen.push(0);
    for elapsed in [500, 1000] {
        let report = AgentReport {
            orders_seen: 0,
            state: Some(state(1.0, 10, 10)),
            ends: Vec::new(),
            held: None,
        };
        let now = fixture.now + Duration::from_millis(elapsed);
        fixture.dispatcher.reported(now, other, report);
        fixture.dispatcher.tick(now);
        expect_that!(fixture.orders(), is_empty());
    }
    let later = fixture.now + Duration::from_millis(1300);
    fixture.dispatcher.tick(later);
    expect_that!(fixture.orders().len(), eq(1));
}

#[gtest]
fn unsupported_features_are_named() {
    let mut stored = job("a", 1, 50);
    stored.is_stored = true;
    let mut repeated = job("a", 1, 50);
    repeated.repetitions = 3;
    let mut gang = job("a", 1, 50);
    gang.steps[0].is_gang = true;
    let mut long_running = job("a", 1, 50);
    long_running.steps[0].is_long_running = true;
    let mut cyclic = job("a", 1, 50);
    cyclic.steps[0].depends_on = vec![0];
    let parts = [stored, repeated, gang, long_running, cyclic]
        .map(|spec| spec.unsupported(&queue_config(0)));
    let names = parts.map(|part| part.map(<&str>::from));
    expect_that!(
        names.map(Option::unwrap_or_default),
        eq(["stored", "repetitions", "gang", "long_running", "steps"])
    );
    let mut recommended = (*queue_config(0)).clone();
    recommended.needs_recommendation = true;
    expect_that!(
        job("a", 1, 50).unsupported(&recommended),
        some(eq(Unsupported::Recommendation))
    );
}

/// At peak load jobs wait at an entry with sixty full agents, each of which reports many times a
/// second.
#[gtest]
fn a_report_at_peak_load_does_not_evaluate_each_agent_for_each_job() {
    let mut fixture = Fixture::new(&[1.0; 60], 4);
    for index in 0..1000 {
        if fixture
            .submit(job(&format!("job-{index}"), 4, 2), &queue_config(0))
            .is_err()
        {
            break;
        }
    }
    fixture.orders();
    expect_that!(fixture.dispatcher.jobs(), ge(90));

    let before = fixture.dispatcher.evaluated_candidates();
    fixture.set_state(0, state(1.0, 4, 0));
    let weighed = fixture.dispatcher.evaluated_candidates() - before;
    expect_that!(weighed, le(60));
}

/// At peak load agents refuse orders for lack of capacity, for a few milliseconds each.
#[gtest]
fn agents_that_are_briefly_full_count_towards_throughput() {
    let mut fixture = Fixture::new(&[1.0; 4], 4);
    fixture.dispatcher.tick(fixture.now);
    fixture.now += Duration::from_secs(3);
    fixture.report_all();
    for index in 0..4 {
        let submitted = fixture.submit(job(&format!("first-{index}"), 4, 50), &queue_config(0));
        expect_that!(submitted, ok(anything()));
    }
    let mut orders = fixture.orders();
    orders.sort_by_key(|order| order.agent);
    orders.dedup_by_key(|order| order.agent);
    expect_that!(orders.len(), eq(4));
    for order in &orders {
        fixture.end(order, Outcome::NotStarted);
    }

    // At most a fifth of a second of work is ahead, so the job can meet its objective.
    let submitted = fixture.submit(job("next", 1, 50), &queue_config(0));
    expect_that!(submitted, ok(anything()));
}

/// At peak load more work is due than can be completed, and jobs that have begun become late.
#[gtest]
fn a_late_job_that_has_begun_is_finished_before_another_begins() {
    let mut fixture = Fixture::new(&[1.0], 1);
    let submitted = fixture.submit(job("begun", 3, 50), &queue_config(0));
    expect_that!(submitted, ok(anything()));
    let orders = fixture.orders();
    expect_that!(orders.len(), eq(2));

    fixture.now += Duration::from_millis(400);
    fixture.report_all();
    let submitted = fixture.submit(job("fresh", 1, 50), &queue_config(0));
    expect_that!(submitted, ok(anything()));
    expect_that!(fixture.orders().len(), eq(0));
    fixture.end(&orders[0], Outcome::Done);

    let next: Vec<_> = fixture.orders().iter().map(job_of).collect();
    expect_that!(next.first(), some(eq("begun")));
}

fn job_of(order: &Order) -> String {
    order.run.task.task.job.to_string()
}

/// A burst is admitted while four upstreams work, and three of them are then lost.
#[gtest]
fn queued_jobs_are_refused_once_the_work_ahead_makes_them_too_late() {
    let mut fixture = Fixture::new(&[1.0; 4], 1);
    fixture.dispatcher.tick(fixture.now);
    fixture.now += Duration::from_secs(3);
    fixture.report_all();
    let submit = |index| fixture.submit(job(&format!("job-{index}"), 1, 100), &queue_config(0));
    let taken = (0..30).map(submit).filter(|taken| taken.is_ok()).count();
    expect_that!(taken, ge(12));
    expect_that!(fixture.answers(), is_empty());

    for &agent in &fixture.agents.clone()[1..] {
        fixture.dispatcher.unlinked(agent);
    }
    fixture.dispatcher.tick(fixture.now);

    let answers = fixture.answers();
    expect_that!(answers, not(is_empty()));
    for answer in answers {
        let is_refused = matches!(&answer, Answer::NotRun(Refusal::Overload { retry_after })
            if *retry_after >= DispatchPolicy::default().min_retry_after);
        expect_true!(is_refused);
    }
}
