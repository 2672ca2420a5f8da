//! Finds where the requests on a connection start and end. Only what this takes is parsed here;
//! hyper parses the requests themselves.

use bytes::{Buf as _, Bytes, BytesMut};

/// The most header fields of a request, the same as hyper's limit.
const MAX_FIELDS: usize = 100;
/// The longest line with a chunk size or a trailer field, in bytes.
const MAX_LINE: usize = 8 * 1024;

/// What [`Framer::next`] found in the received bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Event {
    /// More bytes must be received first.
    More,
    /// A new request starts. Its bytes, from its head on, follow as data.
    Start(Start),
    /// Bytes of the current request.
    Data(Bytes),
    /// The current request is complete.
    End,
    /// The current request is malformed within its body, so its end can't be found.
    Malformed,
}

/// What is known about a request at its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Start {
    /// No request may follow it on this connection.
    pub(crate) last: bool,
    /// Implementations may disagree on where it ends (request smuggling), so it must be rejected.
    pub(crate) ambiguous: bool,
}

/// Splits the bytes of a connection into requests.
#[derive(Debug)]
pub(crate) struct Framer {
    buffer: BytesMut,
    state: State,
    limit: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Before or inside the head of a request.
    Head,
    /// Before the bytes that remain of a request with a known length (its head counts too), or
    /// before the next chunk.
    Body(Length),
    /// Inside a chunk, or inside the head before the first one. This many bytes remain, line ends
    /// included.
    Chunk(u64),
    /// Inside the trailers of a chunked body.
    Trailer,
    /// The end of the current request is unknown, so all further bytes are passed on as part of it.
    Unframed,
    /// Behind the part of a body that is malformed.
    Malformed,
    /// At the end of a request.
    End,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Length {
    /// This many bytes remain.
    Known(u64),
    /// The body is in chunked transfer coding.
    Chunked,
}

/// What a head says about the bytes after it.
struct Head {
    length: Length,
    start: Start,
}

impl Framer {
    /// Creates a framer for a new connection. A head may have up to `limit` bytes.
    pub(crate) fn new(limit: usize) -> Framer {
        Framer { buffer: BytesMut::new(), state: State::Head, limit }
    }

    /// The buffer to append received bytes to.
    pub(crate) fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Whether the body of a request is still to come, in whole or in part.
    pub(crate) fn is_in_body(&self) -> bool {
        matches!(self.state, State::Body(_) | State::Chunk(_) | State::Trailer)
    }

    /// Whether the connection is between two requests.
    pub(crate) fn is_idle(&self) -> bool {
        self.state == State::Head && self.buffer.is_empty()
    }

    /// Takes the next event from the received bytes.
    pub(crate) fn next(&mut self) -> Event {
        match self.state {
            State::Head => self.next_head(),
            State::Body(Length::Known(0)) | State::End => {
                self.state = State::Head;
                Event::End
            }
            State::Body(Length::Known(remaining)) => {
                self.take_data(remaining, |it| State::Body(Length::Known(it)))
            }
            State::Body(Length::Chunked) => self.take_chunk(),
            State::Chunk(0) => {
                self.state = State::Body(Length::Chunked);
                self.next()
            }
            State::Chunk(remaining) => self.take_data(remaining, State::Chunk),
            State::Trailer => self.take_trailer(),
            State::Malformed => Event::Malformed,
            State::Unframed if self.buffer.is_empty() => Event::More,
            State::Unframed => Event::Data(self.buffer.split().freeze()),
        }
    }

    fn next_head(&mut self) -> Event {
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
        if self.buffer.is_empty() {
            return Event::More;
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        let head = match request.parse(&self.buffer) {
            Ok(httparse::Status::Complete(end)) => read_head(&request).map(|it| (it, end)),
            Ok(httparse::Status::Partial) if self.buffer.len() <= self.limit => return Event::More,
            // The head is too large or malformed; hyper answers with the matching error.
            Ok(httparse::Status::Partial) | Err(_) => None,
        };
        let Some((Head { length, start }, end)) = head else {
            self.state = State::Unframed;
            return Event::Start(Start { last: true, ambiguous: false });
        };
        if start.ambiguous {
            self.state = State::Unframed;
            return Event::Start(start);
        }
        // The head is passed on like the body; all its bytes are in the buffer. Its end is where the
        // parser found it: lines may end with a bare LF, and the body may have an empty line.
        self.expect_request(end, length);
        Event::Start(start)
    }

    /// Makes the head, which has `end` bytes, the first part of the data that is passed on.
    fn expect_request(&mut self, end: usize, length: Length) {
        self.state = match length {
            Length::Known(body) => State::Body(Length::Known(body.saturating_add(end as u64))),
            Length::Chunked => State::Chunk(end as u64),
        };
    }

    fn take_data(&mut self, remaining: u64, state: fn(u64) -> State) -> Event {
        if self.buffer.is_empty() {
            return Event::More;
        }
        let count = usize::try_from(remaining).unwrap_or(usize::MAX).min(self.buffer.len());
        self.state = state(remaining - count as u64);
        Event::Data(self.buffer.split_to(count).freeze())
    }

    fn take_chunk(&mut self) -> Event {
        match httparse::parse_chunk_size(&self.buffer) {
            Ok(httparse::Status::Complete((line, 0))) => {
                self.state = State::Trailer;
                Event::Data(self.buffer.split_to(line).freeze())
            }
            Ok(httparse::Status::Complete((line, size))) => {
                // The size line, the data and the CRLF after it.
                self.state = State::Chunk(size.saturating_add(line as u64 + 2));
                self.next()
            }
            Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_LINE => Event::More,
            // hyper takes a size with any number of leading zeros, so it is not left to decide.
            Ok(httparse::Status::Partial) | Err(_) => {
                self.state = State::Malformed;
                Event::Malformed
            }
        }
    }

    fn take_trailer(&mut self) -> Event {
        let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") else {
            if self.buffer.len() > MAX_LINE {
                self.state = State::Malformed;
                return Event::Malformed;
            }
            return Event::More;
        };
        if end == 0 {
            self.state = State::End;
        }
        Event::Data(self.buffer.split_to(end + 2).freeze())
    }
}

/// Finds out how a request with this head is framed. Returns `None` if the head is invalid.
fn read_head(request: &httparse::Request<'_, '_>) -> Option<Head> {
    let mut lengths = Vec::new();
    let mut codings = 0;
    let mut chunked = false;
    let mut last = request.version != Some(1);
    for field in request.headers.iter() {
        let value = std::str::from_utf8(field.value).unwrap_or_default().trim();
        if field.name.eq_ignore_ascii_case("content-length") {
            lengths.push(value);
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            codings += 1;
            chunked = value.eq_ignore_ascii_case("chunked");
        } else if field.name.eq_ignore_ascii_case("connection") {
            last |= value.split(',').any(|it| it.trim().eq_ignore_ascii_case("close"));
        } else if field.name.eq_ignore_ascii_case("upgrade") {
            last = true;
        }
    }
    let ambiguous = !lengths.is_empty() && codings > 0 || codings > 1;
    if ambiguous {
        return Some(Head { length: Length::Known(0), start: Start { last: true, ambiguous } });
    }
    if codings == 1 {
        return chunked
            .then_some(Head { length: Length::Chunked, start: Start { last, ambiguous: false } });
    }
    let length = match lengths.as_slice() {
        [] => 0,
        [text] if text.bytes().all(|it| it.is_ascii_digit()) => text.parse().ok()?,
        _ => return None,
    };
    Some(Head { length: Length::Known(length), start: Start { last, ambiguous: false } })
}
