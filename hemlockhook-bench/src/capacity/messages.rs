//! Encoded size of the messages between the processes, without the 5-byte gRPC prefix, the 9-byte
//! header of an HTTP/2 frame and the TCP and IP headers.

use hemlockhook_proto::v1;
use prost::Message;

use super::Slope;

const JOB_KEY: &str = "sales-desk/0190f5a0-0000-7000-8000-000000000000";

/// Measures the encoded size of the messages.
pub fn slopes() -> Vec<Slope> {
    vec![
        Slope {
            name: "b_start",
            description: "bytes of a frame to an agent without payloads, by starts",
            unit: "B",
            points: size_points(&[1, 2, 4, 8, 16], |n| start_frame(n).encoded_len()),
        },
        Slope {
            name: "b_done",
            description: "bytes of a frame to an entry without results' bodies, by results",
            unit: "B",
            points: size_points(&[1, 2, 4, 8, 16], |n| result_frame(n).encoded_len()),
        },
        Slope {
            name: "b_report",
            description: "bytes of a fence's report without results' bodies, by starts",
            unit: "B",
            points: size_points(&[10, 100, 1_000], |n| fence_report(n).encoded_len()),
        },
        Slope {
            name: "b_peer, shards",
            description: "bytes of a heartbeat between entries, without teams, by shards owned",
            unit: "B",
            points: size_points(&[1, 8, 32, 64], |n| peer_status(n, 0).encoded_len()),
        },
        Slope {
            name: "b_peer, teams",
            description: "bytes of a heartbeat between entries, of 3 shards, by teams at work",
            unit: "B",
            points: size_points(&[1, 8, 16, 31], |n| peer_status(3, n).encoded_len()),
        },
        Slope {
            name: "b_ping",
            description: "bytes of a ping to an agent (1) and of its answer (2)",
            unit: "B",
            points: vec![
                (1.0, ping().encoded_len() as f64),
                (2.0, pong().encoded_len() as f64),
            ],
        },
    ]
}

fn size_points<F>(sizes: &[usize], bytes: F) -> Vec<(f64, f64)>
where
    F: Fn(usize) -> usize,
{
    sizes
        .iter()
        .map(|n| (*n as f64, bytes(*n) as f64))
        .collect()
}

fn start_frame(count: usize) -> v1::EntryFrame {
    let start = v1::Start {
        key: JOB_KEY.to_owned(),
        index: 100,
        job_tasks: 110,
        fingerprint: u64::MAX,
        shard: 40,
        ballot: 1 << 20,
        service: "stock-check".to_owned(),
        timeout_ms: 10_000,
        ..v1::Start::default()
    };
    v1::EntryFrame {
        starts: vec![start; count],
        config_version: 100_000,
        ..v1::EntryFrame::default()
    }
}

fn ok_result() -> v1::TaskResult {
    v1::TaskResult {
        kind: v1::task_result::Kind::Ok.into(),
        run_time_us: 200_000,
        ..v1::TaskResult::default()
    }
}

fn result_frame(count: usize) -> v1::AgentFrame {
    let done = v1::TaskDone {
        key: JOB_KEY.to_owned(),
        index: 100,
        result: Some(ok_result()),
    };
    v1::AgentFrame {
        grants: count as u32,
        done: vec![done; count],
        config_version: 100_000,
        ..v1::AgentFrame::default()
    }
}

fn fence_report(count: usize) -> v1::FenceReport {
    let record = v1::StartRecord {
        shard: 40,
        key: JOB_KEY.to_owned(),
        index: 100,
        job_tasks: 110,
        fingerprint: u64::MAX,
        service: "stock-check".to_owned(),
        idempotent: false,
        result: Some(ok_result()),
    };
    v1::FenceReport {
        takeover: 1_000,
        records: vec![record; count],
        ..v1::FenceReport::default()
    }
}

fn peer_status(shards: usize, teams: usize) -> v1::PeerStatus {
    let owned = |n| v1::OwnedShard {
        shard: n as u32,
        ballot: 1 << 20,
    };
    let team = |n| v1::TeamUsage {
        team: format!("sales-desk-{n}"),
        running: 200,
        queued: 200,
    };
    v1::PeerStatus {
        incarnation: u64::MAX,
        name: "entry-osijek-1".to_owned(),
        address: "10.100.100.100:7002".to_owned(),
        data_center: "osijek".to_owned(),
        config_version: 100_000,
        owned: (0..shards).map(owned).collect(),
        teams: (0..teams).map(team).collect(),
        ..v1::PeerStatus::default()
    }
}

fn ping() -> v1::EntryFrame {
    v1::EntryFrame {
        ping: true,
        config_version: 100_000,
        ..v1::EntryFrame::default()
    }
}

fn pong() -> v1::AgentFrame {
    v1::AgentFrame {
        pong: true,
        config_version: 100_000,
        ..v1::AgentFrame::default()
    }
}
