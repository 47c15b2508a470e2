//! Test fixtures: a log stand-in, an entry with canned responses, and the command as a process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;

use async_channel::Sender;
use async_net::TcpListener;
use bytes::Bytes;
use hemlockhook_runtime::executor::Threads;
use hemlockhook_runtime::http::{ServerLimits, serve};
use hemlockhook_standin::{LogFaults, LogSettings, LogStandin};
use hemlockhook_types::SystemClock;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::ports::spawn;

/// An address on which nothing listens.
pub const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// Output and exit code of the command.
pub struct Output {
    pub stdout: String,
    pub stderr: String,
    pub code: i32,
}

impl Output {
    /// Returns both outputs and the exit code, for snapshots.
    pub fn all(&self) -> String {
        format!("{}{}exit code {}", self.stdout, self.stderr, self.code)
    }

    /// Returns the standard output as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {}", self.all()))
    }
}

/// Runs the command in the root directory of the repository.
pub fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hemlockhook"));
    command
        .args(args)
        .current_dir(root())
        .env_remove("HEMLOCKHOOK_LOG")
        .env_remove("HEMLOCKHOOK_ENTRIES")
        .env("USER", "marija");
    let output = run_to_end(&mut command);
    Output {
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        code: output.status.code().expect("the command exits by itself"),
    }
}

/// Runs a program until it exits, and captures its output.
pub fn run_to_end(command: &mut Command) -> std::process::Output {
    let command = command.stdin(Stdio::null());
    let command = command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = spawn(command);
    child.wait_with_output().expect("the process is a child")
}

/// Returns the root directory of the repository.
pub fn root() -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    package
        .parent()
        .expect("the package is in the repository")
        .to_owned()
}

/// A temporary directory of one test, removed when it is dropped.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new(name: &str) -> Self {
        let run = format!("{name}-{}", std::process::id());
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(run);
        std::fs::create_dir_all(&dir).expect("the scratch directory can be created");
        Self(dir)
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the scratch directory can be written");
        path.display().to_string()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Servers on loopback, for the command to connect to.
pub struct Servers {
    threads: Threads,
    stops: Vec<Sender<()>>,
}

impl Servers {
    pub fn start() -> Self {
        Self {
            threads: Threads::start("fixture", 1),
            stops: Vec::new(),
        }
    }

    /// Starts a log stand-in that retains the given number of records per stream.
    pub fn log(&mut self, retain_records: usize) -> (SocketAddr, LogStandin) {
        let (listener, addr) = listen();
        let settings = LogSettings {
            retain_records,
            append_latency_ms: 0,
            ..LogSettings::new(addr)
        };
        let log = LogStandin::new(settings, Arc::new(SystemClock));
        let (stop, stopped) = async_channel::bounded(1);
        let ex = self.threads.traffic();
        ex.spawn(log.clone().serve(ex.clone(), listener, stopped))
            .detach();
        self.stops.push(stop);
        (addr, log)
    }

    /// Starts an entry that responds with the body that a closure returns for a method and a path,
    /// or with 404 for `None`.
    pub fn entry<F>(&mut self, respond: F) -> SocketAddr
    where
        F: Fn(&Method, &str) -> Option<String> + Clone + Send + Sync + 'static,
    {
        let (listener, addr) = listen();
        let (stop, stopped) = async_channel::bounded(1);
        let ex = self.threads.traffic();
        let handler = move |req: Request<Incoming>| {
            let path = req
                .uri()
                .path_and_query()
                .map_or("", |p| p.as_str())
                .to_owned();
            let response = to_response(respond(req.method(), &path));
            async move { response }
        };
        ex.spawn(serve(
            ex.clone(),
            listener,
            ServerLimits::default(),
            stopped,
            handler,
        ))
        .detach();
        self.stops.push(stop);
        addr
    }
}

/// Returns faults that lose the reply of every append.
pub fn lose_replies() -> LogFaults {
    LogFaults {
        lose_replies: 1.0,
        ..LogFaults::default()
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = async_io::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let addr = listener.local_addr().expect("the listener is bound");
    (listener, addr)
}

fn to_response(body: Option<String>) -> Response<Full<Bytes>> {
    let status = match body {
        Some(_) => StatusCode::OK,
        None => StatusCode::NOT_FOUND,
    };
    Response::builder()
        .status(status)
        .header("hemlockhook-stamp", "0-1")
        .body(Full::new(Bytes::from(body.unwrap_or_default())))
        .expect("the response is valid")
}
