//! The log of the process: one line per record, with a timestamp in UTC.
//!
//! The macros of `log` format a record only if its level is enabled and the logger accepts it, but
//! they evaluate its arguments as soon as the level is enabled. Code that logs a decision whose
//! arguments are costly to compute checks `log::log_enabled!(target: DECISION_TARGET, ..)` first.

use std::{
    io,
    sync::{self, atomic, mpsc},
    thread,
};

use crate::settings;

/// The log target of routing and placement decisions, which the setting `decisions` can turn off.
pub const DECISION_TARGET: &str = "decision";

/// A logger that writes lines to `W` and leaves out what the settings turn off.
pub struct Logger<W: io::Write + Send + 'static> {
    lines: Box<simplelog::WriteLogger<io::LineWriter<W>>>,
    settings: settings::Log,
}

/// The result of installing the logger.
pub type Result<T, E = log::SetLoggerError> = std::result::Result<T, E>;

/// Capacity of the queue in lines, which take about 2 MB. Further lines are dropped and counted.
const QUEUE_LINES: usize = 8_192;

/// A writer that never blocks: it queues lines for a thread that writes them, so that a slow reader
/// of the log does not delay the process.
pub struct QueuedWriter {
    queue: mpsc::SyncSender<Vec<u8>>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

impl QueuedWriter {
    /// Starts the thread that writes to `out`. The queue holds `capacity` lines; lines that do not
    /// fit are dropped. Their number is written as `[WARN] logs dropped=N` after the next line that
    /// is written.
    pub fn spawn<W: io::Write + Send + 'static>(out: W, capacity: usize) -> QueuedWriter {
        let (queue, lines) = mpsc::sync_channel(capacity);
        let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
        let counter = sync::Arc::clone(&dropped);
        thread::spawn(move || write_lines(out, &lines, &counter));
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

/// Writes queued lines until the queue is closed. A line that cannot be written is lost, since
/// there is no other place to report it.
fn write_lines<W: io::Write>(
    mut out: W,
    lines: &mpsc::Receiver<Vec<u8>>,
    dropped: &atomic::AtomicU64,
) {
    while let Ok(line) = lines.recv() {
        let _ = out.write_all(&line);
        let missing = dropped.swap(0, atomic::Ordering::Relaxed);
        if missing > 0 {
            let _ = writeln!(out, "[WARN] logs dropped={missing}");
        }
        let _ = out.flush();
    }
}

/// Installs the logger of the process, which writes to `out` through a queue and never blocks.
/// Fails if a logger is installed already.
pub fn init<W: io::Write + Send + 'static>(settings: settings::Log, out: W) -> Result<()> {
    let lines = QueuedWriter::spawn(out, QUEUE_LINES);
    log::set_boxed_logger(Box::new(Logger::new(settings, lines)))?;
    // Set after the logger, so that no record passes before there is a logger to write it.
    log::set_max_level(settings.level);
    Ok(())
}

impl<W: io::Write + Send + 'static> Logger<W> {
    /// Creates a logger without installing it.
    pub fn new(settings: settings::Log, out: W) -> Logger<W> {
        let config = simplelog::ConfigBuilder::new()
            .set_time_format_rfc3339()
            .set_target_level(log::LevelFilter::Error)
            .set_thread_level(log::LevelFilter::Off)
            .set_location_level(log::LevelFilter::Off)
            .build();
        // simplelog writes a record in several pieces; the line writer passes them on in one call.
        let out = io::LineWriter::new(out);
        Logger { lines: simplelog::WriteLogger::new(settings.level, config, out), settings }
    }
}

impl<W: io::Write + Send + 'static> log::Log for Logger<W> {
    // simplelog's own filter by target takes a lock first, and `enabled` does not apply it.
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
