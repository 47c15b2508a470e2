//! Epochs: the part of a ballot's counter that tells when a stamp was given out.
//!
//! The low bits of a counter hold the epoch, the rest numbers the takeover. Floors and starts use
//! the base, which is epoch 0. Owners give out stamps of the current epoch, so that the age of a
//! key can be bounded without a clock that is shared with its caller.

use std::time::Duration;

use hemlockhook_types::Ballot;

/// Number of bits of a counter that hold the epoch.
pub const EPOCH_BITS: u32 = 16;

/// Epochs in a window.
pub const EPOCHS_PER_WINDOW: u32 = 8;

/// Starts are kept for the window and this part of it more.
const KEEP_MARGIN_DIVISOR: u32 = 4;

/// Highest epoch of a ballot.
pub const MAX_EPOCH: u64 = (1 << EPOCH_BITS) - 1;

/// Stamps of callers whose counter is further above the highest one known are not taken for real.
pub const MAX_COUNTER_JUMP: u64 = 1 << 36;

/// Returns the ballot without its epoch: what floors and starts compare.
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

/// Returns the stamp of a ballot for an epoch.
pub fn with_epoch(ballot: Ballot, epoch: u64) -> Ballot {
    Ballot {
        counter: (ballot.counter & !MAX_EPOCH) | epoch.min(MAX_EPOCH),
        ..ballot
    }
}

/// Returns the counter of the takeover after the one of `ballot`.
pub fn next_takeover_counter(ballot: Ballot) -> u64 {
    (ballot.counter | MAX_EPOCH) + 1
}

/// Returns the length of an epoch.
pub fn epoch_length(window: Duration) -> Duration {
    window / EPOCHS_PER_WINDOW
}

/// Returns the number of epochs that ended in the time `since` a takeover began.
pub fn elapsed_epochs(since: Duration, window: Duration) -> u64 {
    let length = epoch_length(window).as_nanos().max(1);
    u64::try_from(since.as_nanos() / length).map_or(MAX_EPOCH, |epoch| epoch.min(MAX_EPOCH))
}

/// Returns the time for which starts are kept: longer than the window, as owners bound the age of
/// a key with some error.
pub fn marker_retention(window: Duration) -> Duration {
    window + window / KEEP_MARGIN_DIVISOR
}
