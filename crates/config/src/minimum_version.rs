//! Parses the `(floor …)` form of the deployment file: the settings of the minimum version.

use crate::sexp::{Diagnostic, Form};
use corkspan_scheduler::interface::Ticks;
use std::net::SocketAddr;

/// Settings by which a dispatcher follows and raises the minimum version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MinimumVersionSettings {
    /// The time between two polls of the quorum, in ticks of 0.1 ms (`every`).
    pub poll_interval: Ticks,
    /// The minimum version is raised to this many versions behind the one that enough dispatchers
    /// run past its trial (`behind`). `None` disables this rule.
    pub max_versions_behind: Option<u64>,
    /// The minimum version is raised to the version that enough dispatchers ran past its trial
    /// this long ago, in ticks (`after`). `None` disables this rule.
    pub max_age: Option<Ticks>,
    /// The share of the dispatchers that is enough, in thousandths (`part`).
    pub required_thousandths: u32,
    /// The dispatchers from which a newer version may be fetched (`peers`).
    pub peers: Vec<SocketAddr>,
}

/// Parses `(floor (every 2 s) (behind 10) (after 60 s) (part 900) (peers "10.0.0.2:7100"))`.
pub(crate) fn minimum_version(form: &Form) -> Result<MinimumVersionSettings, Diagnostic> {
    let parts = form.parts(&["every", "behind", "after", "part", "peers"])?;
    let at_least_a_second = |form: &Form| match form.time()? {
        time if time >= 10_000 => Ok(time),
        _ => Err(form.diagnostic("must be 1000 ms or more")),
    };
    let peers = |form: &Form| {
        let strings = form.strings()?.into_iter();
        let peers = strings.map(|(text, diagnostic)| {
            let message = format!("`{text}` is not an address with a port");
            text.parse().map_err(|_| Diagnostic {
                message,
                ..diagnostic
            })
        });
        peers.collect()
    };
    Ok(MinimumVersionSettings {
        poll_interval: parts.get_or("every", 20_000, at_least_a_second)?,
        max_versions_behind: parts
            .get("behind")
            .map(|form| form.integer(1, u64::MAX))
            .transpose()?,
        max_age: parts.get("after").map(at_least_a_second).transpose()?,
        required_thousandths: parts.get_or("part", 900, |form| form.integer(500, 1_000))? as u32,
        peers: parts.get_or("peers", Vec::new(), peers)?,
    })
}
