//! The log: which lines are written, and which are dropped without being formatted.

use std::{cell, fmt, io, sync};

use heatherwalk::{logs, settings};
use log::Log as _;

#[derive(Clone, Default)]
struct Sink(sync::Arc<sync::Mutex<Vec<u8>>>);

impl io::Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("the sink").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Text that counts how often it is formatted.
struct Counted<'a>(&'a cell::Cell<u32>);

impl fmt::Display for Counted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.set(self.0.get() + 1);
        write!(f, "text")
    }
}

/// Guards against lines that are formatted although they are filtered out, and against timestamps
/// that are not in UTC.
#[test]
fn log_lines() {
    let cases = [
        (log::LevelFilter::Info, true),
        (log::LevelFilter::Info, false),
        (log::LevelFilter::Warn, true),
        (log::LevelFilter::Off, true),
    ];
    let mut out = String::new();
    for (level, decisions) in cases {
        let sink = Sink::default();
        let logger = logs::Logger::new(settings::Log { level, decisions }, sink.clone());
        let formatted = cell::Cell::new(0);
        let mut written = 0;
        for (target, level) in [
            (logs::DECISION_TARGET, log::Level::Info),
            ("node", log::Level::Info),
            ("node", log::Level::Error),
            ("node", log::Level::Debug),
        ] {
            let mut record = log::Record::builder();
            let record = record.target(target).level(level);
            logger.log(&record.args(format_args!("{}", Counted(&formatted))).build());
            let metadata = log::Metadata::builder().target(target).level(level).build();
            written += u32::from(logger.enabled(&metadata));
        }
        assert_eq!(formatted.get(), written, "a line that is filtered out is formatted");
        logger.flush();
        let text = String::from_utf8(sink.0.lock().expect("the sink").clone()).expect("text");
        assert_eq!(text.lines().count(), written as usize);
        out += &format!("== {level} {decisions}\n");
        for line in text.lines() {
            let (time, rest) = line.split_once(' ').expect("a time");
            assert!(time.ends_with('Z') && time.contains('T'), "{time} is not UTC");
            out += &format!("{rest}\n");
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against decision lines that are formatted or written by the macros of `log` although the
/// installed logger leaves them out.
#[test]
fn installed_logger() {
    let settings = settings::Log { level: log::LevelFilter::Info, decisions: false };
    logs::init(settings, io::sink()).expect("the first logger");
    let formatted = cell::Cell::new(0);
    log::info!(target: logs::DECISION_TARGET, "{}", Counted(&formatted));
    log::debug!("{}", Counted(&formatted));
    assert_eq!(formatted.get(), 0);
    assert!(!log::log_enabled!(target: logs::DECISION_TARGET, log::Level::Info));
    log::info!("{}", Counted(&formatted));
    assert_eq!(formatted.get(), 1);
    assert!(logs::init(settings, io::sink()).is_err(), "a second logger is refused");
}

/// A writer that blocks until the sender of `gate` sends or is dropped.
struct BlockedWriter {
    gate: sync::mpsc::Receiver<()>,
    sink: Sink,
}

impl io::Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.gate.recv();
        self.sink.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a log that blocks the process while its reader does not read, that grows without
/// bound, or that does not report how many lines were dropped.
#[test]
fn blocked_reader() {
    use io::Write as _;
    let (open, gate) = sync::mpsc::channel();
    let sink = Sink::default();
    let mut lines = logs::QueuedWriter::spawn(BlockedWriter { gate, sink: sink.clone() }, 10);
    for number in 0..1_000 {
        lines.write_all(format!("line {number}\n").as_bytes()).expect("it never fails");
    }
    drop(open);
    lines.write_all(b"last\n").expect("it never fails");
    let text = || String::from_utf8(sink.0.lock().expect("the sink").clone()).expect("text");
    let until = std::time::Instant::now() + std::time::Duration::from_secs(20);
    while !text().contains("dropped=") && std::time::Instant::now() < until {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    let text = text();
    let kept = text.lines().filter(|it| it.starts_with("line ")).count();
    assert!((10..=12).contains(&kept), "{kept} lines kept");
    let counts = text.lines().filter_map(|it| it.split_once("dropped=")?.1.parse::<usize>().ok());
    let missing: usize = counts.sum();
    // The last line may be one of those that were dropped.
    assert!((1_000..=1_001).contains(&(kept + missing)), "{kept} kept, {missing} missing");
}
