//! Every state of a small exchange: a service with three versions, of which the second is unsound,
//! a rival that was cut off and has a first version of its own, two dispatchers, streams that break
//! with all that is on its way, kills at any step, trials that end badly.
//!
//! The claim: what is in force at a dispatcher was sound and on its disk first; it goes on to
//! higher numbers, and back only by giving up; once nothing is under way, the service's book says
//! what is in force; and no sound version stands as turned down, but for one that does not follow
//! what runs.

use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::{
    PersistedVersions, Publisher, PushAdmission, PushReply, Rejection, RequestCounts, Subscriber,
    VersionPush,
};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use test_case::test_case;

fn texts(number: usize) -> SharedParts {
    [("shots".to_string(), format!("(shots {number})"))]
        .into_iter()
        .collect()
}

/// What a checker would say: the second version can't be served.
fn sound(whole: &SharedParts) -> bool {
    *whole != texts(2)
}

/// How a broken variant goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wrong {
    Nothing,
    AnswersBeforeTheDisk,
    ChecksNothing,
    TakesAnyNumber,
    AnswersWithoutNonce,
}

#[derive(Clone, Debug)]
enum Step {
    Idle,
    ToKeep(VersionPush, PersistedVersions),
    ToApply(VersionPush, PersistedVersions),
}

#[derive(Clone, Debug)]
struct Peer {
    disk: PersistedVersions,
    /// None: killed.
    own: Option<Subscriber>,
    step: Step,
    open: bool,
    /// Its stream is the rival's, whose books are not looked at.
    rival: bool,
    pushes: Vec<VersionPush>,
    answers: Vec<(u64, PushReply, VersionId)>,
    kills: u8,
    breaks: u8,
}

#[derive(Clone, Debug)]
struct World {
    books: Publisher,
    published: usize,
    peers: [Peer; 2],
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Publish,
    Open(usize),
    Rival(usize),
    Break(usize),
    Push(usize),
    Look(usize),
    Keep(usize),
    Apply(usize),
    Answer(usize),
    Harm(usize),
    Kill(usize),
    Start(usize),
}

fn start() -> World {
    let (own, _) = Subscriber::restore(texts(0), PersistedVersions::default(), 0);
    let peer = Peer {
        disk: PersistedVersions::default(),
        own: Some(own),
        step: Step::Idle,
        open: false,
        rival: false,
        pushes: Vec::new(),
        answers: Vec::new(),
        kills: 0,
        breaks: 0,
    };
    World {
        books: Publisher::default(),
        published: 0,
        peers: [peer.clone(), peer],
    }
}

impl World {
    fn flush(&mut self) {
        for (who, peer) in self
            .peers
            .iter_mut()
            .enumerate()
            .filter(|(_, peer)| peer.open && !peer.rival)
        {
            peer.pushes.extend(self.books.push_for(who as u32));
        }
    }

