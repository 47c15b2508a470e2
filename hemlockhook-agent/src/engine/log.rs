//! Reads and appends of the platform's log: announcements, joining and the configuration.

use std::time::{Duration, Instant};

use bytes::Bytes;

use hemlockhook_ownership::Record;
use hemlockhook_ports::{Batch, Offset};
use hemlockhook_proto::v1;
use hemlockhook_types::ServiceName;

use super::{Action, Engine, Stream};

/// Delay after the first failed append or read. It doubles with each consecutive failure.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Maximum delay after a failed append or read.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Interval between reads of the configuration while the inventory does not list this agent's
/// upstream.
const UNLISTED_READ_PERIOD: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn next_delay(&mut self) -> Duration {
        let delay = RETRY_MIN * 2u32.pow(self.failures.min(16));
        self.failures += 1;
        delay.min(RETRY_MAX)
    }
}

/// State of the periodic announcement of this agent in the log.
#[derive(Debug)]
pub(super) struct Announcer {
    due: Instant,
    /// Services in the announcement that is being appended.
    in_flight: Option<Vec<ServiceName>>,
    /// Send time of the last announcement, whether or not it succeeded.
    sent_at: Instant,
    /// Services in the last announcement that succeeded.
    announced: Option<Vec<ServiceName>>,
    /// Send time of the last announcement that succeeded.
    announced_at: Option<Instant>,
    backoff: Backoff,
}

impl Announcer {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            due: now,
            in_flight: None,
            sent_at: now,
            announced: None,
            announced_at: None,
            backoff: Backoff::default(),
        }
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        self.in_flight.is_none().then_some(self.due)
    }

    /// Returns whether no append is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    fn has_announced(&self, service: &ServiceName) -> bool {
        let announced = self.announced.as_ref();
        announced.is_some_and(|services| services.contains(service))
    }
}

/// Reads a stream from its start to its end, and then polls for new records.
#[derive(Debug)]
pub(super) struct StreamReader {
    stream: Stream,
    next: Offset,
    due: Instant,
    in_flight: bool,
    /// Send time of the last announcement that had succeeded when the last read began.
    announced_before: Option<Instant>,
    period: Duration,
    backoff: Backoff,
}

impl StreamReader {
    pub(super) fn new(now: Instant, stream: Stream, period: Duration) -> Self {
        Self {
            stream,
            next: 0,
            due: now,
            in_flight: false,
            announced_before: None,
            period,
            backoff: Backoff::default(),
        }
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        (!self.in_flight).then_some(self.due)
    }

    fn start_read(&mut self, now: Instant, announced: Option<Instant>) -> Option<Action> {
        if self.in_flight || now < self.due {
            return None;
        }
        self.in_flight = true;
        self.announced_before = announced;
        Some(Action::Read {
            stream: self.stream,
            from: self.next,
        })
    }

    /// Handles records that were read, and returns whether they reach the end of the stream.
    fn on_batch(&mut self, now: Instant, batch: &Batch) -> bool {
        self.in_flight = false;
        self.backoff = Backoff::default();
        if let Some(last) = batch.records.last() {
            self.next = last.offset + 1;
        }
        let at_end = batch.records.is_empty() || self.next >= batch.end;
        self.due = if at_end { now + self.period } else { now };
        at_end
    }

    fn on_failure(&mut self, now: Instant, first_retained: Option<Offset>) {
        self.in_flight = false;
        match first_retained {
            Some(first) => {
                self.next = self.next.max(first);
                self.due = now;
            }
            None => self.due = now + self.backoff.next_delay(),
        }
    }
}

impl Engine {
    /// Starts the appends and reads that are due.
    pub(super) fn start_due_requests(&mut self, now: Instant) {
        let announced = self.announcer.announced_at;
        let reads = [
            self.config_reader.start_read(now, announced),
            self.membership_reader.start_read(now, announced),
        ];
        self.actions.extend(reads.into_iter().flatten());
        if self.leaving.is_stopping() || self.announcer.in_flight.is_some() {
            return;
        }
        match self.own_services() {
            Some(services) if now >= self.announcer.due => self.announce(now, services),
            Some(_) => {}
            None => self.announcer.due = self.announcer.due.max(now + UNLISTED_READ_PERIOD),
        }
    }

    fn announce(&mut self, now: Instant, services: Vec<ServiceName>) {
        let record = Record::Agent {
            incarnation: self.cfg.incarnation,
            name: self.cfg.name.to_string(),
            address: self.cfg.address.clone(),
            services: services.clone(),
            data_center: self.cfg.data_center.to_string(),
        };
        self.announcer.in_flight = Some(services);
        self.announcer.sent_at = now;
        self.append_record(&record);
    }

    pub(super) fn append_record(&mut self, record: &Record) {
        let body = serde_json::to_vec(record).expect("a record has only string keys");
        self.actions.push(Action::Append {
            body: Bytes::from(body),
        });
    }

    pub(super) fn on_appended(&mut self, now: Instant) {
        if self.leaving.on_append_result(now, true) {
            return;
        }
        self.announcer.backoff = Backoff::default();
        self.announcer.announced = self.announcer.in_flight.take();
        self.announcer.announced_at = Some(self.announcer.sent_at);
        self.announcer.due = now + self.cfg.announce_period;
        self.membership_reader.due = now;
        self.apply_config(now);
    }

