//! Accounts for the memory of requests and connections.

use std::task::Waker;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use slab::Slab;
use slotmap::{SlotMap, new_key_type};

/// Size of the first buffer of a body, in bytes. It doubles as bytes arrive.
const FIRST_BUFFER_BYTES: usize = 4096;

new_key_type! {
    /// Identifies a port in the ledger.
    pub(crate) struct PortKey;
}

/// Limits on what the requests of a process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Maximum memory of connections and bodies, in bytes.
    pub bytes: usize,
    /// Maximum number of connections of all ports together.
    pub connections: usize,
}

/// Numbers that describe the use of the memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Bytes held by connections and bodies.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
    /// Unfinished bodies that were given up since the start.
    pub given_up_bodies: u64,
    /// Connections without a request that were closed since the start.
    pub closed_connections: u64,
    /// Connections and parts of bodies that were refused since the start.
    pub refused: u64,
}

/// Memory is exhausted and held only by requests in work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Exhausted;

/// What a holder of memory waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The end of a request head, or a request at all.
    Head,
    /// The end of a body.
    Body,
    /// A response. The holder keeps its memory.
    Work,
    /// It has to end. Its buffer has been freed.
    GivenUp,
}

/// What holds memory: a connection, or one stream of several on a connection.
#[derive(Debug)]
struct Holder {
    phase: Phase,
    since: Instant,
    /// Memory that the holder always has, in bytes.
    fixed: usize,
    /// Memory of its body, in bytes.
    held: usize,
    buf: BytesMut,
    /// Port that accepted the connection; `None` for a stream of a connection.
    port: Option<PortKey>,
    waker: Option<Waker>,
}

/// A port that accepts connections.
#[derive(Debug)]
struct Port {
    max_connections: usize,
    /// Open connections that were not given up.
    lasting: usize,
}

/// Accounts for the memory of requests, and decides which are given up.
#[derive(Debug)]
pub(crate) struct Ledger {
    limits: MemoryLimits,
    holders: Slab<Holder>,
    ports: SlotMap<PortKey, Port>,
    used: MemoryUse,
    /// Connections that were given up and are still open.
    ending: usize,
}

impl Holder {
    fn waits_for_client(&self) -> bool {
        matches!(self.phase, Phase::Head | Phase::Body)
    }
}

