//! The log and snapshot of a group in a folder.

use std::{fs, path};

use agreement::{entries, events};
use compact_str::CompactString;

use crate::{errors, faults, files, records, replay};

const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";
const CAUGHT_UP: &str = "caught-up";

/// An open log on disk. Every change is synced before its function returns.
///
/// After a failed write or sync, all further changes of the log and the snapshot fail with
/// [`errors::Error::Unusable`] until [`Log::reopen`]: a second sync may report success although the
/// operating system has dropped the data.
#[derive(Debug)]
pub struct Log<F = fn(faults::Operation) -> faults::Fault> {
    folder: path::PathBuf,
    header: records::Header,
    file: fs::File,
    restored: events::Restored,
    unusable: bool,
    faults: F,
    lock: Option<files::FolderLock>,
}

impl Log {
    /// Opens the log `name` in `folder` and locks the folder. If there is no log, it is created
    /// with a new random disk ID, and so is the folder. An incomplete record at the end of the log
    /// is removed; other damage is an error.
    pub fn open(folder: &path::Path, name: &str) -> errors::Result<Log> {
        Log::open_with_faults(folder, name, faults::none as fn(faults::Operation) -> faults::Fault)
    }
}

impl<F: FnMut(faults::Operation) -> faults::Fault> Log<F> {
    /// The same as [`Log::open`], with a function that injects faults into file operations.
    pub fn open_with_faults(
        folder: &path::Path,
        name: &str,
        mut faults: F,
    ) -> errors::Result<Log<F>> {
        create_folder(folder, &mut faults)?;
        let lock = files::FolderLock::acquire(folder)?;
        let path = folder.join(LOG);
        let snapshot = files::read(&folder.join(SNAPSHOT))?;
        let Some(bytes) = files::read(&path)? else {
            if snapshot.is_some() {
                return Err(errors::Error::Missing { path });
            }
            return Log::create(folder, name, faults, lock);
        };
        let Content { header, snapshot, replay, trimmed, valid } =
            Content::read(folder, name, &bytes, snapshot.as_deref())?;
        let file = if trimmed {
            write_log(folder, &header, &replay, &mut faults)?
        } else {
            files::open_for_append(&path, valid, bytes.len(), &mut faults)?
        };
        let restored = restore(replay, snapshot);
        let folder = folder.to_path_buf();
        Ok(Log { folder, header, file, restored, unusable: false, faults, lock: Some(lock) })
    }

    fn create(
        folder: &path::Path,
        name: &str,
        mut faults: F,
        lock: files::FolderLock,
    ) -> errors::Result<Log<F>> {
        let header = records::Header::new(name, entries::DiskId(rand::random()));
        log::info!("creating log {name} in {} with disk ID {}", folder.display(), header.disk_id());
        let file = write_log(folder, &header, &replay::Replay::default(), &mut faults)?;
        let restored = events::Restored::default();
        let folder = folder.to_path_buf();
        Ok(Log { folder, header, file, restored, unusable: false, faults, lock: Some(lock) })
    }

    /// The random ID that the folder got when the log was created in it.
    pub fn disk_id(&self) -> entries::DiskId {
        self.header.disk_id()
    }

    /// The name of the log.
    pub fn name(&self) -> &CompactString {
        &self.header.name
    }

    /// Makes the log usable again after a failed change: reads the files, and replaces the log by a
    /// new file with the same content. Of the old file, the operating system may have dropped data
    /// that it still returns. What was read is returned by [`Log::take_restored`]; it has everything
    /// that was synced before the failure.
    pub fn reopen(&mut self) -> errors::Result<()> {
        let path = self.folder.join(LOG);
        let snapshot = files::read(&self.folder.join(SNAPSHOT))?;
        let Some(bytes) = files::read(&path)? else {
            return Err(errors::Error::Missing { path });
        };
        let name = self.header.name.clone();
        let content = Content::read(&self.folder, &name, &bytes, snapshot.as_deref())?;
        self.file = write_log(&self.folder, &content.header, &content.replay, &mut self.faults)?;
        self.restored = restore(content.replay, content.snapshot);
        self.unusable = false;
        Ok(())
    }

    /// Unlocks the folder for other processes. All further changes of the log and the snapshot fail
    /// with [`errors::Error::Unusable`].
    pub fn close(&mut self) {
        self.unusable = true;
        self.lock = None;
    }

    /// Whether this disk has ever held everything that its group had committed, as recorded by
    /// [`Log::mark_caught_up`].
    pub fn is_caught_up(&self) -> bool {
        // A file that was copied from another disk does not count.
        let text = fs::read_to_string(self.folder.join(CAUGHT_UP));
        text.is_ok_and(|it| it == self.disk_id().to_string())
    }

    /// Records durably that this disk holds everything that its group had committed.
    pub fn mark_caught_up(&mut self) -> errors::Result<()> {
        let text = self.disk_id().to_string();
        files::replace(&self.folder, CAUGHT_UP, text.as_bytes(), &mut self.faults).map(drop)
    }

    /// Takes the state that was read when the log was opened. Later calls return an empty state.
    pub fn take_restored(&mut self) -> events::Restored {
        std::mem::take(&mut self.restored)
    }

