//! A file of records that are appended and read again after a restart.

use std::{fs, path};

use agreement::entries;
use serde::{Serialize, de};

use crate::{errors, faults, files, records};

/// An open journal on disk. Every change is synced before its function returns.
///
/// After a failed write or sync, [`Journal::append`] fails with [`errors::Error::Unusable`] until
/// [`Journal::rewrite`] has replaced the file: a second sync may report success although the
/// operating system has dropped the data.
#[derive(Debug)]
pub struct Journal<F = fn(faults::Operation) -> faults::Fault> {
    folder: path::PathBuf,
    name: &'static str,
    header: records::Header,
    /// The file, open for appending; none after a failure.
    file: Option<fs::File>,
    /// How many records the file has.
    len: usize,
    faults: F,
}

impl Journal {
    /// Opens the journal in the file `name` of `folder`, which must exist, and returns its records.
    /// If there is no file, it is created. An incomplete record at its end is removed; other damage
    /// is an error.
    pub fn open<T: Serialize + de::DeserializeOwned>(
        folder: &path::Path,
        name: &'static str,
    ) -> errors::Result<(Journal, Vec<T>)> {
        let faults = faults::none as fn(faults::Operation) -> faults::Fault;
        Journal::open_with_faults(folder, name, faults)
    }

    /// Replaces whatever is in the file `name` of `folder` by an empty journal.
    pub fn create(folder: &path::Path, name: &'static str) -> errors::Result<Journal> {
        let faults = faults::none as fn(faults::Operation) -> faults::Fault;
        let mut journal = Journal::new(folder, name, faults);
        journal.rewrite::<()>(&[])?;
        Ok(journal)
    }
}

impl<F: FnMut(faults::Operation) -> faults::Fault> Journal<F> {
    /// The same as [`Journal::open`], with a function that injects faults into file operations.
    pub fn open_with_faults<T: Serialize + de::DeserializeOwned>(
        folder: &path::Path,
        name: &'static str,
        faults: F,
    ) -> errors::Result<(Journal<F>, Vec<T>)> {
        let mut journal = Journal::new(folder, name, faults);
        let path = folder.join(name);
        let Some(bytes) = files::read(&path)? else {
            journal.rewrite::<T>(&[])?;
            return Ok((journal, Vec::new()));
        };
        let (mut reader, header) =
            records::Reader::open(&path, records::FileKind::Journal, &bytes)?;
        reader.check_owner(&header, &records::Header::new(name, header.disk_id()))?;
        let mut read = Vec::new();
        while let Some(record) = reader.read_next()? {
            read.push(record);
        }
        let file =
            files::open_for_append(&path, reader.offset(), bytes.len(), &mut journal.faults)?;
        (journal.header, journal.file, journal.len) = (header, Some(file), read.len());
        Ok((journal, read))
    }

    fn new(folder: &path::Path, name: &'static str, faults: F) -> Journal<F> {
        let header = records::Header::new(name, entries::DiskId(rand::random()));
        Journal { folder: folder.to_path_buf(), name, header, file: None, len: 0, faults }
    }

    /// How many records the file has.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the file has no records.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether the last change succeeded, so that records can be appended.
    pub fn is_usable(&self) -> bool {
        self.file.is_some()
    }

    /// Appends records with one write and one sync.
    pub fn append<T: Serialize>(&mut self, records: &[T]) -> errors::Result<()> {
        let path = self.folder.join(self.name);
        let Some(mut file) = self.file.take() else {
            return Err(errors::Error::Unusable { path });
        };
        let mut bytes = Vec::new();
        for record in records {
            records::encode(record, &mut bytes)?;
        }
        files::append(&mut file, &path, &bytes, &mut self.faults)?;
        self.file = Some(file);
        self.len += records.len();
        Ok(())
    }

    /// Replaces all records by these.
    pub fn rewrite<T: Serialize>(&mut self, records: &[T]) -> errors::Result<()> {
        self.file = None;
        let mut bytes = records::file_header(records::FileKind::Journal, &self.header)?;
        for record in records {
            records::encode(record, &mut bytes)?;
        }
        self.file = Some(files::replace(&self.folder, self.name, &bytes, &mut self.faults)?);
        self.len = records.len();
        Ok(())
    }
}
