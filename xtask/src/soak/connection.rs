//! A caller's connection: sends HTTP/1.1 requests, pipelined if the caller likes, and reads their
//! answers.

use std::{io, net, str, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// The most bytes of a body that are kept. More are read and counted, but not compared.
const MAX_KEPT: usize = 1024 * 1024;
const MAX_HEADERS: usize = 64;

/// Why a connection ended before the end of an answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It ended before the head of the answer was complete.
    #[error("no answer: {0}")]
    NoAnswer(io::Error),
    /// It ended in the body.
    #[error("status {status}, cut after {received} bytes of the body: {cause}")]
    Cut { status: u16, received: usize, cause: io::Error },
    /// The bytes received are no HTTP/1.1 answer.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// The result of reading an answer.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) not_run: bool,
    /// Whether it says that the request may have run.
    pub(crate) unknown: bool,
    /// Whether it is the stored answer without its body, which was too large.
    pub(crate) stored_cut: bool,
    /// The reason in one word, when the node itself made the answer.
    pub(crate) reason: String,
    /// Whether the server closes the connection after it.
    pub(crate) last: bool,
    pub(crate) body: Vec<u8>,
}

/// An open connection.
pub(crate) struct Connection {
    stream: TcpStream,
    /// Bytes received and not yet read.
    buffer: Vec<u8>,
    alive_at: time::Instant,
}

enum Framing {
    Chunks,
    Length(usize),
}

impl Connection {
    pub(crate) async fn open(addr: net::SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new(), alive_at: time::Instant::now() })
    }

    /// When it was last known to be open: when it was opened, or its last answer was read.
    pub(crate) fn alive_at(&self) -> time::Instant {
        self.alive_at
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the next answer to its end.
    pub(crate) async fn read(&mut self) -> Result<Answer> {
        let (mut answer, framing) = loop {
            if let Some(it) = self.parse_head()? {
                break it;
            }
            self.fill().await.map_err(Error::NoAnswer)?;
        };
        let mut received = 0;
        let body = match framing {
            Framing::Length(length) => self.read_exact(length, &mut received).await,
            Framing::Chunks => self.read_chunks(&mut received).await,
        };
        let status = answer.status;
        answer.body = body.map_err(|cause| Error::Cut { status, received, cause })?;
        self.alive_at = time::Instant::now();
        Ok(answer)
    }

    fn parse_head(&mut self) -> Result<Option<(Answer, Framing)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let malformed = |it: &dyn ToString| Error::Malformed(it.to_string());
        let length = match head.parse(&self.buffer).map_err(|it| malformed(&it))? {
            httparse::Status::Complete(it) => it,
            httparse::Status::Partial => return Ok(None),
        };
        let header = |name: &str| {
            let found = head.headers.iter().find(|it| it.name.eq_ignore_ascii_case(name));
            found.and_then(|it| str::from_utf8(it.value).ok()).unwrap_or_default()
        };
        let framing = match header("content-length") {
            "" if header("transfer-encoding") == "chunked" => Framing::Chunks,
            "" => return Err(malformed(&"neither a length nor chunks")),
            text => Framing::Length(text.parse().map_err(|it| malformed(&it))?),
        };
        let answer = Answer {
            status: head.code.unwrap_or_default(),
            not_run: header("heatherwalk-not-run") == "true",
            unknown: header("heatherwalk-outcome") == "unknown",
            stored_cut: header("heatherwalk-stored") == "cut",
            reason: header("heatherwalk-reason").to_owned(),
            last: header("connection").eq_ignore_ascii_case("close"),
            body: Vec::new(),
        };
        self.buffer.drain(..length);
        Ok(Some((answer, framing)))
    }

    async fn read_chunks(&mut self, received: &mut usize) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16)
                .map_err(|it| io::Error::new(io::ErrorKind::InvalidData, it))?;
            let chunk = self.read_exact(size, received).await?;
            if body.len() < MAX_KEPT {
                body.extend(chunk);
            }
            self.read_line().await?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill().await?;
        }
    }

    async fn read_exact(&mut self, length: usize, received: &mut usize) -> io::Result<Vec<u8>> {
        let before = *received;
        while self.buffer.len() < length {
            *received = before + self.buffer.len();
            self.fill().await?;
        }
        *received = before + length;
        Ok(self.buffer.drain(..length).collect())
    }

    async fn fill(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
