//! The last announcement of its upstream that an agent stores for its next incarnation.

use std::time::Duration;

use bytes::Bytes;
use hemlockhook_dispatch::Amounts;
use hemlockhook_dispatch::agent::Announcement;
use serde::{Deserialize, Serialize};

#[derive(Deserialize, Serialize)]
struct Record {
    instance: String,
    born_ms: u64,
    service: String,
    cpu: u64,
    memory_mb: u64,
    gpus: u64,
    labels: Vec<String>,
    is_leaving: bool,
}

/// Decodes a record. Returns `None` if it is malformed.
pub(super) fn read(value: &Bytes) -> Option<Announcement> {
    let record: Record = serde_json::from_slice(value).ok()?;
    Some(Announcement {
        instance: record.instance.into(),
        started_ms: record.born_ms,
        // Lower than that of any announcement by the upstream itself.
        sequence: 0,
        service: record.service.into(),
        capacity: Amounts {
            cpu: record.cpu,
            memory_mb: record.memory_mb,
            gpus: record.gpus,
        },
        labels: record.labels.into_iter().map(Into::into).collect(),
        is_leaving: record.is_leaving,
        clock_ms: None,
        // The upstream's next announcement tells it.
        cold: Duration::ZERO,
    })
}

/// Encodes a record.
pub(super) fn write(announcement: &Announcement) -> Bytes {
    let record = Record {
        instance: announcement.instance.to_string(),
        born_ms: announcement.started_ms,
        service: announcement.service.to_string(),
        cpu: announcement.capacity.cpu,
        memory_mb: announcement.capacity.memory_mb,
        gpus: announcement.capacity.gpus,
        labels: announcement
            .labels
            .iter()
            .map(ToString::to_string)
            .collect(),
        is_leaving: announcement.is_leaving,
    };
    let json = serde_json::to_vec(&record).expect("JSON can represent every value of a record");
    Bytes::from(json)
}
