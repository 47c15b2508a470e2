//! The readers, publishers and log of one run, and the checks on them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};

use hemlockhook_inventory::{
    ConfigReader, ConfigRecord, PublishAction, PublishOutcome, Publisher, Verdict,
};

pub const READERS: usize = 3;
pub const PUBLISHERS: usize = 2;

/// A rule that is taken away, to show that the checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A record counts whatever its base.
    NoBaseCheck,
    /// A reader takes any version that a peer has.
    AdoptLower,
    /// A lost reply counts as a failure without effect.
    NoSettling,
    /// A lost reply counts as a success.
    TrustLostReply,
    /// A reader does not notice that it misses records.
    NoGapCheck,
    /// A reader accepts a restored configuration wherever it stands.
    RestoreAnywhere,
    /// A reader trusts a repeat without what its writer had not read.
    NoReadToCheck,
}

impl Mutant {
    pub fn all() -> [Self; 7] {
        [
            Self::NoBaseCheck,
            Self::AdoptLower,
            Self::NoSettling,
            Self::TrustLostReply,
            Self::NoGapCheck,
            Self::NoReadToCheck,
            Self::RestoreAnywhere,
        ]
    }
}

/// What happens to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Done,
    Doubled,
    ReplyLost,
    DoubledReplyLost,
    RequestLost,
    Late,
}

/// Counts what the runs saw, so that they can't pass by seeing nothing.
#[derive(Clone, Debug, Default)]
pub struct Seen(Arc<Mutex<BTreeMap<&'static str, u64>>>);

impl Seen {
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

    pub fn count(&self, what: &'static str) {
        *self
            .0
            .lock()
            .expect("no holder panics")
            .entry(what)
            .or_default() += 1;
    }

    /// Returns what was never seen.
    pub fn unseen(&self) -> Vec<&'static str> {
        let counts = self.0.lock().expect("no holder panics");
        Self::EXPECTED
            .into_iter()
            .filter(|what| !counts.contains_key(what))
            .collect()
    }
}

/// The log, with all that was ever appended.
#[derive(Default)]
pub struct FakeLog {
    pub down: bool,
    records: Vec<Vec<u8>>,
    dropped: usize,
    late: Vec<Vec<u8>>,
    truth: Truth,
}

/// What the rule makes of the whole log.
#[derive(Default)]
struct Truth {
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
    fn append(&mut self, body: Vec<u8>, fate: Fate) -> Appended {
        if self.down {
            return Appended::Failed;
        }
        let offset = self.end();
        match fate {
            Fate::Done | Fate::ReplyLost => self.push(body),
            Fate::Doubled | Fate::DoubledReplyLost => {
                self.push(body.clone());
                self.push(body);
            }
            Fate::Late => self.late.push(body),
            Fate::RequestLost => {}
        }
        match fate {
            Fate::Done | Fate::Doubled => Appended::At(offset),
            _ => Appended::Uncertain,
        }
    }

    /// Lets the first late append take effect.
    pub fn land(&mut self) {
        if !self.late.is_empty() {
            let body = self.late.remove(0);
            self.push(body);
        }
    }

    /// Drops all but the last records.
    pub fn truncate(&mut self, keep: usize) {
        let dropped = self.records.len().saturating_sub(keep);
        self.dropped = self.dropped.max(dropped);
    }

    fn push(&mut self, body: Vec<u8>) {
        let record = ConfigRecord::from_bytes(&body).expect("only records are appended");
        let offset = self.end();
        self.truth.push(offset, record);
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

impl Truth {
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
        assert_eq!(before, None, "a change came in force twice");
        self.verdicts.push(Some(Verdict::Accepted { version }));
    }

    fn version_at(&self, offset: u64) -> u64 {
        let before = self.version_before.get(index(offset));
        before.copied().unwrap_or(self.version)
    }
}

/// A reader and the version that it had in force before the event.
struct Reader {
    inner: ConfigReader,
    highest: u64,
}

/// A publish under way, with what it publishes.
struct Run {
    publisher: Publisher,
    record: ConfigRecord,
}

/// Everything of one run.
pub struct World {
    pub log: FakeLog,
    readers: Vec<Reader>,
    runs: Vec<Option<Run>>,
    unsettled: Vec<Option<ConfigRecord>>,
    refused: HashSet<String>,
    changes: u64,
    mutant: Option<Mutant>,
    seen: Seen,
}

impl World {
    pub fn new(mutant: Option<Mutant>, seen: Seen) -> Self {
        Self {
            log: FakeLog::default(),
            readers: (0..READERS).map(|_| Reader::new()).collect(),
            runs: (0..PUBLISHERS).map(|_| None).collect(),
            unsettled: vec![None; PUBLISHERS],
            refused: HashSet::new(),
            changes: 0,
            mutant,
            seen,
        }
    }

