//! A small deployment of the project's programs against stand-ins, for the scripts of `review/6` to
//! `review/10`.
//!
//! Usage: `rig SCENARIO DIRECTORY`, from the root of the repository. It starts the commands of
//! `deploy/system.toml` with settings made from the templates of that file, on loopback addresses, and
//! plays the platform's store, the workers and the clients by the users' pages. It writes what was sent,
//! answered and run to `record.txt` in the directory, and exits with 1 if the rule was broken, with 0 if
//! it held and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.
//!
//! Only the standard library is used.

#[path = "json.rs"]
mod json;
#[path = "http.rs"]
mod http;
#[path = "platform.rs"]
mod platform;
#[path = "deployment.rs"]
mod deployment;
#[path = "scenarios.rs"]
mod scenarios;

use std::process::exit;
use std::thread;
use std::time::Duration;

use deployment::{end_children, Record};

/// Time after which a run is ended as one that could not be completed.
const RUN_LIMIT: Duration = Duration::from_secs(110);

/// Verdict of a scenario.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, directory] = args.as_slice() else {
        eprintln!("usage: rig SCENARIO DIRECTORY");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(directory);
    record.line(&format!("scenario {scenario}, disruption: {}", if has_trouble { "yes" } else { "no" }));
    let watchdog = record.clone();
    thread::spawn(move || {
        thread::sleep(RUN_LIMIT);
        watchdog.line("the run took too long");
        end_children();
        exit(2);
    });
    let run = scenarios::find(scenario);
    let Some(run) = run else {
        eprintln!("no scenario {scenario}");
        exit(2);
    };
    let played = std::panic::catch_unwind(|| run(&record, has_trouble));
    end_children();
    let (code, text) = match played {
        Ok(Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
        Ok(Verdict::Held(text)) => (0, format!("held: {text}")),
        Ok(Verdict::NotRun(text)) => (2, format!("could not run: {text}")),
        Err(_) => (2, "could not run: the rig stopped".to_owned()),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
