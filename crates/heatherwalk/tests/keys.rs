//! The files of the authority and of hosts.

use std::{fs, os::unix::fs::PermissionsExt as _};

use heatherwalk::keys;
use world::hosts;

fn pem(name: &str) -> keys::Pem {
    keys::Pem { certificate: format!("{name} certificate"), key: format!("{name} key") }
}

/// Guards against an existing key that is overwritten, a key that others can read, and a
/// certificate signed by something else than the files of the authority.
#[test]
fn key_files() {
    let folder = tempfile::tempdir().expect("a folder for the files");
    let authority = folder.path().join("new/authority");
    let issue = |signer: &keys::Pem, host: &str, role| {
        Ok(pem(&format!("{host} {role:?} by {}", signer.key)))
    };
    let node = hosts::Role::Node;
    let early = keys::write_host(&authority, "a-1", node, folder.path(), issue);
    assert!(matches!(early, Err(keys::Error::Read { .. })), "there is no authority yet");
    let files = keys::write_authority(&authority, || Ok(pem("authority"))).expect("written");
    assert_eq!(files.key, authority.join("authority.key"));
    let host = keys::write_host(&authority, "a-1", node, folder.path(), issue).expect("written");
    for file in [&files.key, &host.key] {
        let mode = fs::metadata(file).expect("the key").permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{}", file.display());
    }
    let text = fs::read_to_string(&host.certificate).expect("the certificate");
    assert_eq!(text, "a-1 Node by authority key certificate");
    let again = keys::write_authority(&authority, || panic!("nothing is made in vain"));
    assert!(matches!(again, Err(keys::Error::Exists(_))));
    fs::remove_file(&host.key).expect("removed");
    let half = keys::write_host(&authority, "a-1", node, folder.path(), issue);
    assert!(matches!(half, Err(keys::Error::Exists(it)) if it == host.certificate));
    assert!(!host.key.exists());
}
