//! The hemlockhook-entry daemon.

fn main() {}
