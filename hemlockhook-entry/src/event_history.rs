//! A bounded history of events for operators.

use std::collections::VecDeque;

use hemlockhook_inventory::admin::{Event, EventKind};

/// Maximum number of events kept.
const MAX_EVENTS: usize = 1_000;

/// The latest events of an entry, with sequence numbers.
#[derive(Debug)]
pub struct EventHistory {
    entry: String,
    next_sequence: u64,
    events: VecDeque<Event>,
}

impl EventHistory {
    /// Creates an empty history.
    pub fn new(entry: &str) -> Self {
        Self {
            entry: entry.to_owned(),
            next_sequence: 1,
            events: VecDeque::new(),
        }
    }

    /// Appends an event, and drops the oldest if the history is full.
    pub fn push(&mut self, at_ms: u64, kind: EventKind, subject: &str, detail: &str) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            sequence: self.next_sequence,
            at_ms,
            entry: self.entry.clone(),
            kind,
            subject: subject.to_owned(),
            detail: detail.to_owned(),
        });
        self.next_sequence += 1;
    }

    /// Returns the events after a sequence number.
    pub fn since(&self, sequence: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|event| event.sequence > sequence)
            .cloned()
            .collect()
    }
}
