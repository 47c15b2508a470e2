//! The cases: what is set up, what is disturbed, and what is judged.

use std::path::Path;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::Response;
use crate::rig::{self, Job, Rig, SERVICE};
use crate::trace::Run;
use crate::worker::Profile;

/// `resendMs` of the pages.
const RESEND: Duration = Duration::from_millis(1300);

/// `cancel_ms` of the pages, in seconds.
const CANCEL_S: f64 = 3.0;

const ENTRIES: usize = 3;
const AGENTS: usize = 11;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

pub fn play(case: &str, programs: &Path, dir: &Path, has_trouble: bool) -> (Verdict, String) {
    let mut rig = Rig::new(programs, dir);
    let (verdict, words) = match case {
        "many-stops" => many_stops(&mut rig, has_trouble),
        "late-copy" => late_copy(&mut rig, has_trouble),
        "moved-client" => moved_client(&mut rig, has_trouble),
        "other-kind" => other_kind(&mut rig, has_trouble),
        _ => (Verdict::CouldNotRun, format!("no such case: {case}")),
    };
    rig.trace.note(words);
    let text = rig.trace.text();
    (verdict, text)
}

fn profile(index: usize, life: usize, kind: &str) -> Profile {
    Profile {
        id: format!("i-{index}-{life}"),
        service: SERVICE.to_owned(),
        zone: rig::ZONES[index % 3].to_owned(),
        labels: vec![kind.to_owned(), format!("r{}-1", index % 3)],
        cpu: 64_000,
        first_heartbeat: Duration::from_millis(100),
        stop_time: Duration::from_millis(30),
    }
}

