//! The files of the certificate authority and of hosts' certificates.

use std::{fs, os::unix::fs::PermissionsExt as _};

use heatherwalk::keys;
use transport::identity;
use world::hosts;

/// Guards against an existing key that is overwritten, a key that other users can read, and a
/// certificate with another host or role than requested.
#[test]
fn key_files() {
    let folder = tempfile::tempdir().expect("a folder for the files");
    let authority = folder.path().join("new/authority");
    let node = hosts::Role::Node;
    let early = keys::issue_host(&authority, "a-1", node, folder.path());
    assert!(matches!(early, Err(keys::Error::Authority(_))), "there is no authority yet");
    let files = keys::create_authority(&authority).expect("written");
    assert_eq!(files.key, authority.join("authority.key"));
    let host = keys::issue_host(&authority, "a-1", node, folder.path()).expect("written");
    for file in [&files.key, &host.key] {
        let mode = fs::metadata(file).expect("the key").permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{}", file.display());
    }
    let loaded = identity::Identity::load(&host.certificate, &host.key, &files.certificate);
    let peer = loaded.expect("the key belongs to the certificate").peer().clone();
    assert_eq!((peer.host.as_str(), peer.role), ("a-1", node));
    let before = fs::read(&files.key).expect("the authority's key");
    let again = keys::create_authority(&authority);
    assert!(matches!(again, Err(keys::Error::Exists(_))));
    assert_eq!(fs::read(&files.key).expect("the authority's key"), before);
    fs::remove_file(&host.key).expect("removed");
    let half = keys::issue_host(&authority, "a-1", node, folder.path());
    assert!(matches!(half, Err(keys::Error::Exists(it)) if it == host.certificate));
    assert!(!host.key.exists());
}