    /// The world after this, if it can happen now; or what it breaks.
    fn after(&self, event: Event, wrong: Wrong) -> Option<Result<World, String>> {
        let mut next = self.clone();
        let World {
            books,
            published,
            peers,
        } = &mut next;
        match event {
            Event::Publish => {
                if *published == 3 {
                    return None;
                }
                *published += 1;
                books.publish(texts(*published), false);
            }
            Event::Open(who) => {
                let peer = &mut peers[who];
                let own = peer.own.as_ref().filter(|_| !peer.open)?;
                books.subscriber_connected(who as u32, own.active_version());
                peer.open = true;
            }
            Event::Rival(who) => {
                let peer = &mut peers[who];
                let own = peer.own.as_ref().filter(|_| !peer.open)?;
                let mut rival = Publisher::default();
                rival.publish(texts(4), false);
                rival.subscriber_connected(0, own.active_version());
                peer.pushes.extend(rival.push_for(0));
                (peer.open, peer.rival) = (true, true);
            }
            Event::Break(who) => {
                let peer = &mut peers[who];
                if !peer.open || peer.breaks == 1 {
                    return None;
                }
                peer.breaks += 1;
                peer.close();
            }
            Event::Push(who) => {
                let peer = &mut peers[who];
                if peer.pushes.is_empty() {
                    return None;
                }
                let push = peer.pushes.remove(0);
                if let Some(answered) = peer.own.as_mut()?.receive(push) {
                    peer.say(answered.nonce, answered.reply);
                }
            }
            Event::Look(who) => {
                let peer = &mut peers[who];
                if !matches!(peer.step, Step::Idle) {
                    return None;
                }
                let push = peer.own.as_mut()?.take_push()?;
                peer.look(push, wrong);
            }
            Event::Keep(who) => {
                let peer = &mut peers[who];
                let Step::ToKeep(push, kept) = std::mem::replace(&mut peer.step, Step::Idle) else {
                    return None;
                };
                peer.disk = kept.clone();
                if wrong == Wrong::AnswersBeforeTheDisk {
                    return Some(Ok(next));
                }
                peer.step = Step::ToApply(push, kept);
            }
            Event::Apply(who) => {
                let peer = &mut peers[who];
                let Step::ToApply(push, kept) = std::mem::replace(&mut peer.step, Step::Idle)
                else {
                    return None;
                };
                peer.apply(&push, kept.clone());
                if wrong == Wrong::AnswersBeforeTheDisk {
                    peer.step = Step::ToKeep(push, kept);
                }
            }
            Event::Answer(who) => {
                let peer = &mut peers[who];
                if !peer.open || peer.answers.is_empty() {
                    return None;
                }
                let (nonce, said, running) = peer.answers.remove(0);
                if peer.rival {
                    return Some(Ok(next));
                }
                let newest = peer.pushes.last().map_or(nonce, |push| push.nonce);
                let nonce = if wrong == Wrong::AnswersWithoutNonce {
                    newest
                } else {
                    nonce
                };
                books.receive_reply(who as u32, nonce, &said, running);
            }
            Event::Harm(who) => {
                let peer = &mut peers[who];
                let own = peer.own.as_mut().filter(|own| own.on_trial())?;
                if !matches!(peer.step, Step::Idle) {
                    return None;
                }
                let all = RequestCounts {
                    requests: 1_000,
                    rejected: 1_000,
                };
                let kept = own.evaluate_trial(0, all)?.persisted;
                peer.disk = kept.clone();
                own.finish_trial(0, kept, all);
                let running = own.active_version();
                // Told unasked: no push is answered by it.
                if peer.open {
                    peer.answers.push((0, PushReply::Unchanged, running));
                }
            }
            Event::Kill(who) => {
                let peer = &mut peers[who];
                if peer.kills == 1 {
                    return None;
                }
                peer.own.take()?;
                peer.kills += 1;
                peer.step = Step::Idle;
                peer.close();
            }
            Event::Start(who) => {
                let peer = &mut peers[who];
                if peer.own.is_some() {
                    return None;
                }
                let (own, changed) = Subscriber::restore(texts(0), peer.disk.clone(), 0);
                peer.disk = changed.unwrap_or(peer.disk.clone());
                peer.own = Some(own);
            }
        }
        next.flush();
        Some(next.sound(self, event).map(|()| next))
    }

    fn sound(&self, before: &World, event: Event) -> Result<(), String> {
        for (who, (peer, earlier)) in std::iter::zip(&self.peers, &before.peers).enumerate() {
            let Some(own) = &peer.own else { continue };
            let (running, whole) = (own.active_version(), own.active_texts());
            if !sound(whole) {
                return Err(format!("{running} is unsound and in force at {who}"));
            }
            let on_disk = |kept: &PersistedVersions| {
                let trial = kept.trial.as_ref().map(|trial| trial.version.id);
                running.number == 0
                    || trial == Some(running)
                    || kept.last_good.as_ref().map(|good| good.id) == Some(running)
            };
            // The next one is kept before it is in force: a kill in between starts under that.
            if !on_disk(&peer.disk) && !matches!(peer.step, Step::ToApply(..)) {
                return Err(format!("{running} is in force at {who} and not on disk"));
            }
            let former = earlier
                .own
                .as_ref()
                .map_or(running, |own| own.active_version());
            let gives_up = matches!(event, Event::Harm(_));
            if former != running && former.number >= running.number && !gives_up {
                return Err(format!("{who} went from {former} to {running}"));
            }
            let quiet = peer.open && !peer.rival && peer.answers.is_empty();
            if quiet && self.books.active_version(who as u32) != Some(running) {
                return Err(format!(
                    "the books say {:?} of {who}, {running} runs",
                    self.books.active_version(who as u32)
                ));
            }
            if let Some(Rejection {
                version: stamp,
                reasons: why,
            }) = self.books.last_rejection(who as u32)
                && stamp.digest != texts(2).digest()
                && !why.iter().any(|why| why.contains("given up"))
                && !(running.digest == texts(4).digest() && running.number > 0)
            {
                return Err(format!("{stamp} stands as turned down by {who}: {why:?}"));
            }
        }
        Ok(())
    }
}

