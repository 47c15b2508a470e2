//! HTTP/1.1 over plain sockets: a server with a thread for each connection, and single requests.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as received by a stand-in.
pub struct Request {
    /// Path with its query.
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let row = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        row.map(|(_, value)| value.as_str())
    }

    /// Returns a value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut rows = query.split('&').filter_map(|row| row.split_once('='));
        rows.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: String) -> Self {
        Self { status, body: body.into_bytes() }
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Serves requests until the process ends. A handler that returns nothing has the connection closed
/// without a response.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> Option<Response> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection<F>(stream: TcpStream, handler: &F) -> std::io::Result<()>
where
    F: Fn(Request) -> Option<Response>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ');
        let path = words.nth(1).unwrap_or_default().to_owned();
        let body = read_body(&mut reader, &headers)?;
        let Some(response) = handler(Request { path, headers, body }) else {
            return Ok(());
        };
        let mut bytes = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        bytes.extend(response.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> std::io::Result<Vec<u8>> {
    let find = |name: &str| headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    if let Some((_, len)) = find("content-length") {
        let mut body = vec![0; len.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if find("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            if len == 0 {
                return Ok(body);
            }
            body.extend(&chunk[..len]);
        }
    }
    Ok(body)
}

/// Sends a request on a connection of its own, and returns the response, or what went wrong.
pub fn send(
    addr: SocketAddr,
    head: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Result<Response, String> {
    let fail = |err: std::io::Error| match err.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => "no answer in time".to_owned(),
        _ => format!("broken connection ({err})"),
    };
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).map_err(fail)?;
    stream.set_nodelay(true).map_err(fail)?;
    stream.set_read_timeout(Some(timeout)).map_err(fail)?;
    let mut text = format!("{head} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes()).map_err(fail)?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader).map_err(fail)? else {
        return Err("connection closed without an answer".to_owned());
    };
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let body = read_body(&mut reader, &headers).map_err(fail)?;
    match status {
        Some(status) => Ok(Response { status, body }),
        None => Err("malformed answer".to_owned()),
    }
}
