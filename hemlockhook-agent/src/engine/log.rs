//! Following the platform's log: announcing, joining and the configuration.

use std::time::{Duration, Instant};

use bytes::Bytes;

use hemlockhook_ownership::Record;
use hemlockhook_ports::{Batch, Offset};
use hemlockhook_proto::v1;
use hemlockhook_types::ServiceName;

use super::{Action, Engine, Stream};

/// First wait after a failed append or read; it doubles with each further failure.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Longest wait after a failed append or read.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Time between two reads of the configuration while it does not name this agent.
const UNNAMED_PERIOD: Duration = Duration::from_millis(500);

/// Waits that double with each failure in a row.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn fail(&mut self) -> Duration {
        let wait = RETRY_MIN * 2u32.pow(self.failures.min(16));
        self.failures += 1;
        wait.min(RETRY_MAX)
    }
}

/// Appends this agent's announcement, and repeats it.
#[derive(Debug)]
pub(super) struct Announcer {
    due: Instant,
    /// The services in the append that is under way.
    in_flight: Option<Vec<ServiceName>>,
    /// When the append under way, or the last one, was sent.
    sent: Instant,
    /// The services last announced with success.
    announced: Option<Vec<ServiceName>>,
    /// When the last announcement that succeeded was sent.
    announced_at: Option<Instant>,
    backoff: Backoff,
}

impl Announcer {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            due: now,
            in_flight: None,
            sent: now,
            announced: None,
            announced_at: None,
            backoff: Backoff::default(),
        }
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        self.in_flight.is_none().then_some(self.due)
    }

    /// Returns whether no append is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    fn announced(&self, service: &ServiceName) -> bool {
        let announced = self.announced.as_ref();
        announced.is_some_and(|services| services.contains(service))
    }
}

/// Reads a stream from its start, and then what is added to it.
#[derive(Debug)]
pub(super) struct Reader {
    stream: Stream,
    next: Offset,
    due: Instant,
    in_flight: bool,
    /// When the last announcement before the read under way was sent.
    after: Option<Instant>,
    period: Duration,
    backoff: Backoff,
}

impl Reader {
    pub(super) fn new(now: Instant, stream: Stream, period: Duration) -> Self {
        Self {
            stream,
            next: 0,
            due: now,
            in_flight: false,
            after: None,
            period,
            backoff: Backoff::default(),
        }
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        (!self.in_flight).then_some(self.due)
    }

    fn poll(&mut self, now: Instant, announced: Option<Instant>) -> Option<Action> {
        if self.in_flight || now < self.due {
            return None;
        }
        self.in_flight = true;
        self.after = announced;
        Some(Action::Read {
            stream: self.stream,
            from: self.next,
        })
    }

    /// Returns whether the end of the stream was reached.
    fn advance(&mut self, now: Instant, batch: &Batch) -> bool {
        self.in_flight = false;
        self.backoff = Backoff::default();
        if let Some(last) = batch.records.last() {
            self.next = last.offset + 1;
        }
        let at_end = batch.records.is_empty() || self.next >= batch.end;
        self.due = if at_end { now + self.period } else { now };
        at_end
    }

    fn fail(&mut self, now: Instant, first_retained: Option<Offset>) {
        self.in_flight = false;
        match first_retained {
            Some(first) => {
                self.next = self.next.max(first);
                self.due = now;
            }
            None => self.due = now + self.backoff.fail(),
        }
    }
}

