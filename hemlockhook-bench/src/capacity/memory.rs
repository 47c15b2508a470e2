//! Memory and processor time of what processes keep: documents and start markers.

use std::fmt::Write;
use std::fs;
use std::time::{Duration, Instant};

use hemlockhook_inventory::check;
use hemlockhook_ownership::{Gate, GateConfig, StartOrder};
use hemlockhook_types::{Ballot, JobKey, TaskEnd, TaskResult, shard_of};

use super::Slope;

const UPSTREAMS: [usize; 4] = [100, 200, 400, 800];

const MARKERS: [u64; 4] = [10_000, 20_000, 40_000, 80_000];

/// Checks of a document that are averaged.
const CHECKS: u32 = 20;

/// Copies of a document that are kept, to tell their memory from noise.
const COPIES: usize = 50;

/// Bytes of a page of memory.
const PAGE: f64 = 4_096.0;

/// Measures everything that is kept.
pub fn slopes() -> Vec<Slope> {
    let documents: Vec<(f64, String)> = UPSTREAMS
        .iter()
        .map(|n| (*n as f64, document(*n)))
        .collect();
    vec![
        Slope {
            name: "b_document",
            what: "bytes of a document, by upstreams with a worker each",
            unit: "B",
            points: documents
                .iter()
                .map(|(n, text)| (*n, text.len() as f64))
                .collect(),
        },
        Slope {
            name: "c_check",
            what: "processor time of a check of a document, by upstreams",
            unit: "us",
            points: documents
                .iter()
                .map(|(n, text)| (*n, check_time(text)))
                .collect(),
        },
        Slope {
            name: "m_document",
            what: "memory of a checked document, by upstreams",
            unit: "B",
            points: documents
                .iter()
                .map(|(n, text)| (*n, checked_memory(text)))
                .collect(),
        },
        Slope {
            name: "m_marker",
            what: "memory of a start marker whose result is dropped, by markers",
            unit: "B",
            points: MARKERS
                .iter()
                .map(|n| (*n as f64, marker_memory(*n)))
                .collect(),
        },
    ]
}

/// Returns the microseconds that a check takes.
fn check_time(text: &str) -> f64 {
    let began = Instant::now();
    for _ in 0..CHECKS {
        assert!(check(text).is_ok(), "the document is good");
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(CHECKS)
}

fn checked_memory(text: &str) -> f64 {
    let before = resident();
    let kept: Vec<_> = (0..COPIES)
        .map(|_| (check(text), text.to_owned()))
        .collect();
    (resident() - before) / kept.len() as f64
}

fn marker_memory(count: u64) -> f64 {
    let before = resident();
    let mut gate = Gate::new(GateConfig::default(), 1);
    gate.join();
    let now = Instant::now();
    gate.announced(now);
    for n in 0..count {
        let key: JobKey = format!("sales-desk/0190f5a0-0000-7000-8000-{n:012}").into();
        let order = StartOrder {
            shard: shard_of(&key),
            key: key.clone(),
            index: 0,
            job_tasks: 110,
            fingerprint: n,
            ballot: Ballot {
                counter: 1,
                owner: 1,
            },
            service: "quote".into(),
            idempotent: false,
        };
        assert_eq!(gate.start(now, &order), Ok(()), "the marker is new");
        let result = TaskResult {
            end: TaskEnd::Evicted,
            run_time: Duration::from_millis(50),
        };
        gate.finish(now, &key, 0, result);
    }
    assert_eq!(gate.starts() as u64, count, "every marker is kept");
    resident() - before
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE
}

/// Writes a document of so many upstreams, each on a worker of its own.
pub fn document(upstreams: usize) -> String {
    let mut text = String::from("deployment: capacity\ndata_centers:\n");
    for n in 0..6 {
        let _ = writeln!(text, "  - {{ name: dc-{n}, region: region-{} }}", n / 3);
    }
    text += "workers:\n";
    for n in 0..upstreams {
        let _ = writeln!(
            text,
            "  - {{ name: worker-{n:04}, rack: rack-{:03}-{}, data_center: dc-{}, processors: 64, \
             memory_gb: 128, accelerators: 1 }}",
            n / 18,
            n % 6,
            n % 6
        );
    }
    text += "services:\n";
    for n in 0..12 {
        let _ = writeln!(
            text,
            "  - {{ name: service-{n}, deadline: 30s, max_task_time: 20s, \
             objective: {{ percent: 99.9, within: 2s }} }}"
        );
    }
    text += "upstreams:\n";
    for n in 0..upstreams {
        let _ = writeln!(
            text,
            "  - {{ name: upstream-{n:04}, worker: worker-{n:04}, \
             services: [service-{}, service-{}, service-{}], slots: 40, connections: 128 }}",
            n % 12,
            (n + 1) % 12,
            (n + 5) % 12
        );
    }
    text += "teams:\n";
    for n in 0..31 {
        let _ = writeln!(text, "  - {{ name: team-{n} }}");
    }
    text
}
