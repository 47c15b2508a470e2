//! Simulation of the readers, the publishers and the log of one run, with its invariants.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};

use hemlockhook_inventory::{
    ConfigReader, ConfigRecord, PublishAction, PublishOutcome, Publisher, Verdict,
};

pub const READERS: usize = 3;
pub const PUBLISHERS: usize = 2;

/// A rule that is disabled, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Records are accepted with any base.
    NoBaseCheck,
    /// A reader adopts any version of a peer, including lower ones.
    AdoptLower,
    /// A lost reply is handled as a failure without effect.
    LostReplyIsFailure,
    /// A lost reply is handled as a success.
    LostReplyIsSuccess,
    /// A reader does not detect that it missed records.
    NoGapCheck,
    /// A reader accepts a restored configuration at any offset.
    RestoreAnywhere,
    /// A reader ignores up to which offset the writer of a repeat had read the log.
    NoReadToCheck,
}

impl Mutant {
    pub fn all() -> [Self; 7] {
        [
            Self::NoBaseCheck,
            Self::AdoptLower,
            Self::LostReplyIsFailure,
            Self::LostReplyIsSuccess,
            Self::NoGapCheck,
            Self::NoReadToCheck,
            Self::RestoreAnywhere,
        ]
    }
}

/// Fault injected into an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFault {
    None,
    Duplicated,
    ReplyLost,
    DuplicatedReplyLost,
    RequestLost,
    Late,
}

/// Counts the situations that the runs reached, so that a run that exercises nothing fails.
#[derive(Clone, Debug, Default)]
pub struct Coverage(Arc<Mutex<BTreeMap<&'static str, u64>>>);

impl Coverage {
    const EXPECTED: [&'static str; 10] = [
        "accepted",
        "refused",
        "not published",
        "unsettled",
        "resumed",
        "undecided",
        "decided again",
        "adopted",
        "all agreed at the end",
        "restored",
    ];

    pub fn count(&self, situation: &'static str) {
        *self
            .0
            .lock()
            .expect("no holder panics")
            .entry(situation)
            .or_default() += 1;
    }

    /// Returns the situations that were never reached.
    pub fn missing(&self) -> Vec<&'static str> {
        let counts = self.0.lock().expect("no holder panics");
        Self::EXPECTED
            .into_iter()
            .filter(|situation| !counts.contains_key(situation))
            .collect()
    }
}

/// The log, with every record that was ever appended.
#[derive(Default)]
pub struct FakeLog {
    pub down: bool,
    records: Vec<Vec<u8>>,
    dropped: usize,
    late: Vec<Vec<u8>>,
    expected: ReferenceModel,
}

/// The decisions that follow from the complete log.
#[derive(Default)]
struct ReferenceModel {
    version: u64,
    documents: HashMap<u64, String>,
    accepted: HashMap<String, u64>,
    verdicts: Vec<Option<Verdict>>,
    version_before: Vec<u64>,
}

enum Appended {
    At(u64),
    Failed,
    Uncertain,
}

impl FakeLog {
    fn append(&mut self, body: Vec<u8>, fault: AppendFault) -> Appended {
        if self.down {
            return Appended::Failed;
        }
        let offset = self.end();
        match fault {
            AppendFault::None | AppendFault::ReplyLost => self.push(body),
            AppendFault::Duplicated | AppendFault::DuplicatedReplyLost => {
                self.push(body.clone());
                self.push(body);
            }
            AppendFault::Late => self.late.push(body),
            AppendFault::RequestLost => {}
        }
        match fault {
            AppendFault::None | AppendFault::Duplicated => Appended::At(offset),
            _ => Appended::Uncertain,
        }
    }

    /// Appends the first record that was delayed.
    pub fn deliver_late(&mut self) {
        if !self.late.is_empty() {
            let body = self.late.remove(0);
            self.push(body);
        }
    }

    /// Drops all records except the last ones.
    pub fn truncate(&mut self, keep: usize) {
        let dropped = self.records.len().saturating_sub(keep);
        self.dropped = self.dropped.max(dropped);
    }

