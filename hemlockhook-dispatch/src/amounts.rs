//! Processor, memory and accelerator amounts.

use std::ops::AddAssign;

/// Resources that a task requires, or that an upstream has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amounts {
    /// Processor, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Amounts {
    /// Returns whether these amounts fit into `available`.
    pub fn fits(&self, available: &Self) -> bool {
        self.cpu <= available.cpu
            && self.memory_mb <= available.memory_mb
            && self.gpus <= available.gpus
    }

    /// Subtracts each amount of `other`, saturating at zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

impl AddAssign for Amounts {
    fn add_assign(&mut self, other: Self) {
        self.cpu += other.cpu;
        self.memory_mb += other.memory_mb;
        self.gpus += other.gpus;
    }
}
