//! The files of the mesh's authority and of the certificates that it issues.

use std::{fs, path};

use compact_str::format_compact;
use transport::identity;
use world::hosts;

/// The file of the authority's certificate.
pub const AUTHORITY_CERTIFICATE: &str = "authority.pem";
/// The file of the authority's private key.
pub const AUTHORITY_KEY: &str = "authority.key";

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
    /// The folder cannot be made.
    #[error("cannot make the folder {}: {source}\nnext: name another with --out, or correct the permissions", folder.display())]
    Folder {
        /// The folder.
        folder: path::PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The authority cannot be used.
    #[error("{0}; make the authority with `heatherwalk keys authority`")]
    Authority(identity::Error),
    /// The certificate cannot be made or written.
    #[error(transparent)]
    Identity(#[from] identity::Error),
}

/// A result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Makes the mesh's authority and writes its files into `folder`.
pub fn create_authority(folder: &path::Path) -> Result<Files> {
    let files = authority_files(folder);
    prepare(folder, &files)?;
    identity::Authority::create()?.save(&files.certificate, &files.key)?;
    Ok(files)
}

/// Issues the certificate of a process, with the authority in the folder `authority`, and writes
/// the files into `folder`.
pub fn issue_host(
    authority: &path::Path,
    host: &str,
    role: hosts::Role,
    folder: &path::Path,
) -> Result<Files> {
    let files = Files {
        certificate: folder.join(format_compact!("{host}.pem")),
        key: folder.join(format_compact!("{host}.key")),
    };
    prepare(folder, &files)?;
    let signer = authority_files(authority);
    let signer = identity::Authority::load(&signer.certificate, &signer.key);
    let issued = signer.map_err(Error::Authority)?.issue(host, role)?;
    issued.save(&files.certificate, &files.key)?;
    Ok(files)
}

fn authority_files(folder: &path::Path) -> Files {
    Files { certificate: folder.join(AUTHORITY_CERTIFICATE), key: folder.join(AUTHORITY_KEY) }
}

fn prepare(folder: &path::Path, files: &Files) -> Result<()> {
    let mut existing = [&files.certificate, &files.key].into_iter();
    if let Some(file) = existing.find(|it| it.exists()) {
        return Err(Error::Exists(file.clone()));
    }
    fs::create_dir_all(folder).map_err(|source| Error::Folder { folder: folder.to_owned(), source })
}