    fn push(&mut self, body: Vec<u8>) {
        let record = ConfigRecord::from_bytes(&body).expect("only records are appended");
        let offset = self.end();
        self.expected.push(offset, record);
        self.records.push(body);
    }

    fn end(&self) -> u64 {
        self.records.len() as u64 + 1
    }

    fn first_retained(&self) -> u64 {
        self.dropped as u64 + 1
    }

    fn body(&self, offset: u64) -> &[u8] {
        &self.records[index(offset)]
    }
}

impl ReferenceModel {
    fn push(&mut self, offset: u64, record: ConfigRecord) {
        self.version_before.push(self.version);
        if record.version.is_some() {
            self.verdicts.push(None);
            return;
        }
        let is_accepted = match record.restore {
            true => record.read_to == Some(offset),
            false => record.base == self.version,
        };
        if !is_accepted {
            self.verdicts.push(Some(Verdict::Refused {
                in_force: self.version,
            }));
            return;
        }
        let version = offset;
        self.version = version;
        self.documents.insert(version, record.document);
        let before = self.accepted.insert(record.change_id, version);
        assert_eq!(before, None, "a change took effect twice");
        self.verdicts.push(Some(Verdict::Accepted { version }));
    }

    fn version_at(&self, offset: u64) -> u64 {
        let before = self.version_before.get(index(offset));
        before.copied().unwrap_or(self.version)
    }
}

/// A reader and the version that it had in force before the current event.
struct Reader {
    inner: ConfigReader,
    previous_version: u64,
}

/// A publish in progress, with its record.
struct Publish {
    publisher: Publisher,
    record: ConfigRecord,
}

/// The complete state of one run.
pub struct Simulation {
    pub log: FakeLog,
    readers: Vec<Reader>,
    publishes: Vec<Option<Publish>>,
    unsettled: Vec<Option<ConfigRecord>>,
    refused: HashSet<String>,
    changes: u64,
    mutant: Option<Mutant>,
    coverage: Coverage,
}

impl Simulation {
    pub fn new(mutant: Option<Mutant>, coverage: Coverage) -> Self {
        Self {
            log: FakeLog::default(),
            readers: (0..READERS).map(|_| Reader::new()).collect(),
            publishes: (0..PUBLISHERS).map(|_| None).collect(),
            unsettled: vec![None; PUBLISHERS],
            refused: HashSet::new(),
            changes: 0,
            mutant,
            coverage,
        }
    }

    /// Lets a reader read up to `max` records.
    pub fn poll(&mut self, reader: usize, max: usize) {
        if self.log.down {
            return;
        }
        let target = &mut self.readers[reader].inner;
        let was_deciding = target.decided_version().is_some();
        let first = self.log.first_retained();
        if self.mutant != Some(Mutant::NoGapCheck) {
            target.on_truncated(first);
        }
        for offset in (first.max(target.next_offset())..self.log.end()).take(max) {
            let verdict = feed(target, offset, &self.log, self.mutant);
            let expected = self.log.expected.verdicts[index(offset)];
            match verdict {
                Verdict::Accepted { .. } | Verdict::Refused { .. } => {
                    assert_eq!(Some(verdict), expected, "the verdict on record {offset}");
                }
                Verdict::Undecided => self.coverage.count("undecided"),
                Verdict::Repeated | Verdict::Ignored => {}
            }
        }
        if !was_deciding && target.decided_version().is_some() {
            self.coverage.count("decided again");
        }
    }

    pub fn restart(&mut self, reader: usize) {
        self.readers[reader] = Reader::new();
    }

    /// Passes the configuration in force at one reader to another.
    pub fn adopt(&mut self, from: usize, to: usize) {
        let version = self.readers[from].inner.version();
        let document = self.readers[from].inner.document().to_owned();
        let target = &mut self.readers[to].inner;
        if self.mutant == Some(Mutant::AdoptLower) {
            *target = ConfigReader::new();
        }
        if target.adopt(version, &document) {
            self.coverage.count("adopted");
        }
    }