    /// Executes a `Persist` effect of the consensus with one write and one sync.
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
        self.append_bytes(&bytes)
    }

    /// Appends entries, whose indexes must follow the last entry. That is checked only when the log
    /// is opened.
    pub fn append(&mut self, entries: &[entries::Entry]) -> errors::Result<()> {
        self.persist(&events::Persist { entries: entries.to_vec(), ..Default::default() })
    }

    /// Removes the entries at and after the index `from`.
    pub fn truncate(&mut self, from: entries::Index) -> errors::Result<()> {
        self.persist(&events::Persist { truncate: Some(from), ..Default::default() })
    }

    /// Replaces the hard state.
    pub fn save_hard_state(&mut self, hard: &events::HardState) -> errors::Result<()> {
        self.persist(&events::Persist { hard_state: Some(hard.clone()), ..Default::default() })
    }

    /// Replaces the snapshot, and then the log by one without the entries that the snapshot covers.
    /// If the log has another entry at the last position of the snapshot, all entries are removed.
    pub fn save_snapshot(&mut self, snapshot: &events::Snapshot) -> errors::Result<()> {
        self.check_usable()?;
        // Set before the first step, so that the log is unusable if any step fails.
        self.unusable = true;
        let mut bytes = records::file_header(records::FileKind::Snapshot, &self.header)?;
        records::encode(snapshot, &mut bytes)?;
        files::replace(&self.folder, SNAPSHOT, &bytes, &mut self.faults)?;
        let path = self.folder.join(LOG);
        let Some(bytes) = files::read(&path)? else {
            return Err(errors::Error::Missing { path });
        };
        let (mut reader, _) = records::Reader::open(&path, records::FileKind::Log, &bytes)?;
        let mut replay = replay::Replay::read(&mut reader)?;
        if replay.discard_covered(snapshot.last).is_none() {
            return Err(reader.corrupt("entries between the snapshot and the log are missing"));
        }
        self.file = write_log(&self.folder, &self.header, &replay, &mut self.faults)?;
        self.unusable = false;
        Ok(())
    }

    fn append_bytes(&mut self, bytes: &[u8]) -> errors::Result<()> {
        self.check_usable()?;
        if bytes.is_empty() {
            return Ok(());
        }
        let path = self.folder.join(LOG);
        let result = files::append(&mut self.file, &path, bytes, &mut self.faults);
        self.unusable = result.is_err();
        result
    }

    fn check_usable(&self) -> errors::Result<()> {
        if self.unusable {
            return Err(errors::Error::Unusable { path: self.folder.clone() });
        }
        Ok(())
    }
}

/// What the files of a log contain.
struct Content {
    header: records::Header,
    snapshot: Option<events::Snapshot>,
    replay: replay::Replay,
    /// Whether the log has entries that the snapshot covers, which `replay` leaves out.
    trimmed: bool,
    /// The length of the complete records of the log, in bytes.
    valid: usize,
}

impl Content {
    /// Decodes the files of the log `name`.
    fn read(
        folder: &path::Path,
        name: &str,
        log: &[u8],
        snapshot: Option<&[u8]>,
    ) -> errors::Result<Content> {
        let path = folder.join(LOG);
        let (mut reader, header) = records::Reader::open(&path, records::FileKind::Log, log)?;
        let expected = records::Header::new(name, header.disk_id());
        reader.check_owner(&header, &expected)?;
        let snapshot = snapshot.map(|it| read_snapshot(folder, &header, it)).transpose()?;
        let mut replay = replay::Replay::read(&mut reader)?;
        let base = snapshot.as_ref().map_or(entries::Position::default(), |it| it.last);
        if replay.base > base.index {
            return Err(errors::Error::Missing { path: folder.join(SNAPSHOT) });
        }
        let Some(trimmed) = replay.discard_covered(base) else {
            return Err(reader.corrupt("entries between the snapshot and the log are missing"));
        };
        let valid = reader.offset();
        Ok(Content { header, snapshot, replay, trimmed, valid })
    }
}

fn restore(replay: replay::Replay, snapshot: Option<events::Snapshot>) -> events::Restored {
    let replay::Replay { hard_state, entries, .. } = replay;
    events::Restored { hard_state, snapshot, entries }
}

fn create_folder<F: FnMut(faults::Operation) -> faults::Fault>(
    folder: &path::Path,
    faults: &mut F,
) -> errors::Result<()> {
    let new: Vec<&path::Path> = folder.ancestors().take_while(|it| !it.is_dir()).collect();
    fs::create_dir_all(folder).map_err(files::io_error("create", folder))?;
    // The name of each new folder must be durable, not only that of the last one.
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
    let (mut reader, header) = records::Reader::open(&path, records::FileKind::Snapshot, bytes)?;
    reader.check_owner(&header, expected)?;
    reader.read_one()
}

/// Replaces the log file by one with the state of a replay.
fn write_log<F: FnMut(faults::Operation) -> faults::Fault>(
    folder: &path::Path,
    header: &records::Header,
    replay: &replay::Replay,
    faults: &mut F,
) -> errors::Result<fs::File> {
    let mut bytes = records::file_header(records::FileKind::Log, header)?;
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
