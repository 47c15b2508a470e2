//! Epochs: the part of a ballot's counter that tells when a stamp was issued.
//!
//! The low bits of a counter hold the epoch, the high bits number the takeover. Task starts and the
//! floors of agents, below which starts are refused, use the base ballot, whose epoch is 0. Owners
//! issue stamps with the current epoch, so that the age of a key can be bounded without a clock
//! shared with the caller.

use std::time::Duration;

use hemlockhook_types::Ballot;

/// Number of low bits of a counter that hold the epoch.
pub const EPOCH_BITS: u32 = 16;

/// Number of epochs per window.
pub const EPOCHS_PER_WINDOW: u32 = 8;

/// Markers are kept for one window plus a margin of the window divided by this.
const RETENTION_MARGIN_DIVISOR: u32 = 4;

/// Highest epoch that a counter can hold.
pub const MAX_EPOCH: u64 = (1 << EPOCH_BITS) - 1;

/// Maximum distance of a caller's stamp above the highest known counter. Stamps above it are
/// rejected as implausible.
pub const MAX_COUNTER_JUMP: u64 = 1 << 36;

/// Returns the ballot with epoch 0, the form in which ballots are compared.
pub fn base_ballot(ballot: Ballot) -> Ballot {
    Ballot {
        counter: ballot.counter & !MAX_EPOCH,
        ..ballot
    }
}

/// Returns the epoch of a stamp.
pub fn epoch_of(ballot: Ballot) -> u64 {
    ballot.counter & MAX_EPOCH
}

/// Returns the ballot with its epoch replaced, for use as a stamp.
pub fn with_epoch(ballot: Ballot, epoch: u64) -> Ballot {
    Ballot {
        counter: (ballot.counter & !MAX_EPOCH) | epoch.min(MAX_EPOCH),
        ..ballot
    }
}

/// Returns the counter of the first takeover above the one of `ballot`, with epoch 0.
pub fn next_takeover_counter(ballot: Ballot) -> u64 {
    (ballot.counter | MAX_EPOCH) + 1
}

/// Returns the length of an epoch.
pub fn epoch_length(window: Duration) -> Duration {
    window / EPOCHS_PER_WINDOW
}

/// Returns the number of whole epochs in the time `elapsed` since a takeover began, at most
/// [`MAX_EPOCH`].
pub fn elapsed_epochs(elapsed: Duration, window: Duration) -> u64 {
    let length = epoch_length(window).as_nanos().max(1);
    u64::try_from(elapsed.as_nanos() / length).map_or(MAX_EPOCH, |epoch| epoch.min(MAX_EPOCH))
}

/// Returns how long markers are kept. This is longer than the window, because owners determine the
/// age of a key only up to an error.
pub fn marker_retention(window: Duration) -> Duration {
    window + window / RETENTION_MARGIN_DIVISOR
}
