//! Parses addresses and networks in the deployment file.

use crate::sexp::{Diagnostic, Form};
use ipnet::IpNet;
use std::net::{IpAddr, SocketAddr};

/// Parses one socket address: `(listen "127.0.0.1:7100")`.
pub fn address(form: &Form) -> Result<SocketAddr, Diagnostic> {
    let text = form.string()?;
    text.parse()
        .map_err(|_| form.diagnostic(format!("`{text}` is not an address with a port")))
}

/// Parses a list of networks and addresses: `(allow "127.0.0.0/8" "::1")`.
pub(crate) fn networks(form: &Form) -> Result<Vec<IpNet>, Diagnostic> {
    let strings = form.strings()?.into_iter();
    let network = |text: &str| {
        text.parse()
            .ok()
            .or_else(|| text.parse().ok().map(IpAddr::into))
    };
    let networks = strings.map(|(text, diagnostic)| {
        let message = format!("`{text}` is neither an address nor a network");
        network(text).ok_or(Diagnostic {
            message,
            ..diagnostic
        })
    });
    networks.collect()
}

/// Parses a list of socket addresses: `(control "127.0.0.1:7200" …)`.
pub(crate) fn addresses(form: &Form) -> Result<Vec<SocketAddr>, Diagnostic> {
    let strings = form.strings()?.into_iter();
    strings
        .map(|(text, diagnostic)| text.parse().map_err(|_| diagnostic))
        .collect()
}