impl Ledger {
    pub(crate) fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            holders: Slab::new(),
            ports: SlotMap::with_key(),
            used: MemoryUse::default(),
            ending: 0,
        }
    }

    pub(crate) fn used(&self) -> MemoryUse {
        self.used
    }

    /// Returns the number of connections that were given up and are still open.
    pub(crate) fn ending(&self) -> usize {
        self.ending
    }

    /// Adds a port with a limit of its own on its connections.
    pub(crate) fn add_port(&mut self, max_connections: usize) -> PortKey {
        self.ports.insert(Port {
            max_connections,
            lasting: 0,
        })
    }

    /// Adds a holder with its fixed cost, for which others may be given up. `port` is that of a new
    /// connection, or `None` for a stream of a connection.
    pub(crate) fn open(
        &mut self,
        fixed: usize,
        port: Option<PortKey>,
        now: Instant,
    ) -> Result<usize, Exhausted> {
        self.make_room(fixed)?;
        if let Some(port) = port {
            self.make_place(port)?;
            self.ports[port].lasting += 1;
        }
        self.used.bytes += fixed;
        self.used.connections += usize::from(port.is_some());
        Ok(self.holders.insert(Holder {
            phase: Phase::Head,
            since: now,
            fixed,
            held: 0,
            buf: BytesMut::new(),
            port,
            waker: None,
        }))
    }

    /// Removes a holder.
    pub(crate) fn close(&mut self, key: usize) {
        let holder = self.holders.remove(key);
        match (holder.phase, holder.port) {
            (Phase::GivenUp, Some(_)) => self.ending -= 1,
            (Phase::GivenUp, None) => {}
            (_, port) => {
                self.used.bytes -= holder.fixed + holder.held;
                if let Some(port) = port {
                    self.ports[port].lasting -= 1;
                }
            }
        }
        self.used.connections -= usize::from(holder.port.is_some());
    }

    pub(crate) fn phase(&self, key: usize) -> Phase {
        self.holders[key].phase
    }

    /// Sets the task that is woken when the holder is given up.
    pub(crate) fn set_waker(&mut self, key: usize, waker: &Waker) {
        let current = &mut self.holders[key].waker;
        if !current.as_ref().is_some_and(|set| set.will_wake(waker)) {
            *current = Some(waker.clone());
        }
    }

    /// Sets what a holder waits for, unless it was given up. Without a body, its memory is released.
    pub(crate) fn set_phase(&mut self, key: usize, phase: Phase, now: Instant) {
        let holder = &mut self.holders[key];
        if holder.phase == Phase::GivenUp {
            return;
        }
        if phase == Phase::Head {
            self.used.bytes -= holder.held;
            holder.held = 0;
            holder.buf = BytesMut::new();
        }
        holder.phase = phase;
        holder.since = now;
    }

    /// Appends to the body of a holder, whose buffer grows to at most `max` bytes.
    pub(crate) fn append(&mut self, key: usize, data: &[u8], max: usize) -> Result<(), Exhausted> {
        let len = self.holders[key].buf.len() + data.len();
        let capacity = self.holders[key].held;
        if len > capacity {
            let grown = (capacity * 2).max(FIRST_BUFFER_BYTES).min(max).max(len);
            self.hold(key, grown - capacity)?;
        }
        let holder = &mut self.holders[key];
        if holder.buf.capacity() < len {
            // `reserve` may round up; an exact buffer costs what was counted.
            let mut grown = BytesMut::with_capacity(holder.held);
            grown.extend_from_slice(&holder.buf);
            holder.buf = grown;
        }
        holder.buf.extend_from_slice(data);
        Ok(())
    }

    /// Counts further bytes of a holder that is not given up for them.
    pub(crate) fn hold(&mut self, key: usize, bytes: usize) -> Result<(), Exhausted> {
        if self.phase(key) == Phase::GivenUp {
            return Err(Exhausted);
        }
        self.make_room(bytes)?;
        if self.phase(key) == Phase::GivenUp {
            return Err(Exhausted);
        }
        self.holders[key].held += bytes;
        self.used.bytes += bytes;
        Ok(())
    }

    /// Counts fewer bytes of a holder.
    pub(crate) fn release(&mut self, key: usize) {
        let holder = &mut self.holders[key];
        if holder.phase != Phase::GivenUp {
            self.used.bytes -= holder.held;
            holder.held = 0;
        }
    }

    /// Returns the whole body of a holder, or `None` if it was given up. The bytes stay counted until
    /// the holder waits for the next request.
    pub(crate) fn take(&mut self, key: usize, now: Instant) -> Option<Bytes> {
        self.set_phase(key, Phase::Work, now);
        let holder = &mut self.holders[key];
        let is_whole = holder.phase == Phase::Work;
        is_whole.then(|| std::mem::take(&mut holder.buf).freeze())
    }

    /// Gives up bodies, and then connections without a request, until the bytes fit.
    fn make_room(&mut self, bytes: usize) -> Result<(), Exhausted> {
        while self.used.bytes + bytes > self.limits.bytes {
            let body = self.give_up_oldest(|holder| holder.phase == Phase::Body);
            body.or_else(|_| self.give_up_oldest(|holder| holder.phase == Phase::Head))
                .inspect_err(|_| self.used.refused += 1)?;
        }
        Ok(())
    }

    /// Gives up a connection that waits for its client, if a port or all of them together have as many
    /// connections as they may have.
    fn make_place(&mut self, port: PortKey) -> Result<(), Exhausted> {
        let lasting = self.used.connections - self.ending;
        let is_full = lasting >= self.limits.connections;
        let is_port_full = self.ports[port].lasting >= self.ports[port].max_connections;
        match (is_port_full, is_full) {
            (false, false) => return Ok(()),
            (true, _) => {
                self.give_up_oldest(|holder| holder.port == Some(port) && holder.waits_for_client())
            }
            (false, true) => self.give_up_oldest(Holder::waits_for_client),
        }
        .inspect_err(|_| self.used.refused += 1)
    }

    /// Gives up the candidate that has been in its phase for the longest time.
    fn give_up_oldest<F>(&mut self, is_candidate: F) -> Result<(), Exhausted>
    where
        F: Fn(&Holder) -> bool,
    {
        let candidates = self.holders.iter_mut();
        let candidates = candidates.filter(|(_, holder)| is_candidate(holder));
        let oldest = candidates.min_by_key(|(_, holder)| holder.since);
        let Some((_, holder)) = oldest else {
            return Err(Exhausted);
        };
        match holder.phase {
            Phase::Body => self.used.given_up_bodies += 1,
            _ => self.used.closed_connections += 1,
        }
        self.used.bytes -= holder.fixed + holder.held;
        if let Some(port) = holder.port {
            self.ending += 1;
            self.ports[port].lasting -= 1;
        }
        holder.phase = Phase::GivenUp;
        holder.held = 0;
        holder.buf = BytesMut::new();
        if let Some(waker) = holder.waker.take() {
            waker.wake();
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use googletest::prelude::*;

    use super::*;

    const FIXED: usize = 1000;

    /// Returns a ledger of 100,000 bytes, and the bodies of connections to one port that began one second
    /// apart.
    fn with_bodies(connections: usize) -> (Ledger, Vec<usize>, Instant) {
        let mut ledger = Ledger::new(MemoryLimits {
            bytes: 100_000,
            connections: 4,
        });
        let start = Instant::now();
        let port = ledger.add_port(100);
        let open = |index| {
            let now = start + Duration::from_secs(index as u64);
            let key = ledger.open(FIXED, Some(port), now).expect("there is room");
            ledger.set_phase(key, Phase::Body, now);
            key
        };
        let keys = (0..connections).map(open).collect();
        (ledger, keys, start + Duration::from_secs(100))
    }

    fn phases(ledger: &Ledger, keys: &[usize]) -> Vec<Phase> {
        keys.iter().map(|&key| ledger.phase(key)).collect()
    }

    /// Guards against the newest body being given up instead of the one that has stalled, and against a
    /// body that grows past the bytes that are free.
    #[gtest]
    fn the_body_that_has_waited_longest_is_given_up_first() {
        let (mut ledger, keys, now) = with_bodies(3);
        for &key in &keys[..2] {
            expect_that!(ledger.append(key, &[0; 45_000], 45_000), ok(eq(())));
        }
        expect_that!(ledger.append(keys[2], &[0; 40_000], 40_000), ok(eq(())));
        let expected = [Phase::GivenUp, Phase::Body, Phase::Body];
        expect_that!(phases(&ledger, &keys), eq(&expected));
        expect_that!(ledger.append(keys[0], &[0], 45_000), err(eq(Exhausted)));
        expect_that!(ledger.take(keys[0], now), none());
        expect_that!(
            ledger.take(keys[2], now),
            some(predicate(|b: &Bytes| b.len() == 40_000))
        );
        expect_that!(ledger.used().bytes, eq(2 * FIXED + 85_000));
        for key in keys {
            ledger.close(key);
        }
        let expected = MemoryUse {
            given_up_bodies: 1,
            ..MemoryUse::default()
        };
        expect_that!(ledger.used(), eq(expected));
    }

    /// Guards against a response "not run" for a request that is in work.
    #[gtest]
    fn a_request_in_work_keeps_its_memory() {
        let (mut ledger, keys, now) = with_bodies(2);
        expect_that!(ledger.append(keys[0], &[0; 90_000], 90_000), ok(eq(())));
        expect_that!(ledger.take(keys[0], now), some(anything()));
        expect_that!(
            ledger.append(keys[1], &[0; 20_000], 20_000),
            err(eq(Exhausted))
        );
        let expected = [Phase::Work, Phase::GivenUp];
        expect_that!(phases(&ledger, &keys), eq(&expected));
        ledger.set_phase(keys[0], Phase::Head, now);
        expect_that!(ledger.used().bytes, eq(FIXED));
    }

    /// Guards against descriptors that stalled clients keep from new ones.
    #[gtest]
    fn a_new_connection_takes_the_place_of_the_one_that_has_waited_longest() {
        let (mut ledger, keys, now) = with_bodies(4);
        ledger.set_phase(keys[0], Phase::Work, now);
        let port = ledger.add_port(100);
        expect_that!(ledger.open(FIXED, Some(port), now), ok(anything()));
        let expected = [Phase::Work, Phase::GivenUp, Phase::Body, Phase::Body];
        expect_that!(phases(&ledger, &keys), eq(&expected));
        expect_that!(ledger.ending(), eq(1));
        ledger.close(keys[1]);
        expect_that!(ledger.ending(), eq(0));
    }

    /// Guards against a buffer reserved for a length that the client only states.
    #[gtest]
    fn a_buffer_grows_with_the_bytes_that_arrive() {
        let (mut ledger, keys, _) = with_bodies(1);
        for (len, expected) in [(1, 4096), (4096, 8192), (4096, 16_384), (8192, 20_000)] {
            expect_that!(ledger.append(keys[0], &vec![0; len], 20_000), ok(eq(())));
            expect_that!(ledger.used().bytes, eq(FIXED + expected));
        }
    }
}
