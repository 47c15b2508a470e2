//! CPU time by thread name.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_runtime::cpu::thread_cpu_time;
use hemlockhook_runtime::executor::Threads;

#[googletest::test]
fn cpu_time_is_counted_by_thread_name_prefix() {
    let busy = Threads::start("busy", 1);
    let idle = Threads::start("idle", 1);
    let task = busy.control().spawn(async {
        let start = Instant::now();
        while thread_cpu_time("busy-").unwrap() < Duration::from_millis(20) {
            assert!(start.elapsed() < Duration::from_secs(60));
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
