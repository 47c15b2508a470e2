//! The drained data centers that a process knows, and what the other ends of its links know.

use hemlockhook_dispatch::{DrainRead, Drains};
use hemlockhook_proto::v1;
use hemlockhook_runtime::metrics::Metrics;
use opentelemetry::metrics::Gauge;

use crate::convert::{read_drains, write_drains};

/// The set of drained data centers that a process keeps.
#[derive(Debug)]
pub(crate) struct KnownDrains {
    /// Whether drains are followed. Otherwise nothing is read, sent or used.
    is_enabled: bool,
    /// What the process has read from the store itself.
    records: Drains,
    /// The set in force.
    drains: Drains,
    count: Gauge<u64>,
}

/// The set that the other end of a link is known to have.
#[derive(Debug, Default)]
pub(crate) struct PeerDrains(Drains);

impl KnownDrains {
    pub(crate) fn new(is_enabled: bool, metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let count = meter.u64_gauge("leased_drained_data_centers");
        Self {
            is_enabled,
            records: Drains::default(),
            drains: Drains::default(),
            count: count.build(),
        }
    }

    /// Returns the set in force.
    pub(crate) fn current(&self) -> &Drains {
        &self.drains
    }

    /// Takes a read of the store into account. Returns whether the set in force has changed.
    pub(crate) fn read(&mut self, read: impl FnOnce() -> DrainRead) -> bool {
        if !self.is_enabled {
            return false;
        }
        self.records.read(&read());
        let records = self.records.clone();
        self.merge(&records, "store")
    }

    /// Takes what a frame of a peer says into account. Returns whether the set in force has changed.
    pub(crate) fn received(
        &mut self,
        peer: &mut PeerDrains,
        drains: Option<v1::DataCenterDrains>,
        source: &'static str,
    ) -> bool {
        match drains.map(read_drains) {
            Some(drains) if self.is_enabled => {
                peer.0.merge(&drains);
                self.merge(&drains, source)
            }
            _ => false,
        }
    }

    /// Returns whether a peer is not known to have the set in force, so that a frame is due.
    pub(crate) fn is_frame_due(&self, peer: &PeerDrains) -> bool {
        let is_newer = self.drains.position > peer.0.position;
        is_newer && self.drains.data_centers != peer.0.data_centers
    }

    /// Returns what a frame to a peer has to say: nothing if it is known to have this position.
    pub(crate) fn to_send(&self, peer: &mut PeerDrains) -> Option<v1::DataCenterDrains> {
        if self.drains.position <= peer.0.position {
            return None;
        }
        peer.0.merge(&self.drains);
        Some(write_drains(&self.drains))
    }

    fn merge(&mut self, other: &Drains, source: &'static str) -> bool {
        let old = self.drains.clone();
        if !self.drains.merge(other) {
            return false;
        }
        let position = self.drains.position;
        for (data_center, is_drained) in self.drains.changes_from(&old) {
            let text = match is_drained {
                true => "the drain of a data center began",
                false => "the drain of a data center ended",
            };
            spdlog::info!("{text}", kv: { data_center, position, source });
        }
        self.count
            .record(self.drains.data_centers.len() as u64, &[]);
        true
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn read(next: u64, names: &[&str]) -> DrainRead {
        DrainRead {
            next,
            lists_all_keys: true,
            records: names.iter().map(|&name| (name.into(), true)).collect(),
        }
    }

    /// Guards against a frame to each agent for each published configuration, and against an agent that
    /// is told of a drain only with the next order.
    #[gtest]
    fn a_frame_is_due_only_when_the_names_have_changed() {
        let mut drains = KnownDrains::new(true, &Metrics::new());
        let mut peer = PeerDrains::default();
        let mut seen = Vec::new();
        for next in [
            read(3, &[]),
            read(4, &["east"]),
            read(4, &["east"]),
            read(5, &["east"]),
        ] {
            let is_changed = drains.read(|| next);
            let is_due = drains.is_frame_due(&peer);
            let sent = drains.to_send(&mut peer).map(|sent| sent.position);
            seen.push((is_changed, is_due, sent));
        }
        let expected = [
            (false, false, Some(3)),
            (true, true, Some(4)),
            (false, false, None),
            (false, false, Some(5)),
        ];
        expect_that!(seen, eq(&expected));
    }

    /// Guards against drains that are followed, or told to others, where the setting is not given.
    #[gtest]
    fn nothing_is_known_without_the_setting() {
        let mut drains = KnownDrains::new(false, &Metrics::new());
        let mut peer = PeerDrains::default();
        let told = v1::DataCenterDrains {
            position: 9,
            data_centers: vec!["east".to_owned()],
        };
        expect_that!(drains.read(|| read(4, &["east"])), eq(false));
        expect_that!(drains.received(&mut peer, Some(told), "agent"), eq(false));
        expect_that!(drains.to_send(&mut peer), none());
    }
}
