//! Durable file operations: appending, replacing and locking.

use std::{fs, io, io::Write as _, path};

use crate::{errors, faults};

const LOCK_FILE: &str = "lock";

/// An exclusive lock on a folder, held until it is dropped.
#[derive(Debug)]
pub(crate) struct FolderLock(fs::File);

impl FolderLock {
    pub(crate) fn acquire(folder: &path::Path) -> errors::Result<FolderLock> {
        let path = folder.join(LOCK_FILE);
        let file = fs::File::create(&path).map_err(io_error("create", &path))?;
        match file.try_lock() {
            Ok(()) => Ok(FolderLock(file)),
            Err(fs::TryLockError::WouldBlock) => Err(errors::Error::Locked { path }),
            Err(fs::TryLockError::Error(error)) => Err(io_error("lock", &path)(error)),
        }
    }
}

impl Drop for FolderLock {
    /// Unlocks the file explicitly. Closing it is not enough: a child process that was forked
    /// meanwhile has a copy of the descriptor, and with it the lock, until it calls exec.
    fn drop(&mut self) {
        if let Err(error) = self.0.unlock() {
            log::warn!("cannot unlock a lock file: {error}");
        }
    }
}

/// Returns a function that adds the action and the path to an error of the operating system.
pub(crate) fn io_error(
    action: &'static str,
    path: &path::Path,
) -> impl FnOnce(io::Error) -> errors::Error {
    move |source| errors::Error::Io { action, path: path.to_path_buf(), source }
}

fn injected_fault() -> io::Error {
    io::Error::other("injected fault")
}

/// Appends `bytes` to an open file and syncs it.
pub(crate) fn append<F: FnMut(faults::Operation) -> faults::Fault>(
    file: &mut fs::File,
    path: &path::Path,
    bytes: &[u8],
    faults: &mut F,
) -> errors::Result<()> {
    let written = match faults(faults::Operation::Write(bytes.len())) {
        faults::Fault::None => file.write_all(bytes),
        faults::Fault::Fail => Err(injected_fault()),
        faults::Fault::Torn(count) => {
            let part = &bytes[..count.min(bytes.len())];
            file.write_all(part).and_then(|()| Err(injected_fault()))
        }
    };
    written.map_err(io_error("write", path))?;
    sync(file, path, faults)
}

fn sync<F: FnMut(faults::Operation) -> faults::Fault>(
    file: &fs::File,
    path: &path::Path,
    faults: &mut F,
) -> errors::Result<()> {
    let synced = match faults(faults::Operation::Sync) {
        faults::Fault::None => file.sync_all(),
        _ => Err(injected_fault()),
    };
    synced.map_err(io_error("sync", path))
}

/// Syncs a folder, so that the names of files created or renamed in it are durable.
pub(crate) fn sync_folder<F: FnMut(faults::Operation) -> faults::Fault>(
    folder: &path::Path,
    faults: &mut F,
) -> errors::Result<()> {
    let file = fs::File::open(folder).map_err(io_error("open", folder))?;
    sync(&file, folder, faults)
}

/// Atomically replaces the file `name` in `folder` by one with the content `bytes`, syncs it, and
/// returns it open for appending.
pub(crate) fn replace<F: FnMut(faults::Operation) -> faults::Fault>(
    folder: &path::Path,
    name: &str,
    bytes: &[u8],
    faults: &mut F,
) -> errors::Result<fs::File> {
    let temporary = folder.join(format!("{name}.new"));
    let target = folder.join(name);
    let mut file = fs::File::create(&temporary).map_err(io_error("create", &temporary))?;
    append(&mut file, &temporary, bytes, faults)?;
    let renamed = match faults(faults::Operation::Rename) {
        faults::Fault::None => fs::rename(&temporary, &target),
        _ => Err(injected_fault()),
    };
    renamed.map_err(io_error("rename", &temporary))?;
    sync_folder(folder, faults)?;
    Ok(file)
}

/// Reads a whole file. Returns `None` if it does not exist.
pub(crate) fn read(path: &path::Path) -> errors::Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(io_error("read", path)(error)),
    }
}

/// Opens a file for appending, after truncating it from `length` to `valid` bytes to remove
/// an incomplete record.
pub(crate) fn open_for_append<F: FnMut(faults::Operation) -> faults::Fault>(
    path: &path::Path,
    valid: usize,
    length: usize,
    faults: &mut F,
) -> errors::Result<fs::File> {
    let open = fs::OpenOptions::new().append(true).open(path);
    let mut file = open.map_err(io_error("open", path))?;
    if valid < length {
        log::warn!("{}: removing {} bytes of an incomplete record", path.display(), length - valid);
        file.set_len(valid as u64).map_err(io_error("truncate", path))?;
    }
    // After a crash, records that were read may not be on disk yet. Sync them before they are used.
    append(&mut file, path, &[], faults)?;
    Ok(file)
}
