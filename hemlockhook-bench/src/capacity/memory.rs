//! Memory and CPU time of the state that processes keep: inventory documents and start markers.

use std::fmt::Write;
use std::fs;
use std::time::{Duration, Instant};

use hemlockhook_inventory::{Inventory, check};
use hemlockhook_ownership::{Gate, GateConfig, StartOrder};
use hemlockhook_types::{Ballot, JobKey, TaskOutcome, TaskResult, shard_of};

use super::Slope;
use crate::throughput::cpu_time_by_role;

const UPSTREAM_COUNTS: [usize; 4] = [100, 200, 400, 800];

const MARKER_COUNTS: [u64; 4] = [10_000, 20_000, 40_000, 80_000];

/// Number of services in a sample inventory.
const SERVICES: usize = 6;

/// Number of checks of an inventory over which the CPU time is averaged.
const CHECK_REPETITIONS: u32 = 100;

/// Copies of an inventory that are kept at once, so that their memory stands out from noise.
const INVENTORY_COPIES: usize = 50;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4_096.0;

/// An inventory as processes keep it: checked, and as text.
type LoadedInventory = (Option<Inventory>, String);

/// Measures the inventories and the start markers.
pub fn slopes() -> Vec<Slope> {
    let inventories: Vec<(f64, String)> = UPSTREAM_COUNTS
        .iter()
        .map(|n| (*n as f64, sample_inventory(*n)))
        .collect();
    // Measured first: the other measurements free memory that the allocator would reuse.
    let (inventory_points, _loaded) = inventory_memory(&inventories);
    let markers = Slope {
        name: "m_marker",
        description: "memory of start markers whose results are dropped, by markers",
        unit: "B",
        points: marker_memory(),
    };
    vec![
        Slope {
            name: "b_document",
            description: "bytes of a document, by upstreams with a worker each",
            unit: "B",
            points: inventories
                .iter()
                .map(|(n, text)| (*n, text.len() as f64))
                .collect(),
        },
        Slope {
            name: "c_check",
            description: "processor time of a check of a document, by upstreams",
            unit: "us",
            points: inventories
                .iter()
                .map(|(n, text)| (*n, check_time_us(text)))
                .collect(),
        },
        Slope {
            name: "m_document",
            description: "memory of a document as text and checked, by upstreams",
            unit: "B",
            points: inventory_points,
        },
        markers,
    ]
}

/// Returns the CPU time of one check of an inventory, in microseconds.
fn check_time_us(text: &str) -> f64 {
    let before = process_cpu_seconds();
    for _ in 0..CHECK_REPETITIONS {
        assert!(check(text).is_ok(), "the sample inventory is valid");
    }
    (process_cpu_seconds() - before) * 1e6 / f64::from(CHECK_REPETITIONS)
}

/// Returns the CPU time of all threads, in seconds.
fn process_cpu_seconds() -> f64 {
    cpu_time_by_role().map_or(0.0, |times| times.values().sum())
}

/// Measures the memory of inventories as processes keep them: as text and checked. Returns the
/// inventories too, so that later measurements do not reuse their memory.
fn inventory_memory(inventories: &[(f64, String)]) -> (Vec<(f64, f64)>, Vec<LoadedInventory>) {
    let mut kept = Vec::new();
    let points = inventories
        .iter()
        .map(|(upstreams, text)| {
            let before = resident_bytes();
            kept.extend((0..INVENTORY_COPIES).map(|_| (check(text).ok(), text.clone())));
            (
                *upstreams,
                (resident_bytes() - before) / INVENTORY_COPIES as f64,
            )
        })
        .collect();
    (points, kept)
}

/// Measures the memory of gates by the number of start markers that they hold. All gates are kept
/// until the end, so that none reuses memory that another one freed.
fn marker_memory() -> Vec<(f64, f64)> {
    let mut kept = Vec::new();
    MARKER_COUNTS
        .iter()
        .map(|count| {
            let before = resident_bytes();
            kept.push(gate_with_markers(*count));
            (*count as f64, resident_bytes() - before)
        })
        .collect()
}

fn gate_with_markers(count: u64) -> Gate {
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

/// Returns the resident set size of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Returns an inventory with this number of upstreams, each on its own worker.
pub fn sample_inventory(upstreams: usize) -> String {
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
