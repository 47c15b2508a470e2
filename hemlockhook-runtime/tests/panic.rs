//! A panic on any thread stops the daemon.

use std::env;
use std::process::Command;
use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_runtime::executor::Threads;
use hemlockhook_runtime::log;

/// Environment variable that makes this test binary run the panicking process.
const CHILD_ENV: &str = "HEMLOCKHOOK_PANIC_CHILD";

#[googletest::test]
fn a_panic_in_a_task_is_logged_and_stops_the_process() {
    if env::var_os(CHILD_ENV).is_some() {
        return panic_in_a_task();
    }

    let output = Command::new(env::current_exe().unwrap())
        .args([
            "--exact",
            "a_panic_in_a_task_is_logged_and_stops_the_process",
        ])
        .arg("--nocapture")
        .env(CHILD_ENV, "1")
        .output()
        .unwrap();
    expect_that!(output.status.code(), some(eq(70)));
    let stderr = String::from_utf8(output.stderr).unwrap();
    let line: serde_json::Value = serde_json::from_str(stderr.lines().next().unwrap()).unwrap();
    expect_that!(line["level"], eq(&serde_json::json!("critical")));
    let payload = line["payload"].as_str().unwrap();
    expect_that!(payload, eq("an invariant is broken: started twice"));
    expect_that!(
        line["kv"]["place"].as_str(),
        some(contains_substring("panic.rs"))
    );
}

fn panic_in_a_task() {
    log::init("info").unwrap();
    let threads = Threads::start("panic", 1);
    threads
        .control()
        .spawn(async { panic!("started twice") })
        .detach();
    std::thread::sleep(Duration::from_secs(60));
}
