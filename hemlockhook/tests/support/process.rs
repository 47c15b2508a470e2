//! A program of the workspace as a process.

use std::fs::{self, File};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::ports::spawn;

/// Longest time for a process to end by itself.
const EXIT_TIMEOUT: Duration = Duration::from_secs(120);

/// A process that is killed when it is dropped.
pub struct Process {
    child: Child,
    name: String,
}

impl Process {
    /// Starts a program with these settings. Its log goes to a file in `dir`.
    pub fn start(program: &str, name: &str, settings: &Value, dir: &Path) -> Self {
        let path = dir.join(format!("{name}.yaml"));
        // JSON is YAML, too.
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{name}.log")))
            .expect("the log is opened");
        let mut command = Command::new(program);
        let command = command
            .arg("--settings")
            .arg(path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = spawn(command);
        Self {
            child,
            name: name.to_owned(),
        }
    }

    /// Kills the process by SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is ours to kill");
        self.child.wait().expect("the process is ours to wait for");
    }

    /// Freezes the process by SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Has the process go on by SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop by SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to end by itself and returns its exit status.
    pub fn wait(&mut self) -> Option<i32> {
        let step = Duration::from_millis(20);
        for _ in 0..EXIT_TIMEOUT.as_millis() / step.as_millis() {
            if let Some(status) = self.child.try_wait().expect("the process is ours") {
                return status.code();
            }
            thread::sleep(step);
        }
        panic!("{} did not end", self.name);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process has not been waited for");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
