//! One call to a node for each shot, followed from the offer to the end. What an outcome proves is
//! told by what crossed the link: an offer that was never written can't have run; one that was, may
//! have, unless the node itself says no.

use crate::node_links::{Counted, NodeLink};
use corkspan_api::v1::{self, attempt_event::Event as Word, node_client::NodeClient};
use corkspan_rpc::{Bounds, Link, Tasks, within};
use corkspan_scheduler::interface::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tonic::{Status, Streaming};
use tracing::debug;

/// Who is told what becomes of shots, and by what they are bounded. Below the desk, which is one:
/// so calls to nodes know nothing of what is done with their outcomes.
pub trait Follows: Send + Sync + 'static {
    fn tasks(&self) -> &Tasks;
    fn bounds(&self) -> &Bounds;
    /// An accepted shot counts as placed only once it runs.
    fn placed_when_running(&self) -> bool;
    /// Decided under a version that may act no more.
    fn shut_out(&self) -> bool;
    /// A node has turned a shot away by the floor of versions.
    fn below(&self, floor: &v1::MinimumVersion);
    fn placed(self: &Arc<Self>, id: AllocationId, shot: usize, machine: MachineId);
    /// A shot has returned. `over` where it was placed and the allocation ends with it, in this
    /// way.
    fn returned(
        self: &Arc<Self>,
        id: AllocationId,
        shot: usize,
        ending: AttemptResult,
        reason: Option<ReturnReason>,
        over: Option<v1::ended::EndReason>,
        report: Option<LoadReport>,
    );
    /// A copy says which version of its program it runs.
    fn runs(&self, id: AllocationId, version: String);
    fn ready(&self, id: AllocationId, ready: bool);
    fn noted(&self, id: AllocationId, note: Metric);
    fn probed(&self, machine: MachineId, ending: AttemptResult, report: Option<LoadReport>);
}

/// An offer about to be made.
pub struct Offer {
    pub id: AllocationId,
    pub number: usize,
    pub machine: MachineId,
    /// None where the machine has no address.
    pub node: Option<Arc<NodeLink>>,
    /// Counts the offer among those without an answer; none where there are as many as may be.
    pub open: Option<Counted>,
    /// When it was decided.
    pub decided: Instant,
}

/// How a shot has returned, before it was placed or after.
struct Back {
    ending: AttemptResult,
    reason: Option<ReturnReason>,
    how: v1::ended::EndReason,
    report: Option<LoadReport>,
}

impl Back {
    fn plain(ending: AttemptResult) -> Self {
        Back {
            ending,
            reason: None,
            how: v1::ended::EndReason::Lost,
            report: None,
        }
    }
}

enum First {
    Placed(Streaming<v1::AttemptEvent>),
    Back(Back),
}

/// Makes an offer and follows it to its end.
pub async fn offer<D: Follows>(
    desk: Arc<D>,
    offer: Offer,
    shot: v1::AttemptRequest,
    time_out: Duration,
) {
    let Offer {
        id,
        number,
        machine,
        node,
        open,
        decided,
    } = offer;
    let back = |back: Back, over: Option<v1::ended::EndReason>| {
        desk.returned(id, number, back.ending, back.reason, over, back.report)
    };
    let Some(node) = node else {
        return back(Back::plain(AttemptResult::ConnectFailed), None);
    };
    let Some(open) = open else {
        // As the node itself would say: too many wait for it, here already.
        let reason = Some(ReturnReason::QueueFull);
        return back(
            Back {
                reason,
                ..Back::plain(AttemptResult::Rejected)
            },
            None,
        );
    };
    // Decided under a version that may act no more: the nodes would turn it away, and its owner is
    // told in time.
    if desk.shut_out() {
        return back(Back::plain(AttemptResult::NotSent), None);
    }
    let _call = node.call();
    // Until the offer is handed to the link, it can't have reached the node.
    let written = AtomicBool::new(false);
    let first = async {
        let latest = desk.bounds().connect_within;
        let link = match within(latest, node.ready(desk.tasks(), desk.bounds())).await {
            Some(Ok(link)) => link,
            other => {
                debug!(machine = machine.0, why = ?other.map(Result::err), "no link");
                return First::Back(Back::plain(no_link(decided, latest)));
            }
        };
        // What is offered later than this is not what was decided: what a cold node bears in a
        // window, and who drains, are counted from the decision. So a process that stood
        // still in between sends nothing.
        if decided.elapsed() > latest {
            return First::Back(Back::plain(AttemptResult::NotSent));
        }
        written.store(true, Ordering::Relaxed);
        match client(&*desk, link).offer(shot).await {
            Ok(words) => first_word(&*desk, words.into_inner()).await,
            Err(why) => First::Back(Back::plain(broken(&why))),
        }
    };
    // On the heap, and gone with the first word: what follows an allocation through its life is
    // small.
    let first = within(time_out, Box::pin(first)).await.unwrap_or_else(|| {
        let ending = if written.load(Ordering::Relaxed) {
            AttemptResult::TimedOut
        } else {
            no_link(decided, time_out)
        };
        First::Back(Back::plain(ending))
    });
    drop(open);
    match first {
        First::Back(it) => back(it, None),
        First::Placed(words) => {
            desk.placed(id, number, machine);
            follow(&desk, id, number, words).await;
        }
    }
}

