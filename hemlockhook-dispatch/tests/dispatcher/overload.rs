//! Loads above the capacity, replayed with and without admission by class.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_dispatch::agent::RunOrder;
use hemlockhook_dispatch::entry::{
    Action, AgentKey, AgentReport, Answer, DispatchPolicy, Dispatcher, JobKey, Refusal, Submission,
};
use hemlockhook_dispatch::{Amounts, AttemptEnd, JobSpec, Outcome};

use crate::fixture::{CORE, hello, job, queue_config, state, take_granted};

/// Cores and speed of the upstreams; a larger entry has several of each.
const UPSTREAMS: [(u64, f64); 3] = [(32, 0.7), (32, 0.7), (48, 1.7)];

/// Jobs per second for each upstream, tasks, mean run time in ms and priority of each queue. A task
/// needs some 3.2 cores; together they use half of the capacity.
const QUEUES: [(f64, u32, f64, u32); 3] =
    [(2.9, 8, 60.0, 0), (0.52, 4, 900.0, 2), (8.3, 2, 200.0, 1)];

/// Time for which a caller waits for its answer, with all returns.
const PATIENCE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    End(usize),
    Tick,
}

struct Caller {
    spec: JobSpec,
    /// Run times of the tasks at speed 1.
    run_times: Vec<Duration>,
    queue: usize,
    is_in_peak: bool,
    is_largest: bool,
    arrived: Instant,
}

#[derive(Default)]
struct Upstream {
    cores: u64,
    free: u64,
    speed: f64,
    seq: u64,
    waiting: Vec<RunOrder>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    callers: usize,
    in_time: usize,
    late: usize,
    useless: usize,
    unserved: usize,
    refusals: usize,
}

struct Replay {
    now: Instant,
    dispatcher: Dispatcher,
    upstreams: BTreeMap<AgentKey, Upstream>,
    callers: Vec<Caller>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    runs: Vec<(AgentKey, RunOrder, Duration)>,
    open: BTreeMap<JobKey, usize>,
    totals: Totals,
}

/// What became of the callers that arrive during the overload.
#[derive(Clone, Debug, Default)]
struct Totals {
    /// Counts by queue.
    counts: [Counts; 3],
    /// Counts of the largest tenth of each queue's jobs.
    largest: Counts,
    /// Refusals although an upstream had room for a task of the job.
    needless_refusals: usize,
    /// Returning callers by second.
    returns: BTreeMap<u64, usize>,
}

impl Totals {
    fn all(&self) -> Counts {
        self.without(usize::MAX)
    }

    /// Returns the counts of the queues other than the given one.
    fn without(&self, queue: usize) -> Counts {
        let mut sum = Counts::default();
        for (index, counts) in self.counts.iter().enumerate() {
            if index != queue {
                sum.add(counts);
            }
        }
        sum
    }
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.callers += other.callers;
        self.in_time += other.in_time;
        self.late += other.late;
        self.useless += other.useless;
        self.unserved += other.unserved;
        self.refusals += other.refusals;
    }
}

