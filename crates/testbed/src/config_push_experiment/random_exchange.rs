//! Random exchanges of pushes with kills.

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

/// What a random exchange came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exchange {
    pub sent: usize,
    pub applied: usize,
    pub refused: usize,
    pub superseded: usize,
    pub kills: usize,
    /// Acknowledged and then given up, since it was started under three times.
    pub given_up: usize,
}

/// So many versions at random, sound, unsound, stale, split and foreign, in bursts, with kills in
/// between and in the middle. What is in force, by status, must always be what was acknowledged
/// last; after a kill that, a sound one sent after it, or the one before where it was given up for
/// its many starts.
pub fn exchange(program: &[OsString], seed: u64, versions: usize) -> Result<Exchange, String> {
    in_environment(program, 1, async |mut environment| {
        environment.control.scripted();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut out = Exchange::default();
        let mut acknowledged = environment
            .status(0)
            .await?
            .active
            .as_ref()
            .and_then(parse_version_id)
            .ok_or("no stamp")?;
        while out.sent < versions {
            let burst: Vec<(VersionPush, bool)> = (0..rng.random_range(1..40))
                .map(|at| {
                    let nonce = (out.sent + at + 1) as u64;
                    random_push(&environment, &mut rng, nonce, acknowledged)
                })
                .collect();
            out.sent += burst.len();
            if !burst
                .iter()
                .all(|(push, _)| environment.control.send(0, push_message(push)))
            {
                return Err("the stream does not stand".into());
            }
            let sound = |stamp: VersionId| {
                burst
                    .iter()
                    .any(|(push, sound)| *sound && push.version == stamp)
            };
            let killed = rng.random_range(0..6) == 0;
            if killed {
                // In the middle of it, at no time in particular.
                Timer::after(Duration::from_micros(rng.random_range(0..5_000))).await;
                let opened = environment.control.opened();
                environment.dispatchers.clear();
                let again = environment.start(0, 1)?;
                environment.dispatchers.push(again);
                out.kills += 1;
                environment
                    .until("it comes back", |environment| {
                        environment.control.opened() > opened
                    })
                    .await?;
            } else {
                let answered = |environment: &Environment| {
                    burst
                        .iter()
                        .all(|(push, _)| environment.control.reply_to(push.nonce).is_some())
                };
                environment.until("each push is answered", answered).await?;
                for (push, sound) in &burst {
                    let told = environment.control.reply_to(push.nonce).ok_or("no reply")?;
                    match told.answer() {
                        Answer::Applied if !sound => {
                            return Err(format!("unsound, and in force: {push:?}"));
                        }
                        Answer::Applied => {
                            out.applied += 1;
                            acknowledged = push.version;
                        }
                        Answer::Rejected if told.reasons.is_empty() => {
                            return Err("refused without a reason".into());
                        }
                        Answer::Rejected => out.refused += 1,
                        Answer::Superseded => out.superseded += 1,
                        Answer::Unchanged | Answer::FullRequired => {}
                        other => return Err(format!("{other:?} is no answer to a push")),
                    }
                }
            }
            let status = environment.status(0).await?;
            let running = status
                .active
                .as_ref()
                .and_then(parse_version_id)
                .ok_or("no stamp")?;
            let in_force =
                SharedParts::parse("in force", &status.text).map_err(|why| why.to_string())?;
            // Three starts under a version on trial, and it is given up: it may be what ended them.
            let given_up = killed
                && status
                    .given_up
                    .iter()
                    .filter_map(parse_version_id)
                    .any(|own| own == acknowledged);
            out.given_up += usize::from(given_up);
            let newer = killed && sound(running) && running.number > acknowledged.number;
            let may = running == acknowledged || given_up || newer;
            if !may || in_force.digest() != running.digest {
                return Err(format!(
                    "{running} is in force, {acknowledged} was acknowledged last; {out:?}"
                ));
            }
            acknowledged = running;
        }
        Ok(out)
    })
}

/// A push, and whether it may ever be in force.
fn random_push(
    environment: &Environment,
    rng: &mut Pcg64Mcg,
    nonce: u64,
    after: VersionId,
) -> (VersionPush, bool) {
    let sound = environment.texts(1, rng.random_range(0..1_000));
    let change = |name: &str, text: &str| {
        sound.with_changes(
            &[(name.to_string(), text.to_string())].into_iter().collect(),
            &[],
        )
    };
    let (changes, fit) = match rng.random_range(0..8) {
        0 => (change("shots", "(shots 0)"), false),
        1 => (change("halls", "(halls hall other)"), false),
        2 => (change("listen", "(listen \"127.0.0.1:1\")"), false),
        3 => (change("cold", "(cold (lasts"), false),
        _ => (sound.clone(), true),
    };
    let number = (after.number + rng.random_range(0..20))
        .saturating_sub(3)
        .max(1);
    let follows = if rng.random_range(0..6) > 0 {
        vec![after]
    } else {
        Vec::new()
    };
    let stamp = VersionId {
        number,
        digest: changes.digest(),
    };
    let fit = fit && (!follows.is_empty() || after.number == 0);
    (
        VersionPush {
            nonce,
            version: stamp,
            predecessors: follows,
            base: None,
            changes,
            removed: Vec::new(),
            allows_cuts: true,
        },
        fit,
    )
}
