//! TLS and QUIC configuration from an identity and the limits.

use std::sync;

use compact_str::ToCompactString as _;
use quinn::crypto::rustls as quic;
use rustls::{client, pki_types, server};

use crate::{errors, identity, limits, names};

/// The application protocol (ALPN). The TLS handshake fails with a peer that offers only others.
const PROTOCOL: &[u8] = b"heatherwalk/1";

pub(crate) fn server_config(
    identity: &identity::Identity,
    limits: &limits::Limits,
) -> errors::Result<quinn::ServerConfig> {
    let provider = provider();
    let roots = sync::Arc::new(roots(identity)?);
    let verifier = server::WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(tls_error)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![identity.certificate.clone()], identity.key.clone_key())
        .map_err(tls_error)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    // Resuming a session would skip the verification of the certificate.
    config.send_tls13_tickets = 0;
    let crypto = quic::QuicServerConfig::try_from(config).map_err(tls_error)?;
    let mut config = quinn::ServerConfig::with_crypto(sync::Arc::new(crypto));
    config.transport_config(sync::Arc::new(transport_config(limits)));
    config.max_incoming(limits.max_handshakes);
    // The hosts of a mesh have fixed addresses.
    config.migration(false);
    Ok(config)
}

pub(crate) fn client_config(
    identity: &identity::Identity,
    limits: &limits::Limits,
) -> errors::Result<quinn::ClientConfig> {
    let mut config = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_root_certificates(roots(identity)?)
        .with_client_auth_cert(vec![identity.certificate.clone()], identity.key.clone_key())
        .map_err(tls_error)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    config.resumption = client::Resumption::disabled();
    let crypto = quic::QuicClientConfig::try_from(config).map_err(tls_error)?;
    let mut config = quinn::ClientConfig::new(sync::Arc::new(crypto));
    let mut transport = transport_config(limits);
    // Probes from one side reset the idle timers of both sides.
    transport.keep_alive_interval(Some(limits.keep_alive));
    config.transport_config(sync::Arc::new(transport));
    Ok(config)
}

/// The host and role of a peer. The handshake must have verified its certificate chain.
pub(crate) fn verified_peer(connection: &quinn::Connection) -> errors::Result<identity::Peer> {
    let chain = connection.peer_identity().ok_or(identity::Error::Names)?;
    let chain = chain
        .downcast::<Vec<pki_types::CertificateDer<'static>>>()
        .map_err(|_| identity::Error::Names)?;
    let der = chain.first().ok_or(identity::Error::Names)?;
    let peer = names::read_peer(der)?;
    // rustls must find the same name in the certificate.
    let certificate = server::ParsedCertificate::try_from(der).map_err(tls_error)?;
    let name = pki_types::ServerName::try_from(names::role_name(&peer))
        .map_err(|_| identity::Error::Names)?;
    client::verify_server_name(&certificate, &name).map_err(|_| identity::Error::Names)?;
    Ok(peer)
}

fn transport_config(limits: &limits::Limits) -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    let idle = quinn::IdleTimeout::try_from(limits.idle_timeout).ok();
    config
        .initial_rtt(limits.initial_rtt)
        .max_idle_timeout(idle)
        .max_concurrent_bidi_streams(limits.max_streams.into())
        .max_concurrent_uni_streams(0_u8.into())
        .stream_receive_window(limits.stream_window.into())
        .receive_window(limits.link_window.into())
        .send_window(limits.send_window.into())
        .datagram_receive_buffer_size(None)
        // Each link would send several padded packets of up to 1,452 bytes in each direction, more
        // than the rest of its handshake. A node opens dozens of links at once when it starts.
        .mtu_discovery_config(None);
    config
}

fn roots(identity: &identity::Identity) -> errors::Result<rustls::RootCertStore> {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(identity.authority.clone()).map_err(tls_error)?;
    Ok(roots)
}

fn provider() -> sync::Arc<rustls::crypto::CryptoProvider> {
    sync::Arc::new(rustls::crypto::ring::default_provider())
}

fn tls_error<E: std::fmt::Display>(error: E) -> errors::Error {
    errors::Error::Tls(error.to_compact_string())
}
