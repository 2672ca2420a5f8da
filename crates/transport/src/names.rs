//! The DNS names in a certificate, which state the host and role of a process.
//!
//! rustls can verify a name that is known beforehand, but it does not list the names in a
//! certificate. So this module parses the DER structure as far as the subject alternative names
//! (RFC 5280).

use compact_str::CompactString;
use world::hosts;

use crate::identity;

/// The last label of each name.
const DOMAIN: &str = "heatherwalk";
/// The label that replaces the role in the name that a client verifies, which does not know the
/// role of its peer.
const ANY_ROLE: &str = "host";
/// The longest host name in bytes. A DNS name has at most 253, and role and domain follow the host.
const MAX_HOST: usize = 200;
/// The longest label of a DNS name in bytes.
const MAX_LABEL: usize = 63;

const SEQUENCE: u8 = 0x30;
const OBJECT_ID: u8 = 0x06;
const OCTET_STRING: u8 = 0x04;
/// The tag `[3]` of the extensions in a certificate.
const EXTENSIONS: u8 = 0xa3;
/// The tag `[2]` of a DNS name in the subject alternative names.
const DNS_NAME: u8 = 0x82;
/// The object identifier 2.5.29.17, subject alternative name.
const ALT_NAME: &[u8] = &[0x55, 0x1d, 0x11];

/// A DER element.
struct Element<'a> {
    tag: u8,
    content: &'a [u8],
    /// The input after the element.
    rest: &'a [u8],
}

/// Fails if a host name is not a DNS name in lower case.
///
/// DNS names are compared case-insensitively, so with upper case two hosts could share a name.
pub(crate) fn check_host(host: &str) -> identity::Result<()> {
    let letter = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let label = |it: &str| {
        !it.is_empty()
            && it.len() <= MAX_LABEL
            && it.chars().all(letter)
            && !it.starts_with('-')
            && !it.ends_with('-')
    };
    if host.len() <= MAX_HOST && host.split('.').all(label) {
        return Ok(());
    }
    Err(identity::Error::HostName(host.into()))
}

/// The DNS name that a client verifies. The certificates of all roles of the host have it.
pub(crate) fn host_name(host: &str) -> String {
    format!("{host}.{ANY_ROLE}.{DOMAIN}")
}

/// The DNS name that states the host and role of a process.
pub(crate) fn role_name(peer: &identity::Peer) -> String {
    let role = match peer.role {
        hosts::Role::Control => "control",
        hosts::Role::Node => "node",
    };
    format!("{}.{role}.{DOMAIN}", peer.host)
}

/// Reads the host and role from a certificate in DER. Fails unless there is exactly one.
pub(crate) fn read_peer(der: &[u8]) -> identity::Result<identity::Peer> {
    let names = alt_names(der).ok_or(identity::Error::Names)?;
    let mut peers = names.into_iter().filter_map(parse_role);
    match (peers.next(), peers.next()) {
        (Some(peer), None) => Ok(peer),
        _ => Err(identity::Error::Names),
    }
}

/// Parses a name made by [`role_name`].
fn parse_role(name: &str) -> Option<identity::Peer> {
    let (host, role) = name.strip_suffix(DOMAIN)?.strip_suffix('.')?.rsplit_once('.')?;
    let role = match role {
        "control" => hosts::Role::Control,
        "node" => hosts::Role::Node,
        _ => return None,
    };
    check_host(host).ok()?;
    Some(identity::Peer { host: CompactString::from(host), role })
}

/// The DNS names among the subject alternative names of a certificate.
fn alt_names(der: &[u8]) -> Option<Vec<&str>> {
    let certificate = read_tagged(der, SEQUENCE)?;
    let signed = read_tagged(certificate.content, SEQUENCE)?;
    let extensions = read_all(signed.content)?.into_iter().find(|it| it.tag == EXTENSIONS)?;
    let list = read_tagged(extensions.content, SEQUENCE)?;
    let names = read_all(list.content)?.into_iter().find_map(|it| alt_name_value(it.content))?;
    let names = read_all(read_tagged(names, SEQUENCE)?.content)?;
    names
        .into_iter()
        .filter(|it| it.tag == DNS_NAME)
        .map(|it| std::str::from_utf8(it.content).ok())
        .collect()
}

/// The value of an extension, if it holds the subject alternative names.
fn alt_name_value(extension: &[u8]) -> Option<&[u8]> {
    let id = read_tagged(extension, OBJECT_ID)?;
    if id.content != ALT_NAME {
        return None;
    }
    let value = read_all(id.rest)?.into_iter().find(|it| it.tag == OCTET_STRING)?;
    Some(value.content)
}

fn read_all(mut der: &[u8]) -> Option<Vec<Element<'_>>> {
    let mut list = Vec::new();
    while !der.is_empty() {
        let element = read_element(der)?;
        der = element.rest;
        list.push(element);
    }
    Some(list)
}

fn read_tagged(der: &[u8], tag: u8) -> Option<Element<'_>> {
    read_element(der).filter(|it| it.tag == tag)
}

fn read_element(der: &[u8]) -> Option<Element<'_>> {
    let (&tag, rest) = der.split_first()?;
    let (&first, rest) = rest.split_first()?;
    // A length below 128 takes one byte. Otherwise the low bits count the length bytes that follow.
    let (length, rest) = if first < 0x80 {
        (usize::from(first), rest)
    } else {
        let (digits, rest) = rest.split_at_checked(usize::from(first & 0x7f))?;
        if digits.is_empty() || digits.len() > 4 {
            return None;
        }
        (digits.iter().fold(0, |sum, &it| sum << 8 | usize::from(it)), rest)
    };
    let (content, rest) = rest.split_at_checked(length)?;
    Some(Element { tag, content, rest })
}
