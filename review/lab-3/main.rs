//! Plays a case of the review against the project's own programs: `lab CASE PROGRAMS RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0`
//! the disruption is left out.

mod cases;
mod http;
mod json;
mod rig;
mod store;
mod trace;
mod worker;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;
use std::{env, fs, panic, process, thread};

use crate::cases::Verdict;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<_> = env::args().skip(1).collect();
    let [case, programs, record] = &args[..] else {
        eprintln!("usage: lab CASE PROGRAMS RECORD");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = env::temp_dir().join(format!("review-3-{}", process::id()));
    if fs::create_dir_all(&dir).is_err() {
        exit(2);
    }
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        rig::end_processes();
        exit(2);
    });
    let played = panic::catch_unwind(|| {
        let programs = PathBuf::from(programs);
        cases::play(case, &programs, &dir, has_trouble)
    });
    rig::end_processes();
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&dir);
    }
    let (verdict, text) = played.unwrap_or_else(|_| {
        let text = "the case stopped by itself".to_owned();
        (Verdict::CouldNotRun, text)
    });
    if fs::write(record, &text).is_err() {
        eprintln!("the record can't be written");
        exit(2);
    }
    println!("{case}: {verdict:?}, see {record}");
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    });
}
