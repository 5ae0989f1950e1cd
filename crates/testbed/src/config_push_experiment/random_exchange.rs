//! Random exchanges of pushes with kills of the dispatcher.

use super::environment::{Environment, in_environment};
use crate::control_service::{parse_version_id, push_message};
use async_io::Timer;
use corkspan_api::v1::push_reply::Answer;
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::VersionPush;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ffi::OsString;
use std::time::Duration;

/// The figures of a random exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exchange {
    pub sent: usize,
    pub applied: usize,
    pub refused: usize,
    pub superseded: usize,
    pub kills: usize,
    /// Versions that were acknowledged and then rolled back, after three starts under them.
    pub given_up: usize,
}

/// Pushes this many random versions in bursts (valid, invalid, stale, split and foreign ones), with
/// kills of the dispatcher between and during bursts. The status must always show the version that
/// was acknowledged last as active. After a kill, it may also show a valid one sent after it, or
/// the previous one if the acknowledged version was rolled back for its many starts.
pub fn exchange(program: &[OsString], seed: u64, versions: usize) -> Result<Exchange, String> {
    in_environment(program, 1, async |mut environment| {
        environment.control.use_scripted_pushes();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut figures = Exchange::default();
        let mut acknowledged = environment
            .status(0)
            .await?
            .active
            .as_ref()
            .and_then(parse_version_id)
            .ok_or("the status has no active version")?;
        while figures.sent < versions {
            let burst: Vec<(VersionPush, bool)> = (0..rng.random_range(1..40))
                .map(|at| {
                    let nonce = (figures.sent + at + 1) as u64;
                    random_push(&environment, &mut rng, nonce, acknowledged)
                })
                .collect();
            figures.sent += burst.len();
            if !burst
                .iter()
                .all(|(push, _)| environment.control.send(0, push_message(push)))
            {
                return Err("the version stream is closed".into());
            }
            let is_valid = |version: VersionId| {
                burst
                    .iter()
                    .any(|(push, is_valid)| *is_valid && push.version == version)
            };
            let killed = rng.random_range(0..6) == 0;
            if killed {
                // The kill happens at a random time during the burst.
                Timer::after(Duration::from_micros(rng.random_range(0..5_000))).await;
                let opened = environment.control.streams_opened();
                environment.dispatchers.clear();
                let restarted = environment.start(0, 1)?;
                environment.dispatchers.push(restarted);
                figures.kills += 1;
                environment
                    .wait_for("the restarted dispatcher reconnects", |environment| {
                        environment.control.streams_opened() > opened
                    })
                    .await?;
            } else {
                let answered = |environment: &Environment| {
                    burst
                        .iter()
                        .all(|(push, _)| environment.control.reply_to(push.nonce).is_some())
                };
                environment
                    .wait_for("each push is answered", answered)
                    .await?;
                for (push, is_valid) in &burst {
                    let reply = environment.control.reply_to(push.nonce).ok_or("no reply")?;
                    match reply.answer() {
                        Answer::Applied if !is_valid => {
                            return Err(format!("an invalid version was applied: {push:?}"));
                        }
                        Answer::Applied => {
                            figures.applied += 1;
                            acknowledged = push.version;
                        }
                        Answer::Rejected if reply.reasons.is_empty() => {
                            return Err("a version was rejected without a reason".into());
                        }
                        Answer::Rejected => figures.refused += 1,
                        Answer::Superseded => figures.superseded += 1,
                        Answer::Unchanged | Answer::FullRequired => {}
                        other => return Err(format!("{other:?} is not a valid reply to a push")),
                    }
                }
            }
            let status = environment.status(0).await?;
            let active = status
                .active
                .as_ref()
                .and_then(parse_version_id)
                .ok_or("the status has no active version")?;
            let active_parts = SharedParts::parse("active version", &status.text)
                .map_err(|why| why.to_string())?;
            // A version on trial is rolled back after three starts under it, since it may have
            // ended the processes.
            let is_rolled_back = killed
                && status
                    .given_up
                    .iter()
                    .filter_map(parse_version_id)
                    .any(|version| version == acknowledged);
            figures.given_up += usize::from(is_rolled_back);
            let is_newer_valid = killed && is_valid(active) && active.number > acknowledged.number;
            let is_allowed = active == acknowledged || is_rolled_back || is_newer_valid;
            if !is_allowed || active_parts.digest() != active.digest {
                return Err(format!(
                    "{active} is active, but {acknowledged} was acknowledged last; {figures:?}"
                ));
            }
            acknowledged = active;
        }
        Ok(figures)
    })
}

/// Returns a random push, and whether its version may ever become active.
fn random_push(
    environment: &Environment,
    rng: &mut Pcg64Mcg,
    nonce: u64,
    active: VersionId,
) -> (VersionPush, bool) {
    let valid_parts = environment.shared_parts_with_change(1, rng.random_range(0..1_000));
    let change = |name: &str, text: &str| {
        valid_parts.with_changes(
            &[(name.to_string(), text.to_string())].into_iter().collect(),
            &[],
        )
    };
    let (parts, can_activate) = match rng.random_range(0..8) {
        0 => (change("shots", "(shots 0)"), false),
        1 => (change("halls", "(halls hall other)"), false),
        2 => (change("listen", "(listen \"127.0.0.1:1\")"), false),
        3 => (change("cold", "(cold (lasts"), false),
        _ => (valid_parts.clone(), true),
    };
    let number = (active.number + rng.random_range(0..20))
        .saturating_sub(3)
        .max(1);
    let predecessors = if rng.random_range(0..6) > 0 {
        vec![active]
    } else {
        Vec::new()
    };
    let version = VersionId {
        number,
        digest: parts.digest(),
    };
    let can_activate = can_activate && (!predecessors.is_empty() || active.number == 0);
    (
        VersionPush {
            nonce,
            version,
            predecessors,
            base: None,
            changes: parts,
            removed: Vec::new(),
            allows_cuts: true,
        },
        can_activate,
    )
}
