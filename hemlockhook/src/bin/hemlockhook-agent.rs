//! The hemlockhook-agent daemon.

fn main() {}
