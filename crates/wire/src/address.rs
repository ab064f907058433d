//! Addresses at which a process says that it is reached.

use std::net::SocketAddr;

/// Parses an IP address and a port.
///
/// `None` also for port 0, where nothing listens, and for an address with a scope, which is
/// valid on one host only and can't be part of a URI.
pub fn parse(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let has_scope = matches!(address, SocketAddr::V6(v6) if v6.scope_id() != 0);
    (address.port() != 0 && !has_scope).then_some(address)
}
