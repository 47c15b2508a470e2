//! What an agent keeps of its upstream in the store, for its next life.

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

/// Reads a record; `None` if it is none.
pub(super) fn read(value: &Bytes) -> Option<Announcement> {
    let record: Record = serde_json::from_slice(value).ok()?;
    Some(Announcement {
        instance: record.instance.into(),
        born_ms: record.born_ms,
        // Below that of any announcement of its own.
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
    })
}

/// Writes a record.
pub(super) fn write(said: &Announcement) -> Bytes {
    let record = Record {
        instance: said.instance.to_string(),
        born_ms: said.born_ms,
        service: said.service.to_string(),
        cpu: said.capacity.cpu,
        memory_mb: said.capacity.memory_mb,
        gpus: said.capacity.gpus,
        labels: said.labels.iter().map(ToString::to_string).collect(),
        is_leaving: said.is_leaving,
    };
    let text = serde_json::to_vec(&record).expect("a record has no value that JSON lacks");
    Bytes::from(text)
}