    /// Lets a reader repeat the version in force.
    pub fn repeat(&mut self, reader: usize, fault: AppendFault) {
        if let Some(record) = self.readers[reader].inner.repeat() {
            self.log.append(record.to_bytes(), fault);
        }
    }

    /// Begins to publish a document that was edited from a reader's version in force, or from one that
    /// is lower by `behind`.
    pub fn begin(&mut self, publisher: usize, reader: usize, behind: u64) {
        if self.publishes[publisher].is_some() {
            return;
        }
        let edited_from = &self.readers[reader].inner;
        self.changes += 1;
        let record = ConfigRecord {
            change_id: format!("change-{}", self.changes),
            base: edited_from.version().saturating_sub(behind),
            document: format!("document {}", self.changes),
            ..ConfigRecord::default()
        };
        let mut inner = Publisher::new(ConfigReader::new(), record.clone());
        inner.on_peer_config(edited_from.version(), edited_from.document());
        self.unsettled[publisher] = None;
        self.publishes[publisher] = Some(Publish {
            publisher: inner,
            record,
        });
    }

    /// Begins to restore a configuration, as an operator does if no process has one.
    pub fn restore(&mut self, publisher: usize) {
        if self.publishes[publisher].is_some() {
            return;
        }
        self.changes += 1;
        let record = ConfigRecord {
            change_id: format!("change-{}", self.changes),
            document: format!("document {}", self.changes),
            restore: true,
            ..ConfigRecord::default()
        };
        let inner = Publisher::new(ConfigReader::new(), record.clone());
        self.unsettled[publisher] = None;
        self.publishes[publisher] = Some(Publish {
            publisher: inner,
            record,
        });
    }

    /// Publishes an unsettled change again.
    pub fn resume(&mut self, publisher: usize) {
        if self.publishes[publisher].is_some() {
            return;
        }
        if let Some(record) = self.unsettled[publisher].take() {
            self.coverage.count("resumed");
            let inner = Publisher::new(ConfigReader::new(), record.clone()).resume();
            self.publishes[publisher] = Some(Publish {
                publisher: inner,
                record,
            });
        }
    }

    /// Performs the next action of a publisher.
    pub fn step(&mut self, publisher: usize, fault: AppendFault) {
        let Some(publish) = &mut self.publishes[publisher] else {
            return;
        };
        match publish.publisher.action().clone() {
            PublishAction::Read if self.log.down => publish.publisher.on_read_failed("down"),
            PublishAction::Read => {
                let first = self.log.first_retained();
                publish.publisher.on_truncated(first);
                for offset in publish.publisher.next_offset()..self.log.end() {
                    let body = self.log.body(offset);
                    publish.publisher.on_record(offset, body);
                }
                publish.publisher.on_caught_up();
            }
            PublishAction::Append(body) => match (self.log.append(body, fault), self.mutant) {
                (Appended::At(offset), _) => publish.publisher.on_appended(offset),
                (Appended::Failed, _) | (_, Some(Mutant::LostReplyIsFailure)) => {
                    publish.publisher.on_append_failed("down");
                }
                (Appended::Uncertain, Some(Mutant::LostReplyIsSuccess)) => {
                    publish
                        .publisher
                        .on_appended(publish.publisher.next_offset());
                }
                (Appended::Uncertain, _) => publish.publisher.on_append_uncertain(),
            },
            PublishAction::Done(_) => {}
        }
        self.check_outcome(publisher);
    }

    pub fn deadline(&mut self, publisher: usize) {
        if let Some(publish) = &mut self.publishes[publisher] {
            publish.publisher.on_deadline("deadline exceeded");
        }
        self.check_outcome(publisher);
    }

