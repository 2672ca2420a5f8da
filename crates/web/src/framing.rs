//! Where the requests on a connection begin and end. It reads only what that takes; the HTTP
//! library reads the requests themselves.

use bytes::{Buf as _, Bytes, BytesMut};

/// Header fields of a request at most; the HTTP library allows as many.
const MAX_FIELDS: usize = 100;
/// Bytes of a line with a chunk's size, or of a trailer.
const MAX_LINE: usize = 8 * 1024;

/// What comes next on a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// More bytes are needed.
    More,
    /// A request begins.
    Begin(Begin),
    /// Bytes of the request that began last.
    Data(Bytes),
    /// The request is complete.
    End,
}

/// A request that begins.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Begin {
    /// No request comes after it on this connection.
    pub(crate) last: bool,
    /// Two readers could disagree on where it ends, so it must not be served.
    pub(crate) ambiguous: bool,
}

/// Splits the bytes of a connection.
#[derive(Debug)]
pub(crate) struct Framer {
    buffer: BytesMut,
    state: State,
    limit: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Before or inside a head.
    Head,
    /// Inside a head whose length is known, before what the state holds.
    Body(Length),
    /// Inside the data of a chunk, its line end included.
    Chunk(u64),
    /// Inside the trailers of a chunked body.
    Trailer,
    /// What follows cannot be told apart, so all of it goes to the request that began last.
    Rest,
    /// At the end of a request.
    End,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Length {
    /// This many bytes remain.
    Known(u64),
    /// Chunks with their own sizes follow.
    Chunked,
}

/// What a head says about the bytes after it.
struct Frame {
    length: Length,
    begin: Begin,
}

impl Framer {
    /// A new connection whose heads have at most `limit` bytes.
    pub(crate) fn new(limit: usize) -> Framer {
        Framer { buffer: BytesMut::new(), state: State::Head, limit }
    }

    /// Where read bytes are appended.
    pub(crate) fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Whether the connection is between two requests.
    pub(crate) fn is_idle(&self) -> bool {
        self.state == State::Head && self.buffer.is_empty()
    }

    /// What comes next.
    pub(crate) fn next(&mut self) -> Step {
        match self.state {
            State::Head => self.head(),
            State::Body(Length::Known(0)) | State::End => {
                self.state = State::Head;
                Step::End
            }
            State::Body(Length::Known(left)) => {
                self.data(left, |it| State::Body(Length::Known(it)))
            }
            State::Body(Length::Chunked) => self.chunk_size(),
            State::Chunk(0) => {
                self.state = State::Body(Length::Chunked);
                self.next()
            }
            State::Chunk(left) => self.data(left, State::Chunk),
            State::Trailer => self.trailer(),
            State::Rest if self.buffer.is_empty() => Step::More,
            State::Rest => Step::Data(self.buffer.split().freeze()),
        }
    }

    fn head(&mut self) -> Step {
        // Empty lines before a request are skipped (RFC 9112, section 2.2).
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
        if self.buffer.is_empty() {
            return Step::More;
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        let frame = match request.parse(&self.buffer) {
            Ok(httparse::Status::Complete(_)) => frame(&request),
            Ok(httparse::Status::Partial) if self.buffer.len() <= self.limit => return Step::More,
            // The HTTP library says what is wrong with it.
            Ok(httparse::Status::Partial) | Err(_) => None,
        };
        let Some(Frame { length, begin }) = frame else {
            self.state = State::Rest;
            return Step::Begin(Begin { last: true, ambiguous: false });
        };
        if begin.ambiguous {
            self.state = State::Rest;
            return Step::Begin(begin);
        }
        let end = self.buffer.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
        // The head goes along with the body, as bytes that are known to be there.
        let Some(end) = end else {
            self.state = State::Rest;
            return Step::Begin(Begin { last: true, ambiguous: false });
        };
        self.pending_head(end, length);
        Step::Begin(begin)
    }

    /// Counts the head among the bytes of the request that are passed on next.
    fn pending_head(&mut self, end: usize, length: Length) {
        self.state = match length {
            Length::Known(body) => State::Body(Length::Known(body.saturating_add(end as u64))),
            Length::Chunked => State::Chunk(end as u64),
        };
    }

    fn data(&mut self, left: u64, state: fn(u64) -> State) -> Step {
        if self.buffer.is_empty() {
            return Step::More;
        }
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(self.buffer.len());
        self.state = state(left - count as u64);
        Step::Data(self.buffer.split_to(count).freeze())
    }

    fn chunk_size(&mut self) -> Step {
        match httparse::parse_chunk_size(&self.buffer) {
            Ok(httparse::Status::Complete((line, 0))) => {
                self.state = State::Trailer;
                Step::Data(self.buffer.split_to(line).freeze())
            }
            Ok(httparse::Status::Complete((line, size))) => {
                // The line, the data and the line end after it.
                self.state = State::Chunk(size.saturating_add(line as u64 + 2));
                self.next()
            }
            Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_LINE => Step::More,
            Ok(httparse::Status::Partial) | Err(_) => {
                self.state = State::Rest;
                self.next()
            }
        }
    }

    fn trailer(&mut self) -> Step {
        let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") else {
            if self.buffer.len() > MAX_LINE {
                self.state = State::Rest;
                return self.next();
            }
            return Step::More;
        };
        if end == 0 {
            self.state = State::End;
        }
        Step::Data(self.buffer.split_to(end + 2).freeze())
    }
}

/// What a head says, or `None` when it cannot be told.
fn frame(request: &httparse::Request<'_, '_>) -> Option<Frame> {
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
        return Some(Frame { length: Length::Known(0), begin: Begin { last: true, ambiguous } });
    }
    if codings == 1 {
        return chunked
            .then_some(Frame { length: Length::Chunked, begin: Begin { last, ambiguous: false } });
    }
    let length = match lengths.as_slice() {
        [] => 0,
        [text] if text.bytes().all(|it| it.is_ascii_digit()) => text.parse().ok()?,
        _ => return None,
    };
    Some(Frame { length: Length::Known(length), begin: Begin { last, ambiguous: false } })
}