impl Engine {
    /// Begins the appends and reads that are due.
    pub(super) fn upkeep(&mut self, now: Instant) {
        let announced = self.announcer.announced_at;
        let reads = [
            self.config_log.poll(now, announced),
            self.membership.poll(now, announced),
        ];
        self.actions.extend(reads.into_iter().flatten());
        if self.leaving.is_stopping() || self.announcer.in_flight.is_some() {
            return;
        }
        match self.own_services() {
            Some(services) if now >= self.announcer.due => self.announce(now, services),
            Some(_) => {}
            None => self.announcer.due = self.announcer.due.max(now + UNNAMED_PERIOD),
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
        self.announcer.sent = now;
        self.append(&record);
    }

    pub(super) fn append(&mut self, record: &Record) {
        let body = serde_json::to_vec(record).expect("a record has no keys that JSON lacks");
        self.actions.push(Action::Append {
            body: Bytes::from(body),
        });
    }

    pub(super) fn on_appended(&mut self, now: Instant) {
        if self.leaving.on_append_ended(now, true) {
            return;
        }
        self.announcer.backoff = Backoff::default();
        self.announcer.announced = self.announcer.in_flight.take();
        self.announcer.announced_at = Some(self.announcer.sent);
        self.announcer.due = now + self.cfg.announce_period;
        self.membership.due = now;
        self.apply_config(now);
    }

    pub(super) fn on_append_failed(&mut self, now: Instant) {
        if self.leaving.on_append_ended(now, false) {
            return;
        }
        // An append whose reply was lost is repeated: a second announcement changes nothing.
        self.announcer.in_flight = None;
        self.announcer.due = now + self.announcer.backoff.fail();
    }

    pub(super) fn on_read(&mut self, now: Instant, stream: Stream, batch: &Batch) {
        match stream {
            Stream::Membership => self.on_membership(now, batch),
            Stream::Config => self.on_config_records(now, batch),
        }
    }

    fn on_membership(&mut self, now: Instant, batch: &Batch) {
        for record in &batch.records {
            match serde_json::from_slice::<Record>(&record.body) {
                Ok(read) => {
                    let written = Duration::from_millis(record.appended_ms);
                    self.gate.on_record(record.offset, written, &read);
                }
                Err(_) => self.counters.bad_records += 1,
            }
        }
        let at_end = self.membership.advance(now, batch);
        match self.membership.after {
            _ if !at_end => {}
            // An announcement came while this read was under way: only a later one counts.
            after if after < self.announcer.announced_at => self.membership.due = now,
            Some(sent) => self.on_caught_up(now, sent),
            None => {}
        }
    }

    /// Takes in that the log was read to its end after an announcement that was sent at `sent`.
    fn on_caught_up(&mut self, now: Instant, sent: Instant) {
        let was_joined = self.gate.is_joined();
        self.gate.on_announced(sent);
        if !self.gate.is_joined() && self.gate.may_join() {
            self.gate.join();
        }
        match self.gate.is_joined() {
            is_joined if is_joined != was_joined => self.apply_config(now),
            _ => self.slots.set_slots(now, self.slots_in_force()),
        }
    }

    fn on_config_records(&mut self, now: Instant, batch: &Batch) {
        let before = self.config_version();
        for record in &batch.records {
            self.config.on_record(record.offset, &record.body);
        }
        self.config_log.advance(now, batch);
        if self.config_version() != before {
            self.apply_config(now);
        }
        if self.own_services().is_none() {
            self.config_log.due = self.config_log.due.min(now + UNNAMED_PERIOD);
        }
    }

    pub(super) fn on_read_failed(
        &mut self,
        now: Instant,
        stream: Stream,
        first_retained: Option<Offset>,
    ) {
        match stream {
            Stream::Membership => self.membership.fail(now, first_retained),
            Stream::Config => self.config_log.fail(now, first_retained),
        }
    }

    /// Puts the agent's own part of the configuration into force.
    pub(super) fn apply_config(&mut self, now: Instant) {
        let slots = self.slots_in_force();
        self.slots.set_slots(now, slots);
        let announced = self.announcer.announced.as_ref();
        match self.own_services() {
            Some(services) if announced != Some(&services) => self.announcer.due = now,
            _ => {}
        }
        self.say_hello_to_all();
    }

    pub(super) fn config_version(&self) -> u64 {
        self.config.current().map_or(0, |(version, _)| version)
    }

    /// Returns the services that the inventory names for this upstream.
    fn own_services(&self) -> Option<Vec<ServiceName>> {
        let (_, inventory) = self.config.current()?;
        let upstream = inventory.upstream(&self.cfg.name)?;
        Some(upstream.services.clone())
    }

    /// Returns the services of which tasks are started: those that are announced, too.
    pub(super) fn services_in_force(&self) -> Vec<ServiceName> {
        let services = self.own_services().unwrap_or_default();
        let announced = |service: &ServiceName| self.announcer.announced(service);
        services.into_iter().filter(announced).collect()
    }

    /// Returns the number of slots given out: none before the agent has joined.
    pub(super) fn slots_in_force(&self) -> u32 {
        match self.config.current() {
            Some((_, inventory)) if self.gate.is_joined() => inventory
                .upstream(&self.cfg.name)
                .map_or(0, |upstream| upstream.slots),
            _ => 0,
        }
    }

    pub(super) fn hello(&self) -> v1::AgentHello {
        let services = self.services_in_force();
        let (worker, rack) = self.own_worker().unwrap_or_default();
        v1::AgentHello {
            incarnation: self.cfg.incarnation,
            name: self.cfg.name.to_string(),
            services: services.iter().map(|name| name.to_string()).collect(),
            worker,
            rack,
            data_center: self.cfg.data_center.to_string(),
            slots: self.slots_in_force(),
            leaving: self.leaving.is_leaving(),
            config_version: self.config_version(),
        }
    }

    /// Returns the worker that the inventory puts this upstream on, and its rack.
    fn own_worker(&self) -> Option<(String, String)> {
        let (_, inventory) = self.config.current()?;
        let worker = inventory.worker(&inventory.upstream(&self.cfg.name)?.worker)?;
        Some((worker.name.to_string(), worker.rack.to_string()))
    }
}
