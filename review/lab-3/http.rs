//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A request with its whole body.
pub struct Request {
    /// Path with the query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: String) -> Self {
        Self {
            status,
            body: body.into_bytes(),
        }
    }
}

/// Reads the head and the body of a message. Returns `None` at the end of the stream.
fn read_message(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
) -> io::Result<Option<(String, Vec<(String, String)>, Vec<u8>)>> {
    let mut buf = [0; 16 * 1024];
    let head_len = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut buf)? {
            0 => return Ok(None),
            len => rest.extend_from_slice(&buf[..len]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_len]).into_owned();
    rest.drain(..head_len + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    while rest.len() < length {
        match stream.read(&mut buf)? {
            0 => return Ok(None),
            len => rest.extend_from_slice(&buf[..len]),
        }
    }
    let body = rest.drain(..length).collect();
    Ok(Some((first, headers, body)))
}

/// A server with a thread for each connection. Dropping it closes the port and all connections.
pub struct Server {
    addr: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Serves `addr`. A handler that returns `None` leaves the request without an answer.
    pub fn start<H>(addr: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request) -> Option<Response> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(addr)?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(handler);
        let (stopped, connections) = (is_stopped.clone(), open.clone());
        let thread = thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                let stopped = stopped.clone();
                thread::spawn(move || serve(stream, &*handler, &stopped));
            }
        });
        Ok(Self {
            addr,
            is_stopped,
            open,
            thread: Some(thread),
        })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve<H>(mut stream: TcpStream, handler: &H, is_stopped: &AtomicBool)
where
    H: Fn(Request) -> Option<Response>,
{
    let mut rest = Vec::new();
    while let Ok(Some((first, headers, body))) = read_message(&mut stream, &mut rest) {
        let mut words = first.split(' ');
        let request = Request {
            target: words.nth(1).unwrap_or_default().to_owned(),
            headers,
            body,
        };
        let Some(response) = handler(request) else {
            return;
        };
        if is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let mut bytes = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&response.body);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// A request that was sent and whose response can be waited for.
pub struct Call {
    stream: TcpStream,
}

impl Call {
    pub fn send(
        addr: SocketAddr,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        if !headers
            .iter()
            .any(|(key, _)| key.eq_ignore_ascii_case("host"))
        {
            head += &format!("Host: {addr}\r\n");
        }
        for (key, value) in headers {
            head += &format!("{key}: {value}\r\n");
        }
        head += &format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        Ok(Self { stream })
    }

    /// Waits for the response; `None` if there is none within `timeout`, or the connection ends.
    pub fn response(mut self, timeout: Duration) -> Option<Response> {
        self.stream.set_read_timeout(Some(timeout)).ok()?;
        let (first, _, body) = read_message(&mut self.stream, &mut Vec::new()).ok()??;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some(Response { status, body })
    }
}

/// Sends a request and waits for its response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Response> {
    let call = Call::send(addr, method, target, headers, body).ok()?;
    call.response(timeout)
}
