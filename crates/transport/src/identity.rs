//! The certificate authority of a mesh, and the certificates of its processes.
//!
//! Certificates do not expire and cannot be revoked one by one. To exclude a process, a mesh has to
//! create a new authority. The DNS name `<host>.<role>.heatherwalk` in a certificate states the
//! host and role of the process.

use std::{fs, io, io::Write as _, path};

use compact_str::{CompactString, ToCompactString as _};
use rustls::pki_types::{self, pem::PemObject as _};
use sha2::Digest as _;
use world::hosts;

use crate::names;

/// Permissions of a file with a private key: only the owner may read and write it.
const KEY_MODE: u32 = 0o600;
/// Separates the key derived from a secret from other uses of the secret.
const SECRET_CONTEXT: &[u8] = b"heatherwalk authority key 1\0";
/// Separates the key of stateless resets from other uses of the key that it is derived from.
const RESET_CONTEXT: &[u8] = b"heatherwalk reset key 1\0";
/// The DER bytes before the 32 bytes of an Ed25519 key in PKCS #8 (RFC 8410).
const ED25519_PREFIX: &[u8] = &[
    0x30, 0x2e, 0x02, 0x01, 0x00, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
];
/// The subject of the authority's certificate. All authorities have the same subject; they differ
/// by their keys.
const AUTHORITY_NAME: &str = "heatherwalk authority";

/// Why a certificate or key could not be created, read, written or accepted.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// A key or certificate could not be created.
    #[error("cannot issue the certificate: {0}")]
    Create(CompactString),
    /// A file could not be read or written.
    #[error("{path}: {reason}")]
    File {
        /// The path of the file.
        path: CompactString,
        /// The error of the operating system.
        reason: CompactString,
    },
    /// The host name is not a DNS name in lower case.
    #[error("{0:?} is not a host name of lower-case letters, digits, hyphens and dots")]
    HostName(CompactString),
    /// The certificate does not name exactly one host and role, or the peer sent none.
    #[error("the certificate does not name one host and role")]
    Names,
    /// The text is not PEM, or contains no item of the expected kind.
    #[error("malformed PEM: {0}")]
    Pem(CompactString),
}

/// The result of an operation on certificates and keys.
pub type Result<T> = std::result::Result<T, Error>;

/// The identity of a process, as stated by its certificate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The host name, a DNS name in lower case.
    pub host: CompactString,
    /// Whether the process is a control or a node.
    pub role: hosts::Role,
}

/// A certificate and its private key in PEM.
#[derive(Clone)]
pub struct Pem {
    /// The certificate, without the authority's.
    pub certificate: String,
    /// The private key that belongs to the certificate.
    pub key: String,
}

/// The certificate authority of a mesh.
pub struct Authority {
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
    pem: Pem,
}

/// The certificate and key of a process, and the certificate of the authority that it trusts.
pub struct Identity {
    pub(crate) certificate: pki_types::CertificateDer<'static>,
    pub(crate) key: pki_types::PrivateKeyDer<'static>,
    pub(crate) authority: pki_types::CertificateDer<'static>,
    /// The key of stateless resets. It is the same after a restart of the process, so that peers
    /// can be told that the links of the previous process no longer exist.
    pub(crate) reset: [u8; 32],
    peer: Peer,
    pem: Pem,
}

impl Authority {
    /// Creates an authority with a new random key.
    pub fn create() -> Result<Authority> {
        let key = rcgen::KeyPair::generate()?;
        let params = authority_params();
        let certificate = params.self_signed(&key)?;
        let pem = Pem { certificate: certificate.pem(), key: key.serialize_pem() };
        Ok(Authority { issuer: rcgen::Issuer::new(params, key), pem })
    }

    /// Derives an authority from a shared secret. The same secret always gives the same authority.
    /// Whoever knows the secret can issue a certificate for any host, so this protects the mesh
    /// from processes outside, but not its processes from each other.
    pub fn from_secret(secret: &str) -> Result<Authority> {
        let seed = sha2::Sha256::new_with_prefix(SECRET_CONTEXT).chain_update(secret).finalize();
        let der = pki_types::PrivatePkcs8KeyDer::from([ED25519_PREFIX, seed.as_slice()].concat());
        let key = rcgen::KeyPair::from_pkcs8_der_and_sign_algo(&der, &rcgen::PKCS_ED25519)?;
        let params = authority_params();
        let certificate = params.self_signed(&key)?;
        let pem = Pem { certificate: certificate.pem(), key: key.serialize_pem() };
        Ok(Authority { issuer: rcgen::Issuer::new(params, key), pem })
    }

    /// Reads an authority from PEM.
    pub fn from_pem(pem: Pem) -> Result<Authority> {
        read_certificate(&pem.certificate)?;
        let key = rcgen::KeyPair::from_pem(&pem.key)?;
        Ok(Authority { issuer: rcgen::Issuer::new(authority_params(), key), pem })
    }

    /// Reads an authority from two PEM files.
    pub fn load(certificate: &path::Path, key: &path::Path) -> Result<Authority> {
        Authority::from_pem(load_pem(certificate, key)?)
    }

