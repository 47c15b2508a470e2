//! Tests of the daemons as processes, operated with the command.

use std::fs::File;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_standin::{LogFaults, LogStandin, Outage};

use crate::fixture::{Output, Scratch, Servers, run};
use crate::ports::{self, free_address};

/// Time limit for a condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// An entry or agent process, killed when it is dropped.
struct Daemon {
    program: &'static str,
    settings: String,
    log_file: String,
    child: Child,
}

impl Daemon {
    fn start(program: &'static str, settings: String, log_file: String) -> Self {
        let child = spawn(program, &settings, &log_file);
        Self {
            program,
            settings,
            log_file,
            child,
        }
    }

    /// Kills the process and starts it again with the same settings.
    fn restart(&mut self) {
        self.kill();
        self.child = spawn(self.program, &self.settings, &self.log_file);
    }

    fn kill(&mut self) {
        self.child.kill().expect("the process is a child");
        self.child.wait().expect("the process is a child");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &str, settings: &str, log_file: &str) -> Child {
    let log_file = File::create(log_file).expect("the scratch directory can be written");
    let mut command = Command::new(program);
    ports::spawn(command.args(["--settings", settings]).stderr(log_file))
}

/// Two entries and two agents that use a log stand-in.
struct Deployment {
    daemons: Vec<Daemon>,
    log: LogStandin,
    log_addr: String,
    admins: [String; 2],
    _servers: Servers,
    scratch: Scratch,
}

impl Deployment {
    fn start(name: &str) -> Self {
        let mut servers = Servers::start();
        let (log_addr, log) = servers.log(1_000);
        let scratch = Scratch::new(name);
        let peers = [free_address(), free_address()];
        let admins = [free_address(), free_address()];
        let mut daemons = Vec::new();
        for (i, data_center) in ["osijek", "vukovar"].into_iter().enumerate() {
            let settings = format!(
                "name: entry-{data_center}\ndata_center: {data_center}\n\
                 callers_address: {}\npeers_address: {}\nadmin_address: {}\n\
                 known_peers: [\"{}\"]\nlog_address: {log_addr}\n",
                free_address(),
                peers[i],
                admins[i],
                peers[1 - i],
            );
            let file = scratch.file(&format!("entry-{i}.yaml"), &settings);
            let log_file = format!("{file}.log");
            daemons.push(Daemon::start(
                env!("CARGO_BIN_EXE_hemlockhook-entry"),
                file,
                log_file,
            ));
        }
        for upstream in ["orders-os-1", "orders-vu-1"] {
            let settings = format!(
                "name: {upstream}\ndata_center: osijek\nlink_address: {}\nadmin_address: {}\n\
                 upstream_address: {}\nlog_address: {log_addr}\n",
                free_address(),
                free_address(),
                free_address(),
            );
            let file = scratch.file(&format!("{upstream}.yaml"), &settings);
            let log_file = format!("{file}.log");
            daemons.push(Daemon::start(
                env!("CARGO_BIN_EXE_hemlockhook-agent"),
                file,
                log_file,
            ));
        }
        Self {
            daemons,
            log,
            log_addr: log_addr.to_string(),
            admins: admins.map(|addr| addr.to_string()),
            _servers: servers,
            scratch,
        }
    }

    fn publish(&self, file: &str, base: u64) -> Output {
        let base = base.to_string();
        run(&[
            "config",
            "publish",
            file,
            "--base",
            &base,
            "--log",
            &self.log_addr,
        ])
    }

    /// Waits until a version is in force in both entries and both agents, and returns the time that
    /// this took.
    fn wait_until_in_force(&self, version: u64) -> Duration {
        let start = Instant::now();
        loop {
            let output = self.run_with_entries(&["config", "status", "--output", "json"]);
            let status: serde_json::Value =
                serde_json::from_str(&output.stdout).unwrap_or_default();
            let processes = status["processes"].as_array().map_or(0, Vec::len);
            if status["newest"] == version && output.code == 0 && processes == 4 {
                return start.elapsed();
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "version {version}: {}",
                output.all()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn run_with_entries(&self, args: &[&str]) -> Output {
        let entries = ["--entry", &self.admins[0], "--entry", &self.admins[1]];
        run(&[args, &entries[..]].concat())
    }

    fn set_outage(&self, outage: Outage) {
        self.log.set_faults(LogFaults {
            outage,
            ..LogFaults::default()
        });
    }
}

#[gtest]
fn a_version_comes_into_force_everywhere_and_survives_a_log_outage() {
    let mut deployment = Deployment::start("daemons");
    let first = "inventories/tunelpokrov.yaml";
    expect_that!(deployment.publish(first, 0).code, eq(0));
    deployment.wait_until_in_force(1);

    let document = std::fs::read_to_string(crate::fixture::root().join(first));
    let edited = document
        .expect("the inventory can be read")
        .replacen("share: 4", "share: 5", 1);
    let file = deployment.scratch.file("edited.yaml", &edited);
    expect_that!(deployment.publish(&file, 1).code, eq(0));
    println!(
        "in force everywhere after {:?}",
        deployment.wait_until_in_force(2)
    );

    // An entry that is restarted while the log is down gets the version in force from its peer.
    deployment.set_outage(Outage::Refuse);
    deployment.daemons[0].restart();
    let start = Instant::now();
    loop {
        let admin = &deployment.admins[0];
        let status = run(&["config", "status", "--entry", admin, "--output", "json"]);
        let json: serde_json::Value = serde_json::from_str(&status.stdout).unwrap_or_default();
        if json["processes"][0]["version"] == 2 {
            break;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "{}", status.all());
        std::thread::sleep(Duration::from_millis(50));
    }
    expect_that!(deployment.publish(&file, 2).code, eq(3));

    deployment.set_outage(Outage::None);
    expect_that!(deployment.publish(first, 2).code, eq(0));
    deployment.wait_until_in_force(3);
}