/// Replays 14 s of arrivals, of which 4 have `factors` times the usual traffic of each queue.
fn replay(seed: u64, is_admission_by_class: bool, scale: usize, factors: [f64; 3]) -> Totals {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut dispatcher = Dispatcher::new(DispatchPolicy {
        is_admission_by_class,
        ..DispatchPolicy::default()
    });
    let mut upstreams = BTreeMap::new();
    for index in 0..UPSTREAMS.len() * scale {
        let key = dispatcher.linked(now, hello(index as u64 + 1, 0));
        let (cores, speed) = UPSTREAMS[index % UPSTREAMS.len()];
        let upstream = Upstream {
            cores: cores * CORE,
            free: cores * CORE,
            speed,
            ..Upstream::default()
        };
        upstreams.insert(key.expect("the link is not refused"), upstream);
    }
    let mut replay = Replay {
        now,
        dispatcher,
        upstreams,
        callers: Vec::new(),
        events: BinaryHeap::new(),
        runs: Vec::new(),
        open: BTreeMap::new(),
        totals: Totals::default(),
    };
    for key in replay.upstreams.keys().copied().collect::<Vec<_>>() {
        replay.report(key, Vec::new());
    }
    for (queue, (rate, tasks, millis, _)) in QUEUES.into_iter().enumerate() {
        let mut at = 0.0;
        while at < 14.0 {
            let is_in_peak = (5.0..9.0).contains(&at);
            let factor = if is_in_peak { factors[queue] } else { 1.0 };
            at -= rng.f64().max(1e-9).ln() / (rate * factor * (UPSTREAMS.len() * scale) as f64);
            let base = millis * spread(&mut rng);
            let tasks = (f64::from(tasks) * spread(&mut rng)).round().max(1.0) as u32;
            let declared = base * spread(&mut rng);
            let mut spec = job(&format!("{queue}-{at}"), tasks, declared.max(1.0) as u64);
            spec.steps[0].need.cpu = (3.2 * CORE as f64 * spread(&mut rng).sqrt()) as u64;
            let run_time = |_| Duration::from_secs_f64(base * spread(&mut rng).sqrt() / 1000.0);
            let run_times = (0..tasks).map(run_time).collect();
            let arrived = now + Duration::from_secs_f64(at);
            let index = replay.callers.len();
            replay
                .events
                .push(Reverse((arrived, Event::Arrival(index))));
            replay.callers.push(Caller {
                spec,
                run_times,
                queue,
                is_in_peak,
                is_largest: false,
                arrived,
            });
        }
    }
    for queue in 0..QUEUES.len() {
        let own = replay.callers.iter_mut();
        let mut own: Vec<_> = own.filter(|caller| caller.queue == queue).collect();
        own.sort_by_key(|caller| Reverse(caller.declared_work()));
        let tenth = own.len() / 10;
        own.truncate(tenth);
        own.iter_mut().for_each(|caller| caller.is_largest = true);
    }
    replay.events.push(Reverse((now, Event::Tick)));
    replay.run(now + Duration::from_secs(26));
    replay.totals
}

impl Caller {
    fn declared_work(&self) -> Duration {
        let step = &self.spec.steps[0];
        step.declared_run_time * step.tasks * step.need.cpu as u32
    }
}

/// Returns a factor with a spread of 0.4, as a difference of logarithms.
fn spread(rng: &mut fastrand::Rng) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (0.4 * normal).exp()
}

impl Replay {
    fn run(&mut self, until: Instant) {
        while let Some(Reverse((at, event))) = self.events.pop()
            && at < until
        {
            self.now = at;
            match event {
                Event::Arrival(caller) => self.submit(caller),
                Event::End(run) => self.end(run),
                Event::Tick => {
                    for key in self.upstreams.keys().copied().collect::<Vec<_>>() {
                        self.report(key, Vec::new());
                    }
                    self.dispatcher.tick(self.now);
                    self.carry_out();
                    let next = self.now + Duration::from_millis(10);
                    self.events.push(Reverse((next, Event::Tick)));
                }
            }
        }
        let unanswered: Vec<_> = self.open.values().copied().collect();
        for caller in unanswered {
            self.count(caller, |counts| counts.unserved += 1);
        }
    }

    fn count(&mut self, caller: usize, change: impl Fn(&mut Counts)) {
        let caller = &self.callers[caller];
        if !caller.is_in_peak {
            return;
        }
        change(&mut self.totals.counts[caller.queue]);
        if caller.is_largest {
            change(&mut self.totals.largest);
        }
    }