    pub(super) fn on_append_failed(&mut self, now: Instant) {
        if self.leaving.on_append_result(now, false) {
            return;
        }
        // The append is retried even if only its response was lost, as a duplicate announcement
        // has no effect.
        self.announcer.in_flight = None;
        self.announcer.due = now + self.announcer.backoff.next_delay();
    }

    pub(super) fn on_read(&mut self, now: Instant, stream: Stream, batch: &Batch) {
        match stream {
            Stream::Membership => self.on_membership_records(now, batch),
            Stream::Config => self.on_config_records(now, batch),
        }
    }

    fn on_membership_records(&mut self, now: Instant, batch: &Batch) {
        for record in &batch.records {
            match serde_json::from_slice::<Record>(&record.body) {
                Ok(parsed) => {
                    let written = Duration::from_millis(record.appended_ms);
                    self.gate.on_record(record.offset, written, &parsed);
                }
                Err(_) => self.counters.bad_records += 1,
            }
        }
        let at_end = self.membership_reader.on_batch(now, batch);
        match self.membership_reader.announced_before {
            _ if !at_end => {}
            // An announcement succeeded during this read, so only a later read shows that the log
            // was read to its end since.
            announced_before if announced_before < self.announcer.announced_at => {
                self.membership_reader.due = now
            }
            Some(sent) => self.on_log_caught_up(now, sent),
            None => {}
        }
    }

    /// Handles that the log was read to its end after the announcement sent at `sent` succeeded.
    fn on_log_caught_up(&mut self, now: Instant, sent: Instant) {
        let was_joined = self.gate.is_joined();
        self.gate.on_announced(sent);
        if !self.gate.is_joined() && self.gate.may_join() {
            self.gate.join();
        }
        match self.gate.is_joined() {
            is_joined if is_joined != was_joined => self.apply_config(now),
            _ => self.slots.set_slots(now, self.active_slots()),
        }
    }

    fn on_config_records(&mut self, now: Instant, batch: &Batch) {
        let before = self.config_version();
        for record in &batch.records {
            self.config.on_record(record.offset, &record.body);
        }
        self.config_reader.on_batch(now, batch);
        if self.config_version() != before {
            self.apply_config(now);
        }
        if self.own_services().is_none() {
            self.config_reader.due = self.config_reader.due.min(now + UNLISTED_READ_PERIOD);
        }
    }

    pub(super) fn on_read_failed(
        &mut self,
        now: Instant,
        stream: Stream,
        first_retained: Option<Offset>,
    ) {
        match stream {
            Stream::Membership => self.membership_reader.on_failure(now, first_retained),
            Stream::Config => self.config_reader.on_failure(now, first_retained),
        }
    }

    /// Applies the slots and services that the configuration gives this agent's upstream.
    pub(super) fn apply_config(&mut self, now: Instant) {
        let slots = self.active_slots();
        self.slots.set_slots(now, slots);
        let announced = self.announcer.announced.as_ref();
        match self.own_services() {
            Some(services) if announced != Some(&services) => self.announcer.due = now,
            _ => {}
        }
        self.send_hello_to_all();
    }

    pub(super) fn config_version(&self) -> u64 {
        self.config.current().map_or(0, |(version, _)| version)
    }

    /// Returns the services of this upstream in the inventory.
    fn own_services(&self) -> Option<Vec<ServiceName>> {
        let (_, inventory) = self.config.current()?;
        let upstream = inventory.upstream(&self.cfg.name)?;
        Some(upstream.services.clone())
    }

    /// Returns the services whose tasks are accepted: those in both the inventory and the last
    /// announcement.
    pub(super) fn active_services(&self) -> Vec<ServiceName> {
        let services = self.own_services().unwrap_or_default();
        let announced = |service: &ServiceName| self.announcer.has_announced(service);
        services.into_iter().filter(announced).collect()
    }

    /// Returns the number of slots in use: 0 until the agent has joined.
    pub(super) fn active_slots(&self) -> u32 {
        match self.config.current() {
            Some((_, inventory)) if self.gate.is_joined() => inventory
                .upstream(&self.cfg.name)
                .map_or(0, |upstream| upstream.slots),
            _ => 0,
        }
    }

    pub(super) fn hello(&self) -> v1::AgentHello {
        let services = self.active_services();
        let (worker, rack) = self.own_worker().unwrap_or_default();
        v1::AgentHello {
            incarnation: self.cfg.incarnation,
            name: self.cfg.name.to_string(),
            services: services.iter().map(|name| name.to_string()).collect(),
            worker,
            rack,
            data_center: self.cfg.data_center.to_string(),
            slots: self.active_slots(),
            leaving: self.leaving.is_leaving(),
            config_version: self.config_version(),
        }
    }

    /// Returns the names of the upstream's worker and rack in the inventory.
    fn own_worker(&self) -> Option<(String, String)> {
        let (_, inventory) = self.config.current()?;
        let worker = inventory.worker(&inventory.upstream(&self.cfg.name)?.worker)?;
        Some((worker.name.to_string(), worker.rack.to_string()))
    }
}