    /// Checks the outcome of a publish, if it has finished.
    fn check_outcome(&mut self, publisher: usize) {
        let Some(publish) = self.publishes[publisher].take() else {
            return;
        };
        let change = &publish.record.change_id;
        match publish.publisher.action() {
            PublishAction::Done(PublishOutcome::Accepted { version }) => {
                self.coverage.count(match publish.record.restore {
                    true => "restored",
                    false => "accepted",
                });
                let in_force = self.log.expected.accepted.get(change);
                assert_eq!(
                    in_force,
                    Some(version),
                    "the acknowledged {change} was lost"
                );
            }
            PublishAction::Done(PublishOutcome::Refused { .. }) => {
                self.coverage.count("refused");
                self.refused.insert(change.clone());
            }
            PublishAction::Done(PublishOutcome::NotPublished { .. }) => {
                self.coverage.count("not published");
                self.refused.insert(change.clone());
            }
            PublishAction::Done(PublishOutcome::Unsettled { .. }) => {
                self.coverage.count("unsettled");
                self.unsettled[publisher] = Some(publish.record);
            }
            PublishAction::Read | PublishAction::Append(_) => {
                self.publishes[publisher] = Some(publish)
            }
        }
    }

    /// Records the version in force at each reader before an event.
    pub fn record_versions(&mut self) {
        for reader in &mut self.readers {
            reader.previous_version = reader.inner.version();
        }
    }

    /// Checks the invariants, which must hold after each event.
    pub fn check(&self) {
        for reader in &self.readers {
            let version = reader.inner.version();
            assert!(
                version >= reader.previous_version,
                "a reader reverted to version {version}"
            );

            let document = self
                .log
                .expected
                .documents
                .get(&version)
                .map(String::as_str);
            let expected_document = if version == 0 { Some("") } else { document };
            assert_eq!(
                expected_document,
                Some(reader.inner.document()),
                "version {version}"
            );

            let offset = reader.inner.next_offset();
            let decided = reader.inner.decided_version();
            let expected = self.log.expected.version_at(offset);
            assert!(
                decided.is_none_or(|d| d == expected),
                "wrong version decided at offset {offset}"
            );
        }
        let reverted = self
            .refused
            .iter()
            .find(|c| self.log.expected.accepted.contains_key(*c));
        assert_eq!(reverted, None, "a refused change took effect");
    }

    /// Ends all faults and checks that all readers agree.
    pub fn finish(&mut self) {
        self.log.down = false;
        while !self.log.late.is_empty() {
            self.log.deliver_late();
        }
        for publisher in 0..PUBLISHERS {
            while self.publishes[publisher].is_some() {
                self.step(publisher, AppendFault::None);
            }
        }
        self.check();
        for reader in 0..READERS {
            self.poll(reader, usize::MAX);
        }
        let Some(informed) = (0..READERS).find(|r| self.readers[*r].inner.repeat().is_some())
        else {
            return;
        };
        self.repeat(informed, AppendFault::None);
        for reader in 0..READERS {
            self.poll(reader, usize::MAX);
            let decided = self.readers[reader].inner.decided_version();
            assert_eq!(
                decided,
                Some(self.log.expected.version),
                "version of reader {reader} at the end"
            );
        }
        self.check();
        self.coverage.count("all agreed at the end");
    }
}

impl Reader {
    fn new() -> Self {
        Self {
            inner: ConfigReader::new(),
            previous_version: 0,
        }
    }
}

/// Returns the index of the record at an offset. Offsets start at 1.
fn index(offset: u64) -> usize {
    offset as usize - 1
}

/// Passes a record to a reader, modified as the mutant requires.
fn feed(reader: &mut ConfigReader, offset: u64, log: &FakeLog, mutant: Option<Mutant>) -> Verdict {
    let body = log.body(offset);
    let mut record = ConfigRecord::from_bytes(body).expect("only records are appended");
    match mutant {
        Some(Mutant::NoBaseCheck) => record.base = reader.version(),
        Some(Mutant::RestoreAnywhere) if record.restore => record.read_to = Some(offset),
        Some(Mutant::NoReadToCheck) => record.read_to = record.version.map(|_| offset),
        Some(Mutant::NoGapCheck) => {
            for skipped in reader.next_offset()..offset {
                reader.on_record(skipped, b"");
            }
        }
        _ => {}
    }
    reader.on_record(offset, &record.to_bytes())
}
