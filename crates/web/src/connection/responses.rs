//! The writing half of a connection: responses in the order of their requests.

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::tcp,
    sync::{mpsc, oneshot},
};

use crate::{connection, server};

/// The response in place of one that failed before any of its bytes were sent. The request may have
/// run.
const BROKEN_RESPONSE: &str = "HTTP/1.1 502 Bad Gateway\r\nheatherwalk-outcome: unknown\r\n\
    heatherwalk-reason: broken\r\n\
    content-length: 0\r\n";

/// A response in progress.
pub(super) struct Pending {
    pub(super) output: tokio::io::ReadHalf<tokio::io::DuplexStream>,
    /// Receives whether the response is complete once `output` has ended.
    pub(super) complete: oneshot::Receiver<bool>,
    pub(super) handle: connection::Handle,
    /// No request may follow this one on the connection.
    pub(super) last: bool,
}

impl Pending {
    /// Whether the response is complete, if its task has ended. May be called only once.
    fn take_result(&mut self) -> Option<bool> {
        // Looks once and does not wait: whether the response has failed is only asked before it begins.
        match self.complete.try_recv() {
            Ok(complete) => Some(complete),
            Err(oneshot::error::TryRecvError::Empty) => None,
            // The task has panicked or was aborted.
            Err(oneshot::error::TryRecvError::Closed) => Some(false),
        }
    }
}

/// Writes the responses in the order of their requests. A response that fails before any of its
/// bytes were sent is replaced with [`BROKEN_RESPONSE`]; one that fails later ends the connection.
pub(super) async fn write_responses(
    writing: Option<&mut tcp::OwnedWriteHalf>,
    mut responses: mpsc::Receiver<Pending>,
    limits: &server::Limits,
    shared: &connection::Shared,
) -> Result<(), &'static str> {
    let Some(writing) = writing else { return Ok(()) };
    let mut buffer = bytes::BytesMut::with_capacity(8 * 1024);
    while let Some(mut pending) = responses.recv().await {
        // A response that has failed while it waited for its turn is not begun.
        let early = pending.take_result();
        let mut begun = false;
        while early != Some(false) {
            buffer.clear();
            let count = pending.output.read_buf(&mut buffer).await.unwrap_or(0);
            if count == 0 {
                break;
            }
            begun = true;
            write_bytes(writing, &buffer, limits).await?;
        }
        let complete = match early {
            Some(it) => it,
            None => pending.complete.await.unwrap_or(false),
        };
        if !complete && begun {
            log_reset(&pending.handle, &mut responses);
            return Err("the handler did not complete the response");
        }
        if !complete {
            let closes = pending.handle.closes() || pending.last;
            let close = if closes { "connection: close\r\n" } else { "" };
            let response = format!("{BROKEN_RESPONSE}{close}\r\n");
            write_bytes(writing, response.as_bytes(), limits).await?;
        }
        shared.finish();
    }
    Ok(())
}

async fn write_bytes(
    writing: &mut tcp::OwnedWriteHalf,
    bytes: &[u8],
    limits: &server::Limits,
) -> Result<(), &'static str> {
    let written = tokio::time::timeout(limits.idle_timeout, writing.write_all(bytes)).await;
    match written {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err("the caller did not read the response in time"),
    }
}

/// Logs which responses are lost because the one before them failed after its first bytes were
/// sent.
fn log_reset(failed: &connection::Handle, responses: &mut mpsc::Receiver<Pending>) {
    let (mut lost, mut complete) = (0, 0);
    // Empties the queue of at most MAX_PIPELINED responses without waiting. The task that fills it
    // does not run meanwhile, so this loop ends.
    while let Ok(mut behind) = responses.try_recv() {
        lost += 1;
        complete += usize::from(behind.take_result() == Some(true));
    }
    log::info!(
        target: "decision",
        "connection_reset reason=\"incomplete response\" response={} lost_behind={lost} \
         of_these_complete={complete}",
        failed.number,
    );
}
