//! Memory and processor time of what processes keep: documents and start markers.

use std::fmt::Write;
use std::fs;
use std::time::{Duration, Instant};

use hemlockhook_inventory::{Inventory, check};
use hemlockhook_ownership::{Gate, GateConfig, StartOrder};
use hemlockhook_types::{Ballot, JobKey, TaskOutcome, TaskResult, shard_of};

use super::Slope;
use crate::throughput::cpu_time_by_role;

const UPSTREAMS: [usize; 4] = [100, 200, 400, 800];

const MARKERS: [u64; 4] = [10_000, 20_000, 40_000, 80_000];

/// Services of a document.
const SERVICES: usize = 6;

/// Checks of a document that are averaged.
const CHECKS: u32 = 100;

/// Copies of a document that are kept, to tell their memory from noise.
const COPIES: usize = 50;

/// Bytes of a page of memory.
const PAGE: f64 = 4_096.0;

/// A document as processes keep it.
type Kept = (Option<Inventory>, String);

/// Measures everything that is kept.
pub fn slopes() -> Vec<Slope> {
    let documents: Vec<(f64, String)> = UPSTREAMS
        .iter()
        .map(|n| (*n as f64, document(*n)))
        .collect();
    // First, for what else is measured here leaves memory to be used again.
    let (document_points, _kept) = document_memory(&documents);
    let markers = Slope {
        name: "m_marker",
        what: "memory of start markers whose results are dropped, by markers",
        unit: "B",
        points: marker_memory(),
    };
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
            what: "memory of a document as text and checked, by upstreams",
            unit: "B",
            points: document_points,
        },
        markers,
    ]
}

/// Returns the processor time of a check, in microseconds.
fn check_time(text: &str) -> f64 {
    let before = process_time();
    for _ in 0..CHECKS {
        assert!(check(text).is_ok(), "the document is good");
    }
    (process_time() - before) * 1e6 / f64::from(CHECKS)
}

/// Returns the processor time of all threads, in seconds.
fn process_time() -> f64 {
    cpu_time_by_role().map_or(0.0, |times| times.values().sum())
}

/// Measures documents that are kept as processes keep them: as text and checked. They are handed
/// back, so that what is measured later does not get their memory.
fn document_memory(documents: &[(f64, String)]) -> (Vec<(f64, f64)>, Vec<Kept>) {
    let mut kept = Vec::new();
    let points = documents
        .iter()
        .map(|(upstreams, text)| {
            let before = resident();
            kept.extend((0..COPIES).map(|_| (check(text).ok(), text.clone())));
            (*upstreams, (resident() - before) / COPIES as f64)
        })
        .collect();
    (points, kept)
}

/// Measures gates that hold so many markers. They are kept together, so that none gets memory that
/// another one gave back.
fn marker_memory() -> Vec<(f64, f64)> {
    let mut kept = Vec::new();
    MARKERS
        .iter()
        .map(|count| {
            let before = resident();
            kept.push(gate_with(*count));
            (*count as f64, resident() - before)
        })
        .collect()
}

fn gate_with(count: u64) -> Gate {
    let mut gate = Gate::new(GateConfig::default(), 1);
    gate.join();
    let now = Instant::now();
    gate.on_announced(now);
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
        assert_eq!(gate.try_start(now, &order), Ok(()), "the marker is new");
        let result = TaskResult {
            outcome: TaskOutcome::Evicted,
            run_time: Duration::from_millis(50),
        };
        gate.finish_task(now, &key, 0, result);
    }
    assert_eq!(gate.marker_count() as u64, count, "every marker is kept");
    gate
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
    for n in 0..SERVICES {
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
            n % SERVICES,
            (n + 1) % SERVICES,
            (n + 5) % SERVICES
        );
    }
    text += "teams:\n";
    for n in 0..31 {
        let _ = writeln!(text, "  - {{ name: team-{n} }}");
    }
    text
}
