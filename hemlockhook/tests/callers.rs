//! Runs the examples of the page for callers.

use std::net::SocketAddr;
use std::process::Command;

use googletest::prelude::*;
use hemlockhook::local_deployment::{DeploymentConfig, DeploymentThreads, LocalDeployment};
use hemlockhook_runtime::executor::Threads;

const PAGE: &str = include_str!("../../docs/CALLERS.md");

/// Returns the lines of the shell code blocks on the page.
fn examples() -> Vec<&'static str> {
    let mut in_block = false;
    let mut lines = Vec::new();
    for line in PAGE.lines() {
        match line {
            "```sh" => in_block = true,
            "```" => in_block = false,
            line if in_block => lines.push(line),
            _ => {}
        }
    }
    lines
}

fn run_line(line: &str, entry: SocketAddr) -> String {
    let line = line.replace("127.0.0.1:7001", &entry.to_string());
    let output = Command::new("sh")
        .args(["-c", &line])
        .output()
        .expect("a shell is installed");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Removes what varies from run to run.
fn normalize(output: &str) -> String {
    let lines = output.lines().filter(|line| !line.is_empty());
    // The content length varies with the number of digits of the incarnations in the stamps.
    let varying_headers = ["date:", "content-length:"];
    let lines = lines.filter(|line| {
        !varying_headers
            .iter()
            .any(|prefix| line.starts_with(prefix))
    });
    let redact_stamps = |line: &str| match line {
        line if line.starts_with("hemlockhook-stamp:") => "hemlockhook-stamp: …".to_owned(),
        line if line.starts_with('"') => "\"…\"".to_owned(),
        line => line.trim_end().to_owned(),
    };
    lines.map(redact_stamps).collect::<Vec<_>>().join("\n")
}

#[gtest]
fn examples_of_the_callers_page_run() {
    let threads = Threads::start("callers", 2);
    let cfg = DeploymentConfig {
        inventory: include_str!("../../inventories/tunelpokrov.yaml").to_owned(),
        speeds: vec![1.0],
        entries: 2,
        count_starts: true,
    };
    async_io::block_on(async {
        let threads = DeploymentThreads {
            entries: &threads,
            agents: &threads,
            standins: &threads,
        };
        let deployment = LocalDeployment::start(cfg, threads)
            .await
            .expect("the deployment starts");

        let entry = deployment.caller_addresses()[0];
        let examples = examples();
        expect_that!(examples.len(), ge(7));
        let mut outputs = Vec::new();
        for line in examples {
            let output = run_on_thread(line, entry);
            outputs.push(format!("$ {line}\n{}", normalize(&output)));
        }
        insta::assert_snapshot!(outputs.join("\n\n"));
        deployment.stop().await;
    });
}

/// Runs a line on a separate thread, so that it does not block the executor of the deployment.
fn run_on_thread(line: &'static str, entry: SocketAddr) -> String {
    std::thread::spawn(move || run_line(line, entry))
        .join()
        .expect("the thread did not panic")
}
