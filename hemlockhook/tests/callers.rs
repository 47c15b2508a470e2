//! Runs the examples of the callers' page as they are printed.

use std::net::SocketAddr;
use std::process::Command;

use googletest::prelude::*;
use hemlockhook::local_deployment::{DeploymentConfig, DeploymentThreads, LocalDeployment};
use hemlockhook_runtime::executor::Threads;

const PAGE: &str = include_str!("../../docs/CALLERS.md");

/// Returns the lines of the page's shell blocks.
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

fn run(line: &str, entry: SocketAddr) -> String {
    let line = line.replace("127.0.0.1:7001", &entry.to_string());
    let output = Command::new("sh")
        .args(["-c", &line])
        .output()
        .expect("a shell is there");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Leaves out what differs from run to run.
fn steady(output: &str) -> String {
    let lines = output.lines().filter(|line| !line.is_empty());
    // The length varies with the digits of the incarnations in the stamps.
    let varying = ["date:", "content-length:"];
    let lines = lines.filter(|line| !varying.iter().any(|start| line.starts_with(start)));
    let stamp = |line: &str| match line {
        line if line.starts_with("hemlockhook-stamp:") => "hemlockhook-stamp: …".to_owned(),
        line if line.starts_with('"') => "\"…\"".to_owned(),
        line => line.trim_end().to_owned(),
    };
    lines.map(stamp).collect::<Vec<_>>().join("\n")
}

#[gtest]
fn examples_of_the_callers_page_run_as_printed() {
    let threads = Threads::start("callers", 2);
    let cfg = DeploymentConfig {
        inventory: include_str!("../../inventories/tunelpokrov.yaml").to_owned(),
        speeds: vec![1.0],
        entries: 2,
        count_starts: true,
    };
    async_io::block_on(async {
        let all = DeploymentThreads {
            entries: &threads,
            agents: &threads,
            standins: &threads,
        };
        let deployment = LocalDeployment::start(cfg, all)
            .await
            .expect("the deployment starts");

        let entry = deployment.caller_addresses()[0];
        let examples = examples();
        expect_that!(examples.len(), ge(7));
        let mut shown = Vec::new();
        for line in examples {
            let output = blocking(line, entry);
            shown.push(format!("$ {line}\n{}", steady(&output)));
        }
        insta::assert_snapshot!(shown.join("\n\n"));
        deployment.stop().await;
    });
}

/// Runs a line on a thread of its own, while the deployment goes on.
fn blocking(line: &'static str, entry: SocketAddr) -> String {
    std::thread::spawn(move || run(line, entry))
        .join()
        .expect("the line was run")
}