    /// Lets a reader read some records.
    pub fn poll(&mut self, reader: usize, max: usize) {
        if self.log.down {
            return;
        }
        let subject = &mut self.readers[reader].inner;
        let was_deciding = subject.decided_version().is_some();
        let first = self.log.first_retained();
        if self.mutant != Some(Mutant::NoGapCheck) {
            subject.on_truncated(first);
        }
        for offset in (first.max(subject.next_offset())..self.log.end()).take(max) {
            let verdict = give(subject, offset, &self.log, self.mutant);
            let truth = self.log.truth.verdicts[index(offset)];
            match verdict {
                Verdict::Accepted { .. } | Verdict::Refused { .. } => {
                    assert_eq!(Some(verdict), truth, "the verdict on record {offset}");
                }
                Verdict::Undecided => self.seen.count("undecided"),
                Verdict::Repeated | Verdict::Ignored => {}
            }
        }
        if !was_deciding && subject.decided_version().is_some() {
            self.seen.count("decided again");
        }
    }

    pub fn restart(&mut self, reader: usize) {
        self.readers[reader] = Reader::new();
    }

    /// Passes what one reader has in force to another.
    pub fn adopt(&mut self, from: usize, to: usize) {
        let version = self.readers[from].inner.version();
        let document = self.readers[from].inner.document().to_owned();
        let subject = &mut self.readers[to].inner;
        if self.mutant == Some(Mutant::AdoptLower) {
            *subject = ConfigReader::new();
        }
        if subject.adopt(version, &document) {
            self.seen.count("adopted");
        }
    }

    /// Lets a reader repeat the version in force.
    pub fn repeat(&mut self, reader: usize, fate: Fate) {
        if let Some(record) = self.readers[reader].inner.repeat() {
            self.log.append(record.to_bytes(), fate);
        }
    }