/// What it says of a node that no link to it came to stand. Where that is noticed long after its
/// time was up, this process was too busy to see one stand: then it says nothing of the node, and
/// blaming it would empty the list of a dispatcher under a burst.
fn no_link(decided: Instant, latest: Duration) -> AttemptResult {
    if decided.elapsed() > latest + latest / 2 {
        AttemptResult::NotSent
    } else {
        AttemptResult::ConnectFailed
    }
}

/// Follows an allocation that was running before this dispatcher had it.
pub async fn attend<D: Follows>(
    desk: Arc<D>,
    id: AllocationId,
    node: Option<Arc<NodeLink>>,
    machine: MachineId,
    shot: v1::AttemptRequest,
) {
    let lost = |reason| {
        desk.returned(
            id,
            0,
            AttemptResult::Reset,
            reason,
            Some(v1::ended::EndReason::Lost),
            None,
        )
    };
    let Some(node) = node else { return lost(None) };
    let _call = node.call();
    let patience = desk.bounds().keep_alive;
    let words = within(patience, async {
        let link = node.ready(desk.tasks(), desk.bounds()).await.ok()?;
        client(&*desk, link)
            .attend(shot)
            .await
            .ok()
            .map(tonic::Response::into_inner)
    });
    match words.await.flatten() {
        Some(words) => follow(&desk, id, 0, words).await,
        None => {
            debug!(
                machine = machine.0,
                "an allocation handed over is out of reach"
            );
            lost(None);
        }
    }
}

async fn first_word<D: Follows>(desk: &D, mut words: Streaming<v1::AttemptEvent>) -> First {
    loop {
        match words.message().await {
            Ok(Some(v1::AttemptEvent {
                event: Some(said),
                load_report: load,
            })) => match said {
                Word::Accepted(_) if !desk.placed_when_running() => return First::Placed(words),
                Word::Running(_) => return First::Placed(words),
                Word::Rejected(turned) => {
                    if let Some(floor) = &turned.minimum_version {
                        desk.below(floor);
                    }
                    let back = Back::plain(AttemptResult::Rejected);
                    return First::Back(Back {
                        reason: reason(turned.reason()),
                        report: report(load),
                        ..back
                    });
                }
                Word::Ended(over) => {
                    return First::Back(Back {
                        report: report(load),
                        ..ended(over.outcome())
                    });
                }
                _ => {}
            },
            Ok(Some(_)) => {}
            // The stream ended without a word that binds: the node may have accepted it.
            Ok(None) => return First::Back(Back::plain(AttemptResult::Reset)),
            Err(why) => return First::Back(Back::plain(broken(&why))),
        }
    }
}

async fn follow<D: Follows>(
    desk: &Arc<D>,
    id: AllocationId,
    number: usize,
    mut words: Streaming<v1::AttemptEvent>,
) {
    let mut back = Back::plain(AttemptResult::Reset);
    while let Ok(Some(word)) = words.message().await {
        match word.event {
            Some(Word::Running(started)) => {
                desk.runs(id, started.version);
                desk.noted(id, Metric::Running);
            }
            Some(Word::Ready(ready)) => desk.ready(id, ready),
            Some(Word::Usage(used)) => {
                for (note, value) in [
                    (Metric::Cores as fn(f64) -> Metric, used.cores),
                    (Metric::Memory, used.memory),
                ] {
                    if sound(value) {
                        desk.noted(id, note(value));
                    }
                }
            }
            Some(Word::ServiceLevel(part)) if sound(part) => desk.noted(id, Metric::Served(part)),
            Some(Word::MemoryShare(share)) if sound(share) => {
                desk.noted(id, Metric::MachineMemory(share))
            }
            Some(Word::Ended(over)) => {
                back = Back {
                    report: report(word.load_report),
                    ..ended(over.outcome())
                };
                break;
            }
            Some(Word::Rejected(turned)) => {
                // It doesn't run there: nothing is known against the node.
                back.reason = reason(turned.reason()).or(Some(ReturnReason::Unfit));
                break;
            }
            _ => {}
        }
    }
    let Back {
        ending,
        reason,
        how,
        report,
    } = back;
    desk.returned(id, number, ending, reason, Some(how), report);
}

