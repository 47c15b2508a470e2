//! The daemons as processes of a test.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use crate::deployment::{ALLOCATED_PORTS, WAIT_TIMEOUT};

pub struct Daemon {
    program: &'static str,
    settings: PathBuf,
    child: Child,
}

impl Daemon {
    pub fn start(program: &'static str, settings: PathBuf) -> Self {
        let child = spawn(program, &settings);
        Self {
            program,
            settings,
            child,
        }
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(self.program, &self.settings);
    }

    pub fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        self.child.wait().expect("the process is a child");
    }

    /// Returns the times, in milliseconds, of the log lines with this text since the last start.
    pub fn logged_at(&self, text: &str) -> Vec<u64> {
        let log = std::fs::read_to_string(self.settings.with_extension("log"));
        let log = log.expect("the log file can be read");
        let lines = log.lines().filter(|line| line.contains(text));
        let lines = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        lines
            .filter_map(|line| line["timestamp"].as_u64())
            .collect()
    }

    /// Waits until the process listens at a port that no [`AddressAllocator`] has allocated: that of its
    /// links, if its settings name none.
    pub fn wait_for_links_address(&self) -> SocketAddr {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            let listening = listening_addresses(self.child.id());
            let is_chosen = |addr: &SocketAddr| !ALLOCATED_PORTS.contains(&addr.port());
            if let Some(addr) = listening.into_iter().find(is_chosen) {
                return addr;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the process listens for no links in time");
    }

    /// Returns whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        let status = self.child.try_wait().expect("the process is a child");
        status.is_none()
    }

    /// Returns the largest resident size that the process has had, in KiB.
    #[allow(dead_code, reason = "used by the tests of crowds")]
    pub fn peak_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process has not been waited for");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.split_whitespace().next()?.parse().ok());
        peak.expect("the process has not ended")
    }

    /// Returns the number of descriptors that the process has open.
    #[allow(dead_code, reason = "used by the tests of crowds")]
    pub fn descriptors(&self) -> usize {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.expect("the process has not been waited for").count()
    }

    /// Kills the process without waiting until it has exited.
    pub fn send_kill(&self) {
        self.signal(rustix::process::Signal::KILL);
    }

    pub fn terminate(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    /// Pauses the process with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_paused(&self, is_paused: bool) {
        match is_paused {
            true => self.signal(rustix::process::Signal::STOP),
            false => self.signal(rustix::process::Signal::CONT),
        }
    }

    fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the process is a child");
    }

    /// Waits for the process to exit by itself, and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process is a child").success()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &str, settings: &PathBuf) -> Child {
    let log =
        File::create(settings.with_extension("log")).expect("the scratch directory can be written");
    Command::new(program)
        .arg("--leased")
        .arg("--settings")
        .arg(settings)
        .stdout(log)
        .spawn()
        .expect("the daemon starts")
}

/// Returns the IPv4 addresses at which a process listens, from the kernel's table of sockets.
fn listening_addresses(pid: u32) -> Vec<SocketAddr> {
    const LISTENING: &str = "0A";
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{pid}/fd")) else {
        return Vec::new();
    };
    let targets = descriptors.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    let sockets: Vec<_> = targets.map(|target| target.display().to_string()).collect();
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the file exists on Linux");
    let address = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let (ip, port) = fields.get(1)?.split_once(':')?;
        let socket = format!("socket:[{}]", fields.get(9)?);
        let is_listening = fields[3] == LISTENING && sockets.contains(&socket);
        let ip = u32::from_str_radix(ip, 16).ok().filter(|_| is_listening)?;
        let port = u16::from_str_radix(port, 16).ok()?;
        Some(SocketAddr::from((ip.to_ne_bytes(), port)))
    };
    table.lines().filter_map(address).collect()
}