impl Peer {
    fn close(&mut self) {
        (self.open, self.rival) = (false, false);
        self.pushes.clear();
        self.answers.clear();
        self.own.iter_mut().for_each(Subscriber::stream_closed);
    }

    fn say(&mut self, nonce: u64, said: PushReply) {
        let running = self.own.as_ref().map(|own| own.active_version());
        if let Some(running) = running.filter(|_| self.open) {
            self.answers.push((nonce, said, running));
        }
    }

    fn look(&mut self, push: VersionPush, wrong: Wrong) {
        let Some(own) = &self.own else { return };
        let admitted = match own.admit(&push) {
            PushAdmission::Reply(PushReply::Rejected(_))
                if wrong == Wrong::TakesAnyNumber && push.base.is_none() =>
            {
                PushAdmission::Validate(push.changes.clone())
            }
            other => other,
        };
        match admitted {
            PushAdmission::Reply(said) => self.say(push.nonce, said),
            PushAdmission::Validate(whole) if !sound(&whole) && wrong != Wrong::ChecksNothing => {
                self.say(push.nonce, PushReply::Rejected(vec!["unsound".into()]));
            }
            PushAdmission::Validate(whole) => {
                let kept = own.prepare_trial(0, RequestCounts::default(), push.version, whole);
                self.step = match wrong {
                    Wrong::AnswersBeforeTheDisk => Step::ToApply(push, kept),
                    _ => Step::ToKeep(push, kept),
                };
            }
        }
    }

    fn apply(&mut self, push: &VersionPush, kept: PersistedVersions) {
        if let Some(own) = &mut self.own {
            own.start_trial(0, kept, RequestCounts::default());
        }
        self.say(push.nonce, PushReply::Applied);
    }
}

/// The first dispatcher runs the first version.
fn under_way() -> World {
    use Event::*;
    let events = [
        Publish,
        Open(0),
        Push(0),
        Look(0),
        Keep(0),
        Apply(0),
        Answer(0),
    ];
    events.into_iter().fold(start(), |world, event| {
        world
            .after(event, Wrong::Nothing)
            .expect("it can happen")
            .expect("and breaks nothing")
    })
}

/// Goes through all states up to this depth; how many, or how the claim is broken.
fn search(from: World, wrong: Wrong, depth: usize) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut states = vec![(from, 0)];
    let all = |who| {
        [
            Event::Open(who),
            Event::Rival(who),
            Event::Break(who),
            Event::Push(who),
            Event::Look(who),
            Event::Keep(who),
        ]
        .into_iter()
        .chain([
            Event::Apply(who),
            Event::Answer(who),
            Event::Harm(who),
            Event::Kill(who),
            Event::Start(who),
        ])
    };
    // By breadth, so that a state is met first with the most steps left.
    for at in 0.. {
        let Some((world, steps)) = states.get(at).cloned() else {
            break;
        };
        if steps == depth {
            break;
        }
        for event in [Event::Publish].into_iter().chain(all(0)).chain(all(1)) {
            let Some(next) = world.after(event, wrong) else {
                continue;
            };
            let next = next.map_err(|why| format!("{why}, after {steps} steps, by {event:?}"))?;
            let mut hasher = DefaultHasher::new();
            format!("{next:?}").hash(&mut hasher);
            if seen.insert(hasher.finish()) {
                states.push((next, steps + 1));
            }
        }
    }
    Ok(states.len())
}

#[test_case(start(), 10; "from the start")]
#[test_case(under_way(), 8; "with a version in force")]
fn no_order_of_breaks_and_kills_puts_in_force_what_is_unsound_or_not_on_disk(
    from: World,
    depth: usize,
) {
    let states = search(from, Wrong::Nothing, depth).unwrap_or_else(|why| panic!("{why}"));
    assert!(states > 10_000, "{states} states");
}

#[test_case(start(), Wrong::AnswersBeforeTheDisk, "not on disk"; "answers before it is on disk")]
#[test_case(start(), Wrong::ChecksNothing, "unsound"; "checks nothing")]
#[test_case(under_way(), Wrong::TakesAnyNumber, "went from"; "takes any number")]
#[test_case(start(), Wrong::AnswersWithoutNonce, "turned down"; "answers without nonce")]
fn a_broken_exchange_is_found_out(from: World, wrong: Wrong, how: &str) {
    let why = search(from, wrong, 10).expect_err("found out");
    assert!(why.contains(how), "{why}");
}