    fn submit(&mut self, index: usize) {
        let caller = &self.callers[index];
        let left = (caller.arrived + PATIENCE).saturating_duration_since(self.now);
        if self.now == caller.arrived {
            self.count(index, |counts| counts.callers += 1);
        }
        let caller = &self.callers[index];
        let submission = Submission {
            spec: caller.spec.clone(),
            queue_config: queue_config(QUEUES[caller.queue].3),
            caller_timeout: Some(left),
            caller_seen: Some(self.now),
        };
        let need = caller.spec.steps[0].need.cpu;
        match self.dispatcher.submit(self.now, submission) {
            Ok(key) => drop(self.open.insert(key, index)),
            Err(refusal) => {
                let has_room = |up: &Upstream| up.free >= need && up.waiting.is_empty();
                self.totals.needless_refusals += usize::from(self.upstreams.values().any(has_room));
                self.refused(index, &refusal);
            }
        }
        self.carry_out();
    }

    fn refused(&mut self, index: usize, refusal: &Refusal) {
        self.count(index, |counts| counts.refusals += 1);
        let at = self.now + refusal.retry_after().expect("a caller may return");
        if at >= self.callers[index].arrived + PATIENCE {
            self.count(index, |counts| counts.unserved += 1);
            return;
        }
        let second = (at - self.callers[0].arrived).as_secs();
        *self.totals.returns.entry(second).or_default() += 1;
        self.events.push(Reverse((at, Event::Arrival(index))));
    }

    fn answered(&mut self, index: usize, answer: &Answer) {
        if let Answer::NotRun(refusal) = answer {
            return self.refused(index, refusal);
        }
        let caller = &self.callers[index];
        let took = self.now - caller.arrived;
        let longest = caller.run_times.iter().max().expect("a job has tasks");
        let objective = longest.mul_f64(1.6) + Duration::from_millis(60);
        self.count(index, |count| match answer {
            Answer::Completed if took <= objective => count.in_time += 1,
            Answer::Completed if took <= objective * 3 => count.late += 1,
            Answer::Completed => count.useless += 1,
            _ => count.unserved += 1,
        });
    }

    fn carry_out(&mut self) {
        let mut connected = Vec::new();
        for action in take_granted(&mut self.dispatcher, self.now) {
            match action {
                Action::Run(order) => self.order(order.agent, order.run),
                Action::Answer(key, answer) => {
                    let index = self.open.remove(&key).expect("an open job");
                    self.answered(index, &answer);
                }
                Action::CheckCaller(job) => connected.push(job),
                Action::Cancel(..) | Action::Claim(..) | Action::Wake(_) => {}
            }
        }
        if !connected.is_empty() {
            self.dispatcher.callers_seen(self.now, &connected, &[]);
            self.carry_out();
        }
    }

    fn order(&mut self, key: AgentKey, run: RunOrder) {
        let seq = self.dispatcher.next_seq(key);
        let upstream = self.upstreams.get_mut(&key).expect("a known agent");
        upstream.seq = seq;
        upstream.waiting.push(run);
        self.start(key);
    }

    /// Starts the waiting tasks that have room, in the order of the agent.
    fn start(&mut self, key: AgentKey) {
        let upstream = self.upstreams.get_mut(&key).expect("a known agent");
        upstream.waiting.sort_by_key(|run| (run.class, run.due_ms));
        while upstream
            .waiting
            .first()
            .is_some_and(|run| run.need.cpu <= upstream.free)
        {
            let run = upstream.waiting.remove(0);
            upstream.free -= run.need.cpu;
            let id = &run.task.task;
            let same = |caller: &&Caller| caller.spec.id == id.job;
            let caller = self.callers.iter().find(same).expect("a known job");
            let time = caller.run_times[id.index as usize].div_f64(upstream.speed);
            self.events
                .push(Reverse((self.now + time, Event::End(self.runs.len()))));
            self.runs.push((key, run, time));
        }
    }

    fn end(&mut self, run: usize) {
        let (key, run, time) = self.runs[run].clone();
        self.upstreams.get_mut(&key).expect("a known agent").free += run.need.cpu;
        self.start(key);
        let end = AttemptEnd {
            task: run.task,
            outcome: Outcome::Done,
            run_ms: time.as_millis() as u32,
        };
        self.report(key, vec![end]);
    }

