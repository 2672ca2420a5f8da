//! The log of one group in one folder.

use std::{fs, path};

use agreement::{entries, events};
use compact_str::CompactString;

use crate::{errors, faults, files, records, replay};

const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";
const CAUGHT_UP: &str = "caught-up";

/// A running handle to a log on disk. Every change is synced before its function returns.
///
/// After a failed write or sync all further work is refused: a second sync may report success
/// although the operating system has dropped the data.
#[derive(Debug)]
pub struct Log<F = fn(faults::Operation) -> faults::Fault> {
    folder: path::PathBuf,
    header: records::Header,
    file: fs::File,
    restored: events::Restored,
    failed: bool,
    faults: F,
    lock: Option<files::Lock>,
}

impl Log {
    /// Opens the log called `name` in `folder`, which is created when it is new. A new folder gets
    /// a new disk ID.
    pub fn open(folder: &path::Path, name: &str) -> errors::Result<Log> {
        Log::open_with(folder, name, faults::none as fn(faults::Operation) -> faults::Fault)
    }
}

impl<F: FnMut(faults::Operation) -> faults::Fault> Log<F> {
    /// As [`Log::open`], with a function that injects faults, for tests.
    pub fn open_with(folder: &path::Path, name: &str, mut faults: F) -> errors::Result<Log<F>> {
        create_folder(folder, &mut faults)?;
        let lock = files::Lock::take(folder)?;
        let path = folder.join(LOG);
        let snapshot = files::read(&folder.join(SNAPSHOT))?;
        let Some(bytes) = files::read(&path)? else {
            if snapshot.is_some() {
                return Err(errors::Error::Missing { path });
            }
            return Log::create(folder, name, faults, lock);
        };
        let (mut reader, header) = records::Reader::open(&path, records::Kind::Log, &bytes)?;
        let expected = records::Header::new(name, header.disk());
        reader.check(&header, &expected)?;
        let snapshot = snapshot.map(|it| read_snapshot(folder, &header, &it)).transpose()?;
        let mut replay = replay::Replay::read(&mut reader)?;
        let base = snapshot.as_ref().map_or(entries::Position::default(), |it| it.last);
        if replay.base > base.index {
            return Err(errors::Error::Missing { path: folder.join(SNAPSHOT) });
        }
        let Some(trimmed) = replay.trim(base) else {
            return Err(reader.corrupt("entries between the snapshot and the log are missing"));
        };
        let file = if trimmed {
            rewrite(folder, &header, &replay, &mut faults)?
        } else {
            cut_tail(&path, reader.offset(), bytes.len(), &mut faults)?
        };
        let replay::Replay { hard_state, entries, .. } = replay;
        let restored = events::Restored { hard_state, snapshot, entries };
        let folder = folder.to_path_buf();
        Ok(Log { folder, header, file, restored, failed: false, faults, lock: Some(lock) })
    }

    fn create(
        folder: &path::Path,
        name: &str,
        mut faults: F,
        lock: files::Lock,
    ) -> errors::Result<Log<F>> {
        let header = records::Header::new(name, entries::DiskId(rand::random()));
        log::info!("new log {name} in {} with disk ID {}", folder.display(), header.disk());
        let file = rewrite(folder, &header, &replay::Replay::default(), &mut faults)?;
        let restored = events::Restored::default();
        let folder = folder.to_path_buf();
        Ok(Log { folder, header, file, restored, failed: false, faults, lock: Some(lock) })
    }

    /// The ID that the disk got when this folder was first written.
    pub fn disk(&self) -> entries::DiskId {
        self.header.disk()
    }

    /// The name of the log.
    pub fn name(&self) -> &CompactString {
        &self.header.name
    }

    /// Gives the folder free for another process. The handle refuses all further work.
    pub fn close(&mut self) {
        self.failed = true;
        self.lock = None;
    }

    /// Whether this disk has ever held all that its group had committed.
    pub fn is_caught_up(&self) -> bool {
        // Another disk's mark, copied here by hand, does not count.
        let text = fs::read_to_string(self.folder.join(CAUGHT_UP));
        text.is_ok_and(|it| it == self.disk().to_string())
    }

    /// Notes that this disk holds all that its group had committed.
    pub fn mark_caught_up(&mut self) -> errors::Result<()> {
        let text = self.disk().to_string();
        files::replace(&self.folder, CAUGHT_UP, text.as_bytes(), &mut self.faults).map(drop)
    }

    /// What was found at open. The handle does not keep it after the first call.
    pub fn take_restored(&mut self) -> events::Restored {
        std::mem::take(&mut self.restored)
    }

    /// Performs one `Persist` effect with one write and one sync.
    pub fn persist(&mut self, persist: &events::Persist) -> errors::Result<()> {
        let mut bytes = Vec::new();
        if let Some(from) = persist.truncate {
            records::encode(&records::Record::Truncate(from), &mut bytes)?;
        }
        for entry in &persist.entries {
            records::encode(&records::Record::Entry(entry.clone()), &mut bytes)?;
        }
        if let Some(hard) = &persist.hard_state {
            records::encode(&records::Record::Hard(hard.clone()), &mut bytes)?;
        }
        self.write(&bytes)
    }

