//! Creates the files of the mesh's certificate authority and of the hosts' certificates.

use std::{fs, path};

use compact_str::format_compact;
use transport::identity;
use world::hosts;

/// The name of the file with the authority's certificate.
pub const AUTHORITY_CERTIFICATE: &str = "authority.pem";
/// The name of the file with the authority's private key.
pub const AUTHORITY_KEY: &str = "authority.key";

/// The paths of a certificate and its private key, both in PEM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Files {
    /// The file with the certificate.
    pub certificate: path::PathBuf,
    /// The file with the private key, which only its owner can read.
    pub key: path::PathBuf,
}

/// Why the files were not created.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// One of the files exists. Existing files are never overwritten.
    #[error("{} exists and is not overwritten\nnext: name another folder with --out", .0.display())]
    Exists(path::PathBuf),
    /// The folder cannot be created.
    #[error("cannot create the folder {}: {source}\nnext: name another with --out, or correct the permissions", folder.display())]
    Folder {
        /// The folder.
        folder: path::PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The files of the authority cannot be read.
    #[error("{0}; create the authority with `heatherwalk keys authority`")]
    Authority(identity::Error),
    /// The certificate cannot be created or its files cannot be written.
    #[error(transparent)]
    Identity(#[from] identity::Error),
}

/// The result of creating a certificate and its key.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Creates the mesh's certificate authority and writes its files into `folder`, which is created if
/// it does not exist. Fails if one of the files exists.
pub fn create_authority(folder: &path::Path) -> Result<Files> {
    let files = authority_files(folder);
    prepare_folder(folder, &files)?;
    identity::Authority::create()?.save(&files.certificate, &files.key)?;
    Ok(files)
}

/// Issues the certificate of `host` for `role`, signed by the authority whose files are in the folder
/// `authority`, and writes `HOST.pem` and `HOST.key` into `folder`, which is created if it does not
/// exist. Fails if one of these files exists.
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
    prepare_folder(folder, &files)?;
    let signer = authority_files(authority);
    let signer = identity::Authority::load(&signer.certificate, &signer.key);
    let issued = signer.map_err(Error::Authority)?.issue(host, role)?;
    issued.save(&files.certificate, &files.key)?;
    Ok(files)
}

fn authority_files(folder: &path::Path) -> Files {
    Files { certificate: folder.join(AUTHORITY_CERTIFICATE), key: folder.join(AUTHORITY_KEY) }
}

/// Creates the folder, unless one of `files` exists.
fn prepare_folder(folder: &path::Path, files: &Files) -> Result<()> {
    let mut paths = [&files.certificate, &files.key].into_iter();
    if let Some(file) = paths.find(|it| it.exists()) {
        return Err(Error::Exists(file.clone()));
    }
    fs::create_dir_all(folder).map_err(|source| Error::Folder { folder: folder.to_owned(), source })
}
