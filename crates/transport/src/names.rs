//! The names inside a certificate.
//!
//! rustls verifies a name that is known beforehand but does not list the names of a certificate,
//! so this module walks the DER structure to the subject alternative names (RFC 5280).

use compact_str::CompactString;
use world::hosts;

use crate::identity;

/// The last label of all names.
const DOMAIN: &str = "heatherwalk";
/// The label that stands in the place of the role in the name that a client verifies.
const ANY_ROLE: &str = "host";
/// The longest host name: a DNS name has at most 253 characters, and a suffix follows.
const MAX_HOST: usize = 200;
/// The longest label of a DNS name.
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

struct Element<'a> {
    tag: u8,
    content: &'a [u8],
    rest: &'a [u8],
}

/// Refuses a host name that is not a DNS name in lower case.
///
/// DNS names are compared without regard to case, so two hosts could otherwise share a name.
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

/// The name that a client verifies, which any role of the host has.
pub(crate) fn host_name(host: &str) -> String {
    format!("{host}.{ANY_ROLE}.{DOMAIN}")
}

/// The name that states the role of the host.
pub(crate) fn role_name(peer: &identity::Peer) -> String {
    let role = match peer.role {
        hosts::Role::Control => "control",
        hosts::Role::Node => "node",
    };
    format!("{}.{role}.{DOMAIN}", peer.host)
}

/// The one host and role that a certificate names.
pub(crate) fn read_peer(der: &[u8]) -> identity::Result<identity::Peer> {
    let names = alt_names(der).ok_or(identity::Error::Names)?;
    let mut peers = names.into_iter().filter_map(parse_role);
    match (peers.next(), peers.next()) {
        (Some(peer), None) => Ok(peer),
        _ => Err(identity::Error::Names),
    }
}

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

fn alt_names(der: &[u8]) -> Option<Vec<&str>> {
    let certificate = expect(der, SEQUENCE)?;
    let signed = expect(certificate.content, SEQUENCE)?;
    let extensions = children(signed.content)?.into_iter().find(|it| it.tag == EXTENSIONS)?;
    let list = expect(extensions.content, SEQUENCE)?;
    let names = children(list.content)?.into_iter().find_map(|it| alt_name_value(it.content))?;
    let names = children(expect(names, SEQUENCE)?.content)?;
    names
        .into_iter()
        .filter(|it| it.tag == DNS_NAME)
        .map(|it| std::str::from_utf8(it.content).ok())
        .collect()
}

fn alt_name_value(extension: &[u8]) -> Option<&[u8]> {
    let id = expect(extension, OBJECT_ID)?;
    if id.content != ALT_NAME {
        return None;
    }
    let value = children(id.rest)?.into_iter().find(|it| it.tag == OCTET_STRING)?;
    Some(value.content)
}

fn children(mut der: &[u8]) -> Option<Vec<Element<'_>>> {
    let mut list = Vec::new();
    while !der.is_empty() {
        let element = read(der)?;
        der = element.rest;
        list.push(element);
    }
    Some(list)
}

fn expect(der: &[u8], tag: u8) -> Option<Element<'_>> {
    read(der).filter(|it| it.tag == tag)
}

fn read(der: &[u8]) -> Option<Element<'_>> {
    let (&tag, rest) = der.split_first()?;
    let (&first, rest) = rest.split_first()?;
    // A length below 128 is one byte; otherwise the low bits count the bytes that hold it.
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
