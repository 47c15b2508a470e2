//! Processor time by the names of threads.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_runtime::cpu::thread_cpu_time;
use hemlockhook_runtime::executor::Threads;

#[googletest::test]
fn a_busy_thread_is_told_from_an_idle_one() {
    let busy = Threads::start("busy", 1);
    let idle = Threads::start("idle", 1);
    let task = busy.control().spawn(async {
        let began = Instant::now();
        while thread_cpu_time("busy-").unwrap() < Duration::from_millis(20) {
            assert!(began.elapsed() < Duration::from_secs(60));
        }
    });
    async_io::block_on(task);
    expect_that!(
        thread_cpu_time("idle-").unwrap(),
        lt(Duration::from_millis(20))
    );
    expect_that!(thread_cpu_time("none-").unwrap(), eq(Duration::ZERO));
    idle.stop();
}