    /// Appends entries, which must follow the last one.
    pub fn append(&mut self, entries: &[entries::Entry]) -> errors::Result<()> {
        self.persist(&events::Persist { entries: entries.to_vec(), ..Default::default() })
    }

    /// Removes the entries at and after `from`.
    pub fn truncate(&mut self, from: entries::Index) -> errors::Result<()> {
        self.persist(&events::Persist { truncate: Some(from), ..Default::default() })
    }

    /// Replaces the hard state.
    pub fn save_state(&mut self, hard: &events::HardState) -> errors::Result<()> {
        self.persist(&events::Persist { hard_state: Some(hard.clone()), ..Default::default() })
    }

    /// Replaces the snapshot, then the log by one without the entries that the snapshot covers.
    /// When the log has another entry at the snapshot's end, none of its entries are kept.
    pub fn save_snapshot(&mut self, snapshot: &events::Snapshot) -> errors::Result<()> {
        self.check_usable()?;
        // Set first, so that a failure at any step leaves the handle refusing.
        self.failed = true;
        let mut bytes = records::begin(records::Kind::Snapshot, &self.header)?;
        records::encode(snapshot, &mut bytes)?;
        files::replace(&self.folder, SNAPSHOT, &bytes, &mut self.faults)?;
        let path = self.folder.join(LOG);
        let Some(bytes) = files::read(&path)? else {
            return Err(errors::Error::Missing { path });
        };
        let (mut reader, _) = records::Reader::open(&path, records::Kind::Log, &bytes)?;
        let mut replay = replay::Replay::read(&mut reader)?;
        if replay.trim(snapshot.last).is_none() {
            return Err(reader.corrupt("entries between the snapshot and the log are missing"));
        }
        self.file = rewrite(&self.folder, &self.header, &replay, &mut self.faults)?;
        self.failed = false;
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> errors::Result<()> {
        self.check_usable()?;
        if bytes.is_empty() {
            return Ok(());
        }
        let path = self.folder.join(LOG);
        let result = files::append(&mut self.file, &path, bytes, &mut self.faults);
        self.failed = result.is_err();
        result
    }

    fn check_usable(&self) -> errors::Result<()> {
        if self.failed {
            return Err(errors::Error::Failed { path: self.folder.clone() });
        }
        Ok(())
    }
}

fn create_folder<F: FnMut(faults::Operation) -> faults::Fault>(
    folder: &path::Path,
    faults: &mut F,
) -> errors::Result<()> {
    let new: Vec<&path::Path> = folder.ancestors().take_while(|it| !it.is_dir()).collect();
    fs::create_dir_all(folder).map_err(files::failed("create", folder))?;
    // The name of each new folder must be durable, not only the last one's.
    for parent in new.iter().filter_map(|it| it.parent()) {
        let here = parent.as_os_str().is_empty();
        files::sync_folder(if here { path::Path::new(".") } else { parent }, faults)?;
    }
    Ok(())
}

fn read_snapshot(
    folder: &path::Path,
    expected: &records::Header,
    bytes: &[u8],
) -> errors::Result<events::Snapshot> {
    let path = folder.join(SNAPSHOT);
    let (mut reader, header) = records::Reader::open(&path, records::Kind::Snapshot, bytes)?;
    reader.check(&header, expected)?;
    reader.one()
}

/// Writes a log file with what a replay amounts to.
fn rewrite<F: FnMut(faults::Operation) -> faults::Fault>(
    folder: &path::Path,
    header: &records::Header,
    replay: &replay::Replay,
    faults: &mut F,
) -> errors::Result<fs::File> {
    let mut bytes = records::begin(records::Kind::Log, header)?;
    if replay.base > entries::Index::default() {
        records::encode(&records::Record::Base(replay.base), &mut bytes)?;
    }
    if replay.hard_state != events::HardState::default() {
        records::encode(&records::Record::Hard(replay.hard_state.clone()), &mut bytes)?;
    }
    for entry in &replay.entries {
        records::encode(&records::Record::Entry(entry.clone()), &mut bytes)?;
    }
    files::replace(folder, LOG, &bytes, faults)
}

/// Opens the log for appending, without the torn record at its end.
fn cut_tail<F: FnMut(faults::Operation) -> faults::Fault>(
    path: &path::Path,
    whole: usize,
    length: usize,
    faults: &mut F,
) -> errors::Result<fs::File> {
    let open = fs::OpenOptions::new().append(true).open(path);
    let mut file = open.map_err(files::failed("open", path))?;
    if whole < length {
        log::warn!("{}: cutting {} bytes of a torn record", path.display(), length - whole);
        file.set_len(whole as u64).map_err(files::failed("cut", path))?;
    }
    // A record read back after a crash may not be on disk yet; it must be before it is relied on.
    files::append(&mut file, path, &[], faults)?;
    Ok(file)
}
