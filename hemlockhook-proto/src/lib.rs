//! Protocol messages between the processes of hemlockhook.
//!
//! `tools/generate` generates the code from `proto/hemlockhook.proto`. The output is committed, so
//! that builds don't need the generator.

pub mod convert;
pub mod starts;

/// Version 1 of the protocol.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod v1 {
    include!("generated/hemlockhook.v1.rs");
}
