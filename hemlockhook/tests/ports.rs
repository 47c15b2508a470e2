//! Checks that allocated test addresses stay free while other threads start programs.

#[path = "support/ports.rs"]
mod ports;

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::thread;

use googletest::prelude::*;

const STARTS: usize = 300;

#[gtest]
fn a_free_address_is_not_inherited_by_a_starting_process() {
    thread::scope(|scope| {
        let starter = scope.spawn(|| {
            for _ in 0..STARTS {
                let mut command = Command::new(env!("CARGO_BIN_EXE_hemlockhook-standin"));
                let command = command.arg("--help").stdout(Stdio::null());
                let mut child = ports::spawn(command);
                child.wait().expect("the process is a child");
            }
        });
        while !starter.is_finished() {
            let addr = ports::free_address();
            expect_true!(TcpListener::bind(addr).is_ok(), "{addr}");
        }
    });
}
