//! Writing, syncing and replacing files.

use std::{fs, io, io::Write as _, path};

use crate::{errors, faults};

const LOCK: &str = "lock";

/// Held so that no second process opens the folder.
#[derive(Debug)]
pub(crate) struct Lock(fs::File);

impl Lock {
    pub(crate) fn take(folder: &path::Path) -> errors::Result<Lock> {
        let path = folder.join(LOCK);
        let file = fs::File::create(&path).map_err(failed("create", &path))?;
        match file.try_lock() {
            Ok(()) => Ok(Lock(file)),
            Err(fs::TryLockError::WouldBlock) => Err(errors::Error::Locked { path }),
            Err(fs::TryLockError::Error(error)) => Err(failed("lock", &path)(error)),
        }
    }
}

impl Drop for Lock {
    /// Closing the file is not enough: a child process that was forked meanwhile holds a copy of
    /// the descriptor, and the lock with it, until it runs its own program.
    fn drop(&mut self) {
        if let Err(error) = self.0.unlock() {
            log::warn!("cannot release a lock file: {error}");
        }
    }
}

/// Turns a report of the operating system into an error with its place.
pub(crate) fn failed(
    action: &'static str,
    path: &path::Path,
) -> impl FnOnce(io::Error) -> errors::Error {
    move |source| errors::Error::Io { action, path: path.to_path_buf(), source }
}

fn injected() -> io::Error {
    io::Error::other("injected fault")
}

/// Writes and syncs `bytes` at the end of an open file.
pub(crate) fn append<F: FnMut(faults::Operation) -> faults::Fault>(
    file: &mut fs::File,
    path: &path::Path,
    bytes: &[u8],
    faults: &mut F,
) -> errors::Result<()> {
    let written = match faults(faults::Operation::Write(bytes.len())) {
        faults::Fault::None => file.write_all(bytes),
        faults::Fault::Fail => Err(injected()),
        faults::Fault::Torn(count) => {
            let part = &bytes[..count.min(bytes.len())];
            file.write_all(part).and_then(|()| Err(injected()))
        }
    };
    written.map_err(failed("write", path))?;
    sync(file, path, faults)
}

fn sync<F: FnMut(faults::Operation) -> faults::Fault>(
    file: &fs::File,
    path: &path::Path,
    faults: &mut F,
) -> errors::Result<()> {
    let synced = match faults(faults::Operation::Sync) {
        faults::Fault::None => file.sync_all(),
        _ => Err(injected()),
    };
    synced.map_err(failed("sync", path))
}

/// Syncs a folder, so that names created in it are durable.
pub(crate) fn sync_folder<F: FnMut(faults::Operation) -> faults::Fault>(
    folder: &path::Path,
    faults: &mut F,
) -> errors::Result<()> {
    let file = fs::File::open(folder).map_err(failed("open", folder))?;
    sync(&file, folder, faults)
}

/// Replaces the file `name` in `folder` and returns it open for appending.
pub(crate) fn replace<F: FnMut(faults::Operation) -> faults::Fault>(
    folder: &path::Path,
    name: &str,
    bytes: &[u8],
    faults: &mut F,
) -> errors::Result<fs::File> {
    let fresh = folder.join(format!("{name}.new"));
    let target = folder.join(name);
    let mut file = fs::File::create(&fresh).map_err(failed("create", &fresh))?;
    append(&mut file, &fresh, bytes, faults)?;
    let renamed = match faults(faults::Operation::Rename) {
        faults::Fault::None => fs::rename(&fresh, &target),
        _ => Err(injected()),
    };
    renamed.map_err(failed("rename", &fresh))?;
    sync_folder(folder, faults)?;
    Ok(file)
}

/// Reads a whole file; none when there is no such file.
pub(crate) fn read(path: &path::Path) -> errors::Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(failed("read", path)(error)),
    }
}