/// Starts 3 entries and 11 agents; the first `of_kind_b` workers are of kind b, the others of kind a.
fn start(rig: &mut Rig, of_kind_b: usize) -> bool {
    rig.configure(3);
    for _ in 0..ENTRIES {
        rig.add_entry();
    }
    for _ in 0..AGENTS {
        rig.add_agent();
    }
    for index in 0..ENTRIES {
        rig.start_entry(index);
    }
    for index in 0..AGENTS {
        rig.start_agent(index);
        let kind = if index < of_kind_b { "b" } else { "a" };
        rig.start_worker(index, profile(index, 0, kind));
    }
    rig.wait_ready()
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn is_done(answer: &Option<Response>) -> bool {
    let answer = answer.as_ref();
    answer.is_some_and(|answer| {
        answer.status == 200 && String::from_utf8_lossy(&answer.body).contains("completed")
    })
}

/// A client that submits a job at one entry, and at another one `resendMs` after its connection broke.
fn client(rig: &Rig, job: Job, first: usize, second: usize) -> JoinHandle<Option<Response>> {
    let entries = [rig.entries[first].callers, rig.entries[second].callers];
    let names = [first, second];
    let trace = rig.trace.clone();
    thread::spawn(move || {
        let mut answer = None;
        for (addr, name) in entries.into_iter().zip(names) {
            trace.note(format!("client POST {} to entry {name}", job.id));
            let call = rig::submit_to(addr, &job).ok();
            let timeout = Duration::from_millis(u64::from(job.deadline_ms));
            answer = call.and_then(|call| call.response(timeout));
            rig::note_answer(&trace, &format!("POST {}", job.id), &answer);
            match &answer {
                None => thread::sleep(RESEND),
                Some(answer) if matches!(answer.status, 502 | 504) => thread::sleep(RESEND),
                Some(_) => break,
            }
        }
        answer
    })
}

/// Clients beside the one that is disturbed: each submits a job at the first entry and waits for its answer.
fn others(rig: &Rig, count: u32) -> Vec<JoinHandle<Option<Response>>> {
    let job = |number: u32| Job {
        id: format!("00000000000005{number:02x}"),
        count: 2,
        cpu: 6200,
        run_ms: 900,
        requirement: None,
        deadline_ms: 1500,
        steps: 1,
    };
    (0..count)
        .map(|number| client(rig, job(number), 0, 1))
        .collect()
}

/// Runs of a job that began later than `cancel_ms` after its cancel was acknowledged.
fn late_runs(runs: &[Run], job: &Job, cancelled_s: f64) -> Vec<Run> {
    let is_late = |run: &&Run| run.task.starts_with(&job.id) && run.began > cancelled_s + CANCEL_S;
    runs.iter().filter(is_late).cloned().collect()
}

/// Two runs of a task at the same time, on workers that are up.
fn overlaps(runs: &[Run]) -> Vec<(Run, Run)> {
    let mut sorted: Vec<_> = runs.to_vec();
    sorted.sort_by(|a, b| a.task.cmp(&b.task).then(a.began.total_cmp(&b.began)));
    let mut found = Vec::new();
    for pair in sorted.windows(2) {
        let [first, second] = pair else { continue };
        let ended = first.ended.unwrap_or(f64::MAX);
        if first.task == second.task && second.began < ended {
            found.push((first.clone(), second.clone()));
        }
    }
    found
}

/// An entry is killed while many small tasks of its callers run on two workers.
fn many_stops(rig: &mut Rig, has_trouble: bool) -> (Verdict, String) {
    if !start(rig, 2) {
        return (Verdict::CouldNotRun, "the entries aren't ready".to_owned());
    }
    // Another entry has work on the same workers all the while.
    let other = Job {
        id: "00000000000000ff".to_owned(),
        count: 4,
        cpu: 100,
        run_ms: 14_000,
        requirement: Some("b"),
        deadline_ms: 24_000,
        steps: 1,
    };
    let other = client(rig, other, 1, 2);
    let jobs = 16;
    let clients: Vec<_> = (0..jobs)
        .map(|index| {
            let job = Job {
                id: format!("00000000000001{index:02x}"),
                count: 120,
                cpu: 30,
                run_ms: 8000,
                requirement: Some("b"),
                deadline_ms: 24_000,
                steps: 1,
            };
            client(rig, job, 0, 1 + index % 2)
        })
        .collect();
    sleep_ms(3000);
    let running = |index: usize| {
        rig.agents[index]
            .life
            .as_ref()
            .map_or(0, |life| life.running())
    };
    let counts = [running(0), running(1)];
    rig.trace
        .note(format!("runs on the workers of kind b: {counts:?}"));
    if counts.iter().any(|&count| count < 600) {
        return (
            Verdict::CouldNotRun,
            "too few tasks have started".to_owned(),
        );
    }
    if has_trouble {
        rig.kill_entry(0);
        sleep_ms(3500);
        rig.start_entry(0);
    }
    let mut done = 0;
    for client in clients {
        done += usize::from(is_done(&client.join().ok().flatten()));
    }
    let is_other_done = is_done(&other.join().ok().flatten());
    let found = overlaps(&rig.trace.runs());
    if let Some((first, second)) = found.first() {
        let together = found
            .iter()
            .map(|(first, second)| first.ended.unwrap_or(f64::MAX) - second.began)
            .fold(0.0, f64::max);
        let words = format!(
            "TWICE broken: {} times a task had two runs at the same time, for up to {together:.3} s; for example {first:?} and {second:?}",
            found.len()
        );
        return (Verdict::Broken, words);
    }
    if !has_trouble && !(done == jobs && is_other_done) {
        return (
            Verdict::CouldNotRun,
            format!("{done} of {jobs} jobs are completed"),
        );
    }
    (
        Verdict::Held,
        format!("TWICE held; {done} of {jobs} jobs are completed"),
    )
}

/// A copy of a job's request arrives seconds after the cancelling was acknowledged.
fn late_copy(rig: &mut Rig, has_trouble: bool) -> (Verdict, String) {
    if !start(rig, 4) {
        return (Verdict::CouldNotRun, "the entries aren't ready".to_owned());
    }
    let job = Job {
        id: "00000000000002aa".to_owned(),
        count: 2,
        cpu: 6200,
        run_ms: 1200,
        requirement: None,
        deadline_ms: 1500,
        steps: 1,
    };
    let others = others(rig, 3);
    let Ok(first) = rig.submit(0, &job) else {
        return (
            Verdict::CouldNotRun,
            "the job can't be submitted".to_owned(),
        );
    };
    sleep_ms(300);
    let Some(answer) = rig.cancel(0, &job.id) else {
        return (Verdict::CouldNotRun, "no answer to the cancel".to_owned());
    };
    let cancelled_s = rig.trace.seconds();
    let answered = first.response(Duration::from_millis(1500));
    rig.note_answer("the first POST", &answered);
    if answer.status / 100 != 2 || rig.trace.runs().is_empty() {
        return (
            Verdict::CouldNotRun,
            "the running job isn't cancelled".to_owned(),
        );
    }
    sleep_ms(4500);
    if has_trouble {
        let copy = rig.submit(0, &job).ok();
        let answered = copy.and_then(|copy| copy.response(Duration::from_millis(1500)));
        rig.note_answer("the late copy", &answered);
    }
    sleep_ms(1500);
    let are_served = others
        .into_iter()
        .all(|other| is_done(&other.join().ok().flatten()));
    if !are_served {
        return (
            Verdict::CouldNotRun,
            "the other clients aren't served".to_owned(),
        );
    }
    let runs = rig.trace.runs();
    let late = late_runs(&runs, &job, cancelled_s);
    match late.first() {
        Some(run) => {
            let after = run.began - cancelled_s;
            let words = format!(
                "UNASKED broken: {} tasks started after the acknowledgement of the cancel, the first {after:.3} s after it: {run:?}",
                late.len()
            );
            (Verdict::Broken, words)
        }
        None => (
            Verdict::Held,
            "UNASKED held: nothing started after the cancel".to_owned(),
        ),
    }
}

/// A client that has moved to another zone cancels its job there.
fn moved_client(rig: &mut Rig, has_trouble: bool) -> (Verdict, String) {
    if !start(rig, 4) {
        return (Verdict::CouldNotRun, "the entries aren't ready".to_owned());
    }
    let job = Job {
        id: "00000000000004aa".to_owned(),
        count: 2,
        cpu: 6200,
        run_ms: 2000,
        requirement: None,
        deadline_ms: 20_000,
        steps: 6,
    };
    let others = others(rig, 1);
    let Ok(first) = rig.submit(0, &job) else {
        return (
            Verdict::CouldNotRun,
            "the job can't be submitted".to_owned(),
        );
    };
    sleep_ms(500);
    let entry = usize::from(has_trouble);
    let Some(answer) = rig.cancel(entry, &job.id) else {
        return (Verdict::CouldNotRun, "no answer to the cancel".to_owned());
    };
    let cancelled_s = rig.trace.seconds();
    if !matches!(answer.status, 200 | 410) || rig.trace.runs().is_empty() {
        return (
            Verdict::CouldNotRun,
            "the cancel of the running job isn't acknowledged".to_owned(),
        );
    }
    let answered = first.response(Duration::from_secs(16));
    rig.note_answer(&format!("POST {}", job.id), &answered);
    sleep_ms(4500);
    let are_served = others
        .into_iter()
        .all(|other| is_done(&other.join().ok().flatten()));
    if !are_served {
        return (
            Verdict::CouldNotRun,
            "the other clients aren't served".to_owned(),
        );
    }
    let runs = rig.trace.runs();
    let late = late_runs(&runs, &job, cancelled_s);
    match late.first() {
        Some(run) => {
            let after = run.began - cancelled_s;
            let words = format!(
                "UNASKED broken: {} tasks started later than cancel_ms after the acknowledgement of the cancel, the first {after:.3} s after it: {run:?}",
                late.len()
            );
            (Verdict::Broken, words)
        }
        None => (
            Verdict::Held,
            "UNASKED held: nothing started after the cancel".to_owned(),
        ),
    }
}

/// The only worker of a kind crashes while it is idle, and a life of another kind starts at its address.
fn other_kind(rig: &mut Rig, has_trouble: bool) -> (Verdict, String) {
    if !start(rig, 1) {
        return (Verdict::CouldNotRun, "the entries aren't ready".to_owned());
    }
    let job = |number: u32| Job {
        id: format!("00000000000003{number:02x}"),
        count: 2,
        cpu: 6200,
        run_ms: 60,
        requirement: Some("b"),
        deadline_ms: 1500,
        steps: 1,
    };
    let first = client(rig, job(0), 0, 1);
    if !is_done(&first.join().ok().flatten()) {
        return (
            Verdict::CouldNotRun,
            "the first job isn't completed".to_owned(),
        );
    }
    sleep_ms(500);
    if has_trouble {
        rig.agents[0].life = None;
        sleep_ms(300);
        let next = Profile {
            first_heartbeat: Duration::from_millis(500),
            ..profile(0, 1, "a")
        };
        rig.start_worker(0, next);
        sleep_ms(50);
    }
    let clients: Vec<_> = (1..7)
        .map(|number| {
            sleep_ms(100);
            client(
                rig,
                job(number),
                number as usize % 3,
                (number as usize + 1) % 3,
            )
        })
        .collect();
    let mut done = 0;
    for client in clients {
        done += usize::from(is_done(&client.join().ok().flatten()));
    }
    sleep_ms(1000);
    let runs = rig.trace.runs();
    let strays: Vec<_> = runs
        .iter()
        .filter(|run| !run.labels.iter().any(|label| label == "b"))
        .collect();
    match strays.first() {
        Some(run) => {
            let words = format!(
                "ROUTE broken: {} starts on a worker without the label in the step's requirements; the first: {run:?}",
                strays.len()
            );
            (Verdict::Broken, words)
        }
        None if !has_trouble && done < 6 => (
            Verdict::CouldNotRun,
            format!("{done} of 6 jobs are completed"),
        ),
        None => (
            Verdict::Held,
            format!("ROUTE held; {done} of 6 jobs are completed"),
        ),
    }
}
