//! The connector of the HTTP client. Its connections remember whether they have carried a response.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{self, atomic},
    task, time,
};

use hyper::rt;
use hyper_util::{client::legacy::connect, rt::TokioIo};
use tokio::net;
use tower_service::Service;

/// Opens TCP connections.
#[derive(Clone)]
pub(crate) struct Connector(connect::HttpConnector);

/// A TCP connection.
pub(crate) struct Connection {
    stream: TokioIo<net::TcpStream>,
    history: History,
}

/// Whether a connection has carried a response. Clones share it.
#[derive(Clone, Default)]
struct History(sync::Arc<atomic::AtomicBool>);

impl Connector {
    /// A connector whose attempts take at most `timeout`.
    pub(crate) fn new(timeout: time::Duration) -> Connector {
        let mut connector = connect::HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        Connector(connector)
    }
}

/// Records that a connection carries a response. Returns whether it has carried one before.
pub(crate) fn record_response(connected: &connect::Connected) -> bool {
    let mut extras = http::Extensions::new();
    connected.get_extras(&mut extras);
    extras.get::<History>().is_none_or(|it| it.0.swap(true, atomic::Ordering::Relaxed))
}

type Opening = dyn Future<Output = Result<Connection, Error>> + Send;
type Error = <connect::HttpConnector as Service<http::Uri>>::Error;

impl Service<http::Uri> for Connector {
    type Response = Connection;
    type Error = Error;
    type Future = Pin<Box<Opening>>;

    fn poll_ready(&mut self, context: &mut task::Context<'_>) -> task::Poll<Result<(), Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: http::Uri) -> Self::Future {
        let opening = self.0.call(uri);
        Box::pin(
            async move { Ok(Connection { stream: opening.await?, history: History::default() }) },
        )
    }
}

impl connect::Connection for Connection {
    fn connected(&self) -> connect::Connected {
        self.stream.connected().extra(self.history.clone())
    }
}

impl rt::Read for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl rt::Write for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }
}
