//! A small HTTP/1.1 client and parser for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or an answer as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// The status of an answer; 0 in a request.
    pub status: u16,
    /// The fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// The method and the path with the query of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// A connection with what was read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_string())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(addr: &str, timeout: Duration) -> io::Result<Connection> {
        let addr: SocketAddr = addr.parse().map_err(|_| broken("address"))?;
        let stream = TcpStream::connect_timeout(&addr, timeout.min(Duration::from_secs(1)))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Connection::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.more()? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.more()? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message { line: self.line()?, ..Message::default() };
        if let Some(rest) = message.line.strip_prefix("HTTP/1.1 ") {
            message.status = rest.get(..3).and_then(|it| it.parse().ok()).unwrap_or(0);
        }
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            let (name, value) = line.split_once(':').ok_or_else(|| broken("field"))?;
            message.fields.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }

    /// Reads the body that a head declares. An answer without a length goes on to the end of its
    /// connection.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        let coding = message.field("transfer-encoding").unwrap_or("").to_ascii_lowercase();
        if coding == "chunked" {
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| broken("chunk"))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                let part = self.exactly(size)?;
                message.body.extend_from_slice(&part);
                self.exactly(2)?;
            }
        }
        let length = message.field("content-length").and_then(|it| it.parse().ok());
        if let Some(length) = length {
            message.body = self.exactly(length)?;
        } else if message.status >= 200 && message.status != 204 && message.status != 304 {
            while self.more()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(())
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Message> {
        loop {
            let mut message = self.head()?;
            if (100..200).contains(&message.status) {
                continue;
            }
            self.body(&mut message)?;
            return Ok(message);
        }
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn exchange(addr: &str, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let end = Instant::now() + timeout;
    let mut connection = Connection::open(addr, timeout)?;
    connection.write(request)?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    connection.stream.set_read_timeout(Some(left))?;
    connection.message()
}
