//! Messages between the processes of hemlockhook.
//!
//! The code is generated from `proto/hemlockhook.proto` by `tools/generate` and committed, so that
//! a build needs no generator.

pub mod convert;
pub mod starts;

/// Version 1 of the messages.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod v1 {
    include!("generated/hemlockhook.v1.rs");
}
