//! In-memory storage of the log stand-in.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hemlockhook_ports::Offset;
use hemlockhook_ports::wire::{Record, Records};
use hemlockhook_types::FIRST_OFFSET;

/// Limits on the records retained in each stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retention {
    /// Maximum number of records.
    pub(crate) count: usize,
    /// Maximum age of a record.
    pub(crate) age: Duration,
}

/// Streams of records, by name.
#[derive(Debug, Default)]
pub(crate) struct LogStore {
    streams: BTreeMap<String, Stream>,
}

impl LogStore {
    /// Appends a record and returns its offset.
    pub(crate) fn append(
        &mut self,
        now: Instant,
        wall: SystemTime,
        stream: &str,
        body: String,
    ) -> Offset {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.end();
        let appended_ms = wall
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64);
        stream.records.push_back(StoredRecord {
            appended_at: now,
            record: Record {
                offset,
                appended_ms,
                body,
            },
        });
        offset
    }

    /// Returns the records of a stream from an offset on, or from the first retained record if the
    /// offset is 0. If the records at the offset are no longer retained, returns the first retained
    /// offset.
    pub(crate) fn read(&self, stream: &str, from: Offset, max: usize) -> Result<Records, Offset> {
        let Some(stream) = self.streams.get(stream) else {
            return Ok(Records {
                records: Vec::new(),
                first_retained: FIRST_OFFSET,
                end: FIRST_OFFSET,
            });
        };

        let first_retained = stream.first_retained();
        let from = match from {
            0 => first_retained,
            from if from < first_retained => return Err(first_retained),
            from => from,
        };
        let skip_count = usize::try_from(from - first_retained).unwrap_or(usize::MAX);
        let mut total_bytes = 0;
        let is_within_limit = |stored: &&StoredRecord| {
            let is_first = total_bytes == 0;
            total_bytes += stored.record.body.len();
            is_first || total_bytes <= MAX_READ_BYTES
        };
        let candidates = stream.records.iter().skip(skip_count).take(max);
        Ok(Records {
            records: candidates
                .take_while(is_within_limit)
                .map(|stored| stored.record.clone())
                .collect(),
            first_retained,
            end: stream.end(),
        })
    }

    /// Drops the records that exceed the retention.
    pub(crate) fn expire(&mut self, now: Instant, retention: Retention) {
        for stream in self.streams.values_mut() {
            stream.expire(now, retention);
        }
    }
}

/// Maximum total size of the records in one response. The first record is returned even if it is
/// larger.
const MAX_READ_BYTES: usize = 16 * 1024 * 1024;

/// The retained records of one stream. Their offsets are contiguous.
#[derive(Debug)]
struct Stream {
    records: VecDeque<StoredRecord>,
    /// Offset of the first retained record.
    first_retained: Offset,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            records: VecDeque::new(),
            first_retained: FIRST_OFFSET,
        }
    }
}

impl Stream {
    fn first_retained(&self) -> Offset {
        self.first_retained
    }

    fn end(&self) -> Offset {
        self.first_retained + self.records.len() as Offset
    }

    fn expire(&mut self, now: Instant, retention: Retention) {
        let front_has_expired = |stream: &Self| match stream.records.front() {
            Some(stored) => {
                stream.records.len() > retention.count
                    || now.duration_since(stored.appended_at) > retention.age
            }
            None => false,
        };
        while front_has_expired(self) {
            self.records.pop_front();
            self.first_retained += 1;
        }
    }
}

/// A record with the time of its append on the monotonic clock.
#[derive(Debug)]
struct StoredRecord {
    appended_at: Instant,
    record: Record,
}
