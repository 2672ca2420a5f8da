//! The process's log: one line a record, with a UTC timestamp.
//!
//! The macros of `log` build a line's text only after the logger has accepted the record's level,
//! but they evaluate the expressions between their parentheses once the level passes. A decision
//! whose arguments cost something to compute checks
//! `log::log_enabled!(target: DECISION_TARGET, ..)` first.

use std::{
    io,
    sync::{self, atomic, mpsc},
    thread,
};

use crate::settings;

/// The log target of the lines of routing and placement decisions.
pub const DECISION_TARGET: &str = "decision";

/// A logger that writes to `W`.
pub struct Logger<W: io::Write + Send + 'static> {
    lines: Box<simplelog::WriteLogger<io::LineWriter<W>>>,
    settings: settings::Log,
}

/// A result of this module.
pub type Result<T, E = log::SetLoggerError> = std::result::Result<T, E>;

/// Lines that wait to be written, about 2 MB. More are dropped and counted.
const QUEUE: usize = 8_192;

/// Hands lines to a thread that writes them, so that a slow reader of the log holds up nothing.
pub struct QueuedWriter {
    queue: mpsc::SyncSender<Vec<u8>>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

impl QueuedWriter {
    /// Starts the thread that writes to `out`.
    pub fn spawn<W: io::Write + Send + 'static>(out: W, capacity: usize) -> QueuedWriter {
        let (queue, lines) = mpsc::sync_channel(capacity);
        let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
        let counter = sync::Arc::clone(&dropped);
        thread::spawn(move || drain(out, &lines, &counter));
        QueuedWriter { queue, dropped }
    }
}

impl io::Write for QueuedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(bytes.to_vec()).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the logger is gone. A line that cannot be written is lost: there is no other
/// place to say so.
fn drain<W: io::Write>(mut out: W, lines: &mpsc::Receiver<Vec<u8>>, dropped: &atomic::AtomicU64) {
    while let Ok(line) = lines.recv() {
        let _ = out.write_all(&line);
        let missing = dropped.swap(0, atomic::Ordering::Relaxed);
        if missing > 0 {
            let _ = writeln!(out, "[WARN] logs dropped={missing}");
        }
        let _ = out.flush();
    }
}

/// Writes the process's log to `out` from now on, through a queue that never blocks. Fails when
/// there is a logger already.
pub fn init<W: io::Write + Send + 'static>(settings: settings::Log, out: W) -> Result<()> {
    let lines = QueuedWriter::spawn(out, QUEUE);
    log::set_boxed_logger(Box::new(Logger::new(settings, lines)))?;
    // Set after the logger, so that no record is lost between the two steps.
    log::set_max_level(settings.level);
    Ok(())
}

impl<W: io::Write + Send + 'static> Logger<W> {
    /// Makes a logger that the process does not use yet.
    pub fn new(settings: settings::Log, out: W) -> Logger<W> {
        let config = simplelog::ConfigBuilder::new()
            .set_time_format_rfc3339()
            .set_target_level(log::LevelFilter::Error)
            .set_thread_level(log::LevelFilter::Off)
            .set_location_level(log::LevelFilter::Off)
            .build();
        // simplelog writes a record in several pieces; the line writer makes one call of them.
        let out = io::LineWriter::new(out);
        Logger { lines: simplelog::WriteLogger::new(settings.level, config, out), settings }
    }
}

impl<W: io::Write + Send + 'static> log::Log for Logger<W> {
    // simplelog's own filter by target takes its lock first and does not show in `enabled`.
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= self.settings.level
            && (self.settings.decisions || metadata.target() != DECISION_TARGET)
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            self.lines.log(record);
        }
    }

    fn flush(&self) {
        self.lines.flush();
    }
}