    /// Writes the authority to two PEM files. Fails if one of them exists.
    pub fn save(&self, certificate: &path::Path, key: &path::Path) -> Result<()> {
        save_pem(&self.pem, certificate, key)
    }

    /// The certificate and key in PEM.
    pub fn pem(&self) -> &Pem {
        &self.pem
    }

    /// Issues a certificate, with a new key, for the process on `host` that has this role. Fails if
    /// `host` is not a DNS name in lower case.
    pub fn issue(&self, host: &str, role: hosts::Role) -> Result<Identity> {
        names::check_host(host)?;
        let peer = Peer { host: host.into(), role };
        let alt_names = vec![names::role_name(&peer), names::host_name(host)];
        let mut params = rcgen::CertificateParams::new(alt_names)?;
        params.distinguished_name = subject(host);
        params.key_usages = vec![rcgen::KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            rcgen::ExtendedKeyUsagePurpose::ClientAuth,
            rcgen::ExtendedKeyUsagePurpose::ServerAuth,
        ];
        let key = rcgen::KeyPair::generate()?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        let pem = Pem { certificate: certificate.pem(), key: key.serialize_pem() };
        let mut identity = Identity::from_pem(pem, &self.pem.certificate)?;
        // A process may get a new key at each start, while the key of the authority stays the same.
        identity.reset = reset_key(&self.pem.key, &identity.peer);
        Ok(identity)
    }
}

impl Identity {
    /// Reads an identity from PEM. `authority` is the certificate of the authority to trust.
    pub fn from_pem(pem: Pem, authority: &str) -> Result<Identity> {
        let certificate = read_certificate(&pem.certificate)?;
        let key = pki_types::PrivateKeyDer::from_pem_slice(pem.key.as_bytes())?;
        let authority = read_certificate(authority)?;
        let peer = names::read_peer(&certificate)?;
        let reset = reset_key(&pem.key, &peer);
        Ok(Identity { certificate, key, authority, reset, peer, pem })
    }

    /// Reads an identity from three PEM files.
    pub fn load(
        certificate: &path::Path,
        key: &path::Path,
        authority: &path::Path,
    ) -> Result<Identity> {
        Identity::from_pem(load_pem(certificate, key)?, &read_file(authority)?)
    }

    /// Writes the certificate and the key to two PEM files. Fails if one of them exists.
    pub fn save(&self, certificate: &path::Path, key: &path::Path) -> Result<()> {
        save_pem(&self.pem, certificate, key)
    }

    /// The certificate and key in PEM.
    pub fn pem(&self) -> &Pem {
        &self.pem
    }

    /// The host and role in the certificate.
    pub fn peer(&self) -> &Peer {
        &self.peer
    }
}

impl From<rcgen::Error> for Error {
    fn from(error: rcgen::Error) -> Error {
        Error::Create(error.to_compact_string())
    }
}

impl From<pki_types::pem::Error> for Error {
    fn from(error: pki_types::pem::Error) -> Error {
        Error::Pem(error.to_compact_string())
    }
}

/// Derives the key of stateless resets from a private key and the process's name.
fn reset_key(key: &str, peer: &Peer) -> [u8; 32] {
    let sha = sha2::Sha256::new_with_prefix(RESET_CONTEXT);
    sha.chain_update(names::role_name(peer)).chain_update(key).finalize().into()
}

fn authority_params() -> rcgen::CertificateParams {
    let mut params = rcgen::CertificateParams::default();
    params.distinguished_name = subject(AUTHORITY_NAME);
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Constrained(0));
    params.key_usages = vec![rcgen::KeyUsagePurpose::KeyCertSign];
    params
}

fn subject(name: &str) -> rcgen::DistinguishedName {
    let mut subject = rcgen::DistinguishedName::new();
    subject.push(rcgen::DnType::CommonName, name);
    subject
}

fn read_certificate(pem: &str) -> Result<pki_types::CertificateDer<'static>> {
    Ok(pki_types::CertificateDer::from_pem_slice(pem.as_bytes())?)
}

fn load_pem(certificate: &path::Path, key: &path::Path) -> Result<Pem> {
    Ok(Pem { certificate: read_file(certificate)?, key: read_file(key)? })
}

fn save_pem(pem: &Pem, certificate: &path::Path, key: &path::Path) -> Result<()> {
    write_key(key, &pem.key).map_err(|it| file_error(key, it))?;
    write_new(certificate, &pem.certificate).map_err(|it| file_error(certificate, it))
}

fn read_file(path: &path::Path) -> Result<String> {
    fs::read_to_string(path).map_err(|it| file_error(path, it))
}

fn write_key(path: &path::Path, text: &str) -> io::Result<()> {
    use std::os::unix::fs::OpenOptionsExt as _;
    let mut options = fs::OpenOptions::new();
    let mut file = options.write(true).create_new(true).mode(KEY_MODE).open(path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

fn write_new(path: &path::Path, text: &str) -> io::Result<()> {
    let mut file = fs::File::create_new(path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

fn file_error(path: &path::Path, error: io::Error) -> Error {
    Error::File { path: path.display().to_compact_string(), reason: error.to_compact_string() }
}
