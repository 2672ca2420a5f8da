//! Encoding of messages and the QUIC links between processes.