/// Tells a node that an allocation is not wanted there. One try: the word is about what may be gone
/// already. None where the node has not answered.
pub async fn stop<D: Follows>(
    desk: Arc<D>,
    node: Arc<NodeLink>,
    stop: v1::StopRequest,
) -> Option<()> {
    let _call = node.call();
    let patience = desk.bounds().keep_alive;
    let said = within(patience, async {
        let link = node.ready(desk.tasks(), desk.bounds()).await.ok()?;
        client(&*desk, link).stop(stop).await.ok()
    });
    let said = said.await.flatten();
    if said.is_none() {
        debug!(address = %node.address, "a node could not be told to stop an allocation");
    }
    said.map(drop)
}

pub async fn probe<D: Follows>(desk: Arc<D>, machine: MachineId, node: Arc<NodeLink>) {
    let _call = node.call();
    let patience = 4 * desk.bounds().connect_within;
    let word = within(patience, async {
        let link = node
            .ready(desk.tasks(), desk.bounds())
            .await
            .map_err(|_| AttemptResult::ConnectFailed)?;
        client(&*desk, link)
            .probe(v1::HealthCheckRequest {})
            .await
            .map_err(|why| broken(&why))
    });
    match word.await {
        Some(Ok(word)) => desk.probed(
            machine,
            AttemptResult::Completed,
            report(word.into_inner().load_report),
        ),
        Some(Err(ending)) => desk.probed(machine, ending, None),
        None => desk.probed(machine, AttemptResult::TimedOut, None),
    }
}

fn client<D: Follows>(desk: &D, link: Link) -> NodeClient<Link> {
    NodeClient::new(link).max_decoding_message_size(desk.bounds().message)
}

/// An error that the link made up, or one that the node gave.
fn broken(why: &Status) -> AttemptResult {
    match std::error::Error::source(why) {
        Some(_) => AttemptResult::Reset,
        None => AttemptResult::Error,
    }
}

fn sound(value: f64) -> bool {
    value.is_finite() && (0.0..=1e9).contains(&value)
}

/// The load report, where there is one that holds numbers.
fn report(load: Option<v1::LoadReport>) -> Option<LoadReport> {
    let load = load.filter(|load| load.cores.is_finite() && load.memory.is_finite())?;
    Some(LoadReport {
        available: Resources {
            cores: load.cores,
            memory: load.memory,
        },
    })
}

fn reason(why: v1::attempt_rejected::Rejection) -> Option<ReturnReason> {
    match why {
        v1::attempt_rejected::Rejection::Unspecified => None,
        v1::attempt_rejected::Rejection::NoCores => Some(ReturnReason::NoCores),
        v1::attempt_rejected::Rejection::NoMemory => Some(ReturnReason::NoMemory),
        v1::attempt_rejected::Rejection::QueueFull => Some(ReturnReason::QueueFull),
        v1::attempt_rejected::Rejection::NotPresent
        | v1::attempt_rejected::Rejection::BelowMinimumVersion => Some(ReturnReason::Unfit),
    }
}

fn ended(how: v1::attempt_ended::AttemptOutcome) -> Back {
    use corkspan_api::v1::ended::EndReason;
    let (ending, reason, how) = match how {
        v1::attempt_ended::AttemptOutcome::Error => (AttemptResult::Error, None, EndReason::Error),
        v1::attempt_ended::AttemptOutcome::Ended => {
            (AttemptResult::Completed, None, EndReason::Ended)
        }
        v1::attempt_ended::AttemptOutcome::Evicted => (
            AttemptResult::Reset,
            Some(ReturnReason::Evicted),
            EndReason::Evicted,
        ),
        v1::attempt_ended::AttemptOutcome::Preempted => (
            AttemptResult::Reset,
            Some(ReturnReason::Preempted),
            EndReason::PushedOut,
        ),
        v1::attempt_ended::AttemptOutcome::Drained => (
            AttemptResult::Reset,
            Some(ReturnReason::Migrated),
            EndReason::SentAway,
        ),
        v1::attempt_ended::AttemptOutcome::Stopped => {
            (AttemptResult::Cancelled, None, EndReason::Ended)
        }
        v1::attempt_ended::AttemptOutcome::Migrated => {
            (AttemptResult::Cancelled, None, EndReason::Moved)
        }
    };
    Back {
        ending,
        reason,
        how,
        report: None,
    }
}