    fn report(&mut self, key: AgentKey, ends: Vec<AttemptEnd>) {
        let upstream = &self.upstreams[&key];
        let mut state = state(1.0 / upstream.speed, upstream.cores / CORE, 0);
        state.free = Amounts {
            cpu: upstream.free,
            ..state.capacity
        };
        state.waiting = upstream.waiting.len() as u32;
        let report = AgentReport {
            orders_seen: upstream.seq,
            state: Some(state),
            ends,
            held: None,
        };
        self.dispatcher.reported(self.now, key, report);
        self.carry_out();
    }
}

/// Replays a load with and without admission by class, and prints what became of the callers.
fn compare(name: &str, scale: usize, factors: [f64; 3]) -> [Totals; 2] {
    let run = |by_class| {
        let mut sum = Totals::default();
        for seed in 1..=3 {
            let totals = replay(seed, by_class, scale, factors);
            sum.largest.add(&totals.largest);
            sum.needless_refusals += totals.needless_refusals;
            for (sum, counts) in sum.counts.iter_mut().zip(&totals.counts) {
                sum.add(counts);
            }
            for (second, count) in totals.returns {
                *sum.returns.entry(second).or_default() += count;
            }
        }
        let needless = sum.needless_refusals;
        println!("{name}, by class {by_class}: {needless} needless refusals");
        for counts in sum.counts.iter().chain([&sum.largest, &sum.all()]) {
            println!("  {counts:?}");
        }
        sum
    };
    std::thread::scope(|scope| {
        let runs = [false, true].map(|by_class| scope.spawn(move || run(by_class)));
        runs.map(|run| run.join().expect("the replay ends"))
    })
}

/// At a peak of all traffic most admitted jobs were late, and refused callers returned in the peak.
#[gtest]
fn a_peak_is_answered_in_time_with_fewer_refusals() {
    for scale in [1, 3] {
        let [off, on] = compare("peak", scale, [2.6; 3]);
        let (before, after) = (off.all(), on.all());
        expect_that!(after.in_time, ge(before.in_time));
        expect_that!(after.late, le(before.late));
        expect_that!(after.refusals * 3, le(before.refusals * 2));
        expect_that!(after.unserved, le(before.unserved));
        expect_that!(on.needless_refusals, eq(0));
        // The largest jobs are refused somewhat more often, since they are ordered behind others.
        let refused = |counts: Counts| counts.refusals as f64 / counts.callers as f64;
        expect_that!(refused(on.largest), le(refused(after) * 1.5));
        expect_that!(on.largest.in_time, ge(off.largest.in_time));
    }
}

/// A flood of short jobs, which come first in the queue, displaced the usual traffic of the others.
#[gtest]
fn a_flood_of_one_queue_leaves_the_others_their_share() {
    for (flooded, factors) in [(0, [7.0, 1.2, 1.2]), (2, [1.2, 1.2, 4.0])] {
        let [off, on] = compare("flood", 2, factors);
        let (before, after) = (off.without(flooded), on.without(flooded));
        expect_that!(after.in_time, ge(before.in_time));
        expect_that!(after.unserved, le(before.unserved));
        expect_that!(on.needless_refusals, eq(0));
        expect_that!(on.all().in_time, ge(off.all().in_time));
    }
}

/// In a flood of two queues callers were refused for good, since all returned in each second of it.
#[gtest]
fn refused_callers_return_spread_over_seconds_and_are_served() {
    let [off, on] = compare("flood of two", 2, [1.2, 4.0, 4.0]);
    expect_that!(on.all().unserved * 4, le(off.all().unserved));
    expect_that!(on.all().refusals * 3, le(off.all().refusals * 2));
    let most = |totals: &Totals| totals.returns.values().copied().max();
    expect_that!(most(&on), le(most(&off)));
}