    /// Begins a publish of a document edited from what a reader has in force, or from before.
    pub fn begin(&mut self, publisher: usize, reader: usize, behind: u64) {
        if self.runs[publisher].is_some() {
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
        self.runs[publisher] = Some(Run {
            publisher: inner,
            record,
        });
    }

    /// Begins to restore a configuration, as an operator does when no process has one.
    pub fn restore(&mut self, publisher: usize) {
        if self.runs[publisher].is_some() {
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
        self.runs[publisher] = Some(Run {
            publisher: inner,
            record,
        });
    }

    /// Publishes again what was left unsettled.
    pub fn resume(&mut self, publisher: usize) {
        if self.runs[publisher].is_some() {
            return;
        }
        if let Some(record) = self.unsettled[publisher].take() {
            self.seen.count("resumed");
            let inner = Publisher::new(ConfigReader::new(), record.clone()).resume();
            self.runs[publisher] = Some(Run {
                publisher: inner,
                record,
            });
        }
    }

    /// Does what a publisher asks for.
    pub fn step(&mut self, publisher: usize, fate: Fate) {
        let Some(run) = &mut self.runs[publisher] else {
            return;
        };
        match run.publisher.action().clone() {
            PublishAction::Read if self.log.down => run.publisher.on_read_failed("down"),
            PublishAction::Read => {
                let first = self.log.first_retained();
                run.publisher.on_truncated(first);
                for offset in run.publisher.next_offset()..self.log.end() {
                    let body = self.log.body(offset);
                    run.publisher.on_record(offset, body);
                }
                run.publisher.on_caught_up();
            }
            PublishAction::Append(body) => match (self.log.append(body, fate), self.mutant) {
                (Appended::At(offset), _) => run.publisher.on_appended(offset),
                (Appended::Failed, _) | (_, Some(Mutant::NoSettling)) => {
                    run.publisher.on_append_failed("down");
                }
                (Appended::Uncertain, Some(Mutant::TrustLostReply)) => {
                    run.publisher.on_appended(run.publisher.next_offset());
                }
                (Appended::Uncertain, _) => run.publisher.on_append_uncertain(),
            },
            PublishAction::Done(_) => {}
        }
        self.settle(publisher);
    }

    pub fn deadline(&mut self, publisher: usize) {
        if let Some(run) = &mut self.runs[publisher] {
            run.publisher.on_deadline("waited too long");
        }
        self.settle(publisher);
    }

    /// Checks the outcome of a publish that is done.
    fn settle(&mut self, publisher: usize) {
        let Some(run) = self.runs[publisher].take() else {
            return;
        };
        let change = &run.record.change_id;
        match run.publisher.action() {
            PublishAction::Done(PublishOutcome::Accepted { version }) => {
                self.seen.count(match run.record.restore {
                    true => "restored",
                    false => "accepted",
                });
                let in_force = self.log.truth.accepted.get(change);
                assert_eq!(
                    in_force,
                    Some(version),
                    "the acknowledged {change} was lost"
                );
            }
            PublishAction::Done(PublishOutcome::Refused { .. }) => {
                self.seen.count("refused");
                self.refused.insert(change.clone());
            }
            PublishAction::Done(PublishOutcome::NotPublished { .. }) => {
                self.seen.count("not published");
                self.refused.insert(change.clone());
            }
            PublishAction::Done(PublishOutcome::Unsettled { .. }) => {
                self.seen.count("unsettled");
                self.unsettled[publisher] = Some(run.record);
            }
            PublishAction::Read | PublishAction::Append(_) => self.runs[publisher] = Some(run),
        }
    }

    /// Notes what each reader has in force before an event.
    pub fn note_versions(&mut self) {
        for reader in &mut self.readers {
            reader.highest = reader.inner.version();
        }
    }

    /// Checks what must hold after each event.
    pub fn check(&self) {
        for reader in &self.readers {
            let version = reader.inner.version();
            assert!(
                version >= reader.highest,
                "a reader went back to version {version}"
            );

            let document = self.log.truth.documents.get(&version).map(String::as_str);
            let expected = if version == 0 { Some("") } else { document };
            assert_eq!(expected, Some(reader.inner.document()), "version {version}");

            let offset = reader.inner.next_offset();
            let decided = reader.inner.decided_version();
            let truth = self.log.truth.version_at(offset);
            assert!(
                decided.is_none_or(|d| d == truth),
                "decided at offset {offset}"
            );
        }
        let reverted = self
            .refused
            .iter()
            .find(|c| self.log.truth.accepted.contains_key(*c));
        assert_eq!(reverted, None, "a refused change came in force");
    }

    /// Ends every fault and checks that all come to agree.
    pub fn finish(&mut self) {
        self.log.down = false;
        while !self.log.late.is_empty() {
            self.log.land();
        }
        for publisher in 0..PUBLISHERS {
            while self.runs[publisher].is_some() {
                self.step(publisher, Fate::Done);
            }
        }
        self.check();
        for reader in 0..READERS {
            self.poll(reader, usize::MAX);
        }
        let Some(knowing) = (0..READERS).find(|r| self.readers[*r].inner.repeat().is_some()) else {
            return;
        };
        self.repeat(knowing, Fate::Done);
        for reader in 0..READERS {
            self.poll(reader, usize::MAX);
            let decided = self.readers[reader].inner.decided_version();
            assert_eq!(
                decided,
                Some(self.log.truth.version),
                "reader {reader} at the end"
            );
        }
        self.check();
        self.seen.count("all agreed at the end");
    }
}

impl Reader {
    fn new() -> Self {
        Self {
            inner: ConfigReader::new(),
            highest: 0,
        }
    }
}

/// Returns where the record of an offset is kept; the first offset is 1.
fn index(offset: u64) -> usize {
    offset as usize - 1
}

/// Gives a record to a reader, with a mutant's change to what the reader sees.
fn give(reader: &mut ConfigReader, offset: u64, log: &FakeLog, mutant: Option<Mutant>) -> Verdict {
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
