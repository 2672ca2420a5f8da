//! The files of the mesh's authority and of the certificates that it issues.

use std::{fs, io, io::Write as _, path};

use compact_str::{CompactString, format_compact};
use world::hosts;

/// The file of the authority's certificate.
pub const AUTHORITY_CERTIFICATE: &str = "authority.pem";
/// The file of the authority's private key.
pub const AUTHORITY_KEY: &str = "authority.key";

/// A certificate and its private key, both as PEM.
#[derive(Clone, Eq, PartialEq)]
pub struct Pem {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// Where a certificate and its private key are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Files {
    /// The certificate.
    pub certificate: path::PathBuf,
    /// The private key.
    pub key: path::PathBuf,
}

/// An error of this module.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file is there already.
    #[error("{} exists already; it is not overwritten, choose another folder", .0.display())]
    Exists(path::PathBuf),
    /// A file cannot be read.
    #[error("cannot read {}: {source}; make the authority with `heatherwalk keys authority`", file.display())]
    Read {
        /// The file.
        file: path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file or folder cannot be written.
    #[error("cannot write {}: {source}", file.display())]
    Write {
        /// The file or folder.
        file: path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The certificate cannot be made.
    #[error("cannot make the certificate: {0}")]
    Make(CompactString),
}

/// A result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Makes the mesh's authority with `create` and writes its files into `folder`.
pub fn write_authority(folder: &path::Path, create: impl FnOnce() -> Result<Pem>) -> Result<Files> {
    let files = authority_files(folder);
    check_absent(&files)?;
    write(folder, files, create()?)
}

/// Issues a certificate with `issue`, which gets the authority's PEM, the host's name and its
/// role, and writes the files into `folder`.
pub fn write_host(
    authority: &path::Path,
    host: &str,
    role: hosts::Role,
    folder: &path::Path,
    issue: impl FnOnce(&Pem, &str, hosts::Role) -> Result<Pem>,
) -> Result<Files> {
    let files = Files {
        certificate: folder.join(format_compact!("{host}.pem")),
        key: folder.join(format_compact!("{host}.key")),
    };
    check_absent(&files)?;
    let signer = read(&authority_files(authority))?;
    write(folder, files, issue(&signer, host, role)?)
}

fn authority_files(folder: &path::Path) -> Files {
    Files { certificate: folder.join(AUTHORITY_CERTIFICATE), key: folder.join(AUTHORITY_KEY) }
}

fn check_absent(files: &Files) -> Result<()> {
    let mut files = [&files.certificate, &files.key].into_iter();
    files.find(|it| it.exists()).map_or(Ok(()), |it| Err(Error::Exists(it.clone())))
}

fn read(files: &Files) -> Result<Pem> {
    let text = |file: &path::PathBuf| {
        fs::read_to_string(file).map_err(|source| Error::Read { file: file.clone(), source })
    };
    Ok(Pem { certificate: text(&files.certificate)?, key: text(&files.key)? })
}

fn write(folder: &path::Path, files: Files, pem: Pem) -> Result<Files> {
    fs::create_dir_all(folder)
        .map_err(|source| Error::Write { file: folder.to_owned(), source })?;
    write_file(&files.key, &pem.key, 0o600)?;
    let written = write_file(&files.certificate, &pem.certificate, 0o644);
    if written.is_err() {
        // A key without its certificate would block the next try.
        let _ = fs::remove_file(&files.key);
    }
    written.map(|()| files)
}

fn write_file(file: &path::Path, text: &str, mode: u32) -> Result<()> {
    use std::os::unix::fs::OpenOptionsExt as _;
    let mut options = fs::OpenOptions::new();
    // The mode is set at creation, so the key is never readable by others.
    let created = options.write(true).create_new(true).mode(mode).open(file);
    let written = created.and_then(|mut it| {
        it.write_all(text.as_bytes())?;
        it.sync_all()
    });
    written.map_err(|source| match source.kind() {
        io::ErrorKind::AlreadyExists => Error::Exists(file.to_owned()),
        _ => Error::Write { file: file.to_owned(), source },
    })
}
