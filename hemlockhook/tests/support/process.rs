//! A child process that runs a program of the workspace.

use std::fs::{self, File};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::ports::spawn;

/// Time limit for a process to exit by itself.
const EXIT_TIMEOUT: Duration = Duration::from_secs(120);

/// A process that is killed when it is dropped.
pub struct Process {
    child: Child,
    name: String,
}

impl Process {
    /// Starts a program with the given settings. Its log is written to a file in `dir`.
    pub fn start(program: &str, name: &str, settings: &Value, dir: &Path) -> Self {
        let path = dir.join(format!("{name}.yaml"));
        // JSON is valid YAML.
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{name}.log")))
            .expect("the log file can be opened");
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

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is a child");
        self.child.wait().expect("the process is a child");
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to exit by itself, and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let interval = Duration::from_millis(20);
        for _ in 0..EXIT_TIMEOUT.as_millis() / interval.as_millis() {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status.code();
            }
            thread::sleep(interval);
        }
        panic!("{} did not exit in time", self.name);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process has not been reaped");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
