//! The deployment file that a dispatcher reads at start. Its grammar is written down in docs/deployment.md.

pub mod sexp;

use corkspan::interface::*;
use sexp::{Fault, Form};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Everything a dispatcher is told at start.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Where clients ask.
    pub listen: SocketAddr,
    pub roster: SocketAddr,
    /// Where the last list of machines is kept, if it is.
    pub remembered: Option<PathBuf>,
    pub seed: u64,
    /// Nodes that keep the rolls, the same at every dispatcher, and where our own claims are kept.
    pub keepers: Vec<MachineId>,
    pub rolls: Option<PathBuf>,
    /// What the decisions are handed; its lists are in the order of the names below.
    pub cluster: Cluster,
    pub halls: Vec<String>,
    pub kinds: Vec<String>,
    pub tracks: Vec<String>,
    pub accounts: Vec<String>,
    pub bounds: Bounds,
}

/// What a dispatcher holds at the most, and how long it waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Allocations in hand.
    pub in_hand: usize,
    /// Calls of clients that wait at a time on one link, and links.
    pub calls: u32,
    pub links: usize,
    /// Offers to one node that have no answer yet.
    pub offers_a_node: usize,
    /// Words that wait for one client; of notes beyond, the oldest stay and the new are left out.
    pub words_a_client: usize,
    /// Bytes of one message.
    pub message: usize,
    pub connect_within: Tenths,
    pub keep_alive: Tenths,
    /// A link to a node with nothing on it is closed after so long.
    pub idle_close: Tenths,
    /// The final answer is aimed at so long before the owner's time is up, or at half of the owner's time where
    /// that is less: a dispatcher that stands still for so long answers in time all the same.
    pub answer_ahead: Tenths,
    /// After a signal to stop, shots still out are given up after so long.
    pub stop_within: Tenths,
}

impl Deployment {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, Fault> {
        Self::read(&path.display().to_string(), &sexp::load(path)?)
    }

    /// Reads and checks a text; `file` is its name in messages.
    pub fn read(file: &str, text: &str) -> Result<Self, Fault> {
        sexp::with_form(file, text, "deployment", |form| {
            let parts = form.parts(&[
                "listen",
                "roster",
                "remembered",
                "keepers",
                "rolls",
                "seed",
                "hall",
                "number",
                "schedulers",
                "halls",
                "kinds",
                "tracks",
                "accounts",
                "accepts",
                "makes-room",
                "shots",
                "placed-when",
                "shows-room",
                "may-probe",
                "ask-list",
                "cold",
                "other-hall-price",
                "bounds",
            ])?;
            let halls = names(parts.need("halls")?.words()?);
            if halls.is_empty() {
                return Err(parts.need("halls")?.fault("names no hall"));
            }
            let kind_forms = parts.need("kinds")?.own_names()?;
            let kinds = kind_forms.iter().map(Form::cores_and_memory).collect::<Result<Vec<_>, _>>()?;
            let kind_names = names(kind_forms.iter().map(|kind| kind.name).collect());
            if kinds.is_empty() {
                return Err(parts.need("kinds")?.fault("names no kind"));
            }
            let track_forms = parts.need("tracks")?.own_names()?;
            let tracks = track_forms.iter().map(|form| track(form, &kind_names));
            let tracks = tracks.collect::<Result<Vec<_>, _>>()?;
            if tracks.is_empty() {
                return Err(parts.need("tracks")?.fault("names no track"));
            }
            let account_forms = parts.or("accounts", Vec::new(), Form::own_names)?;
            let accounts = account_forms.iter().map(account).collect::<Result<Vec<_>, _>>()?;
            let schedulers = parts.need("schedulers")?.whole(1, 100_000)? as usize;
            let number = parts.need("number")?.whole(0, 99_999)? as usize;
            if number >= schedulers {
                let why = format!("{number} is beyond the {schedulers} schedulers, counted from 0");
                return Err(parts.need("number")?.fault(why));
            }
            let cluster = Cluster {
                hall: HallId(parts.need("hall")?.one_of(&halls)?),
                number,
                schedulers,
                kinds,
                tracks,
                accounts,
                accepts: parts.need("accepts")?.cores_and_memory()?,
                makes_room: parts.or("makes-room", false, Form::truth)?,
                shots: parts.or("shots", 3, |form| Ok(form.whole(1, 100)? as usize))?,
                placed_runs: parts.need("placed-when")?.one_of(&["accepted", "running"])? == 1,
                shows_room: parts.or("shows-room", false, Form::truth)?,
                may_probe: parts.or("may-probe", false, Form::truth)?,
                ask_list: Some(parts.or("ask-list", 100_000, Form::time)?),
                cold: cold(parts.need("cold")?)?,
                other_hall_price: parts.or("other-hall-price", 0.0, Form::amount)?,
            };
            Ok(Deployment {
                listen: address(parts.need("listen")?)?,
                roster: address(parts.need("roster")?)?,
                remembered: parts.find("remembered").map(Form::text).transpose()?.map(PathBuf::from),
                keepers: parts.or("keepers", Vec::new(), keepers)?,
                rolls: parts.find("rolls").map(Form::text).transpose()?.map(PathBuf::from),
                seed: parts.or("seed", 0, |form| form.whole(0, u64::MAX))?,
                cluster,
                halls,
                kinds: kind_names,
                tracks: names(track_forms.iter().map(|form| form.name).collect()),
                accounts: names(account_forms.iter().map(|form| form.name).collect()),
                bounds: parts.find("bounds").map_or(Ok(Bounds::default()), bounds)?,
            })
        })
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            in_hand: 20_000,
            calls: 10_000,
            links: 1_024,
            offers_a_node: 256,
            words_a_client: 64,
            message: 64 * 1024,
            connect_within: 2_500,
            keep_alive: 100_000,
            idle_close: 150_000,
            answer_ahead: 12_000,
            stop_within: 80_000,
        }
    }
}

fn names(words: Vec<&str>) -> Vec<String> {
    words.into_iter().map(String::from).collect()
}

/// `(listen "127.0.0.1:7100")`
pub fn address(form: &Form) -> Result<SocketAddr, Fault> {
    let text = form.text()?;
    text.parse().map_err(|_| form.fault(format!("`{text}` is no address with a port")))
}

fn keepers(form: &Form) -> Result<Vec<MachineId>, Fault> {
    let ids = form.wholes(u64::from(u32::MAX))?;
    Ok(ids.into_iter().map(|id| MachineId(id as u32)).collect())
}

fn cold(form: &Form) -> Result<Cold, Fault> {
    let parts = form.parts(&["lasts", "window", "offers"])?;
    Ok(Cold {
        lasts: parts.need("lasts")?.time()?,
        window: parts.need("window")?.time()?,
        offers: parts.need("offers")?.amount()?,
    })
}

fn account(form: &Form) -> Result<Account, Fault> {
    let parts = form.parts(&["share-cores"])?;
    Ok(Account { share_cores: parts.find("share-cores").map(Form::amount).transpose()? })
}

fn track(form: &Form, kinds: &[String]) -> Result<Track, Fault> {
    let known = ["repeat", "within", "window", "contract-time", "calm", "priority", "kind", "spread", "most"];
    let parts = form.parts(&known)?;
    let place = |form: &Form| {
        Ok([Place::Machine, Place::Cell, Place::Hall][form.one_of(&["machine", "cell", "hall"])?])
    };
    let repeat_form = parts.need("repeat")?;
    let repeat = match repeat_form.one_of(&["idempotent", "deduplicated", "unrepeatable"])? {
        0 => Repeat::Idempotent,
        1 => Repeat::Deduplicated {
            within: parts.find("within").map(place).transpose()?,
            window: parts.need("window")?.time()?,
        },
        _ => Repeat::Unrepeatable,
    };
    if !matches!(repeat, Repeat::Deduplicated { .. })
        && let Some(part) = parts.find("within").or(parts.find("window"))
    {
        return Err(part.fault("stands only beside `(repeat deduplicated)`"));
    }
    let spread = match parts.find("spread") {
        Some(form) => Some((place(form)?, parts.need("most")?.whole(1, 1_000_000)? as usize)),
        None => None,
    };
    if let (None, Some(part)) = (spread, parts.find("most")) {
        return Err(part.fault("stands only beside `(spread …)`"));
    }
    Ok(Track {
        repeat,
        contract_time: parts.need("contract-time")?.time()?,
        calm: parts.or("calm", 1.0, Form::above_zero)?,
        priority: parts.or("priority", 0, |form| Ok(form.whole(0, 3)? as u8))?,
        kind: parts.find("kind").map(|form| form.one_of(kinds).map(KindId)).transpose()?,
        spread,
    })
}

fn bounds(form: &Form) -> Result<Bounds, Fault> {
    let parts = form.parts(&[
        "in-hand",
        "calls",
        "links",
        "offers-a-node",
        "words-a-client",
        "message",
        "connect-within",
        "keep-alive",
        "idle-close",
        "answer-ahead",
        "stop-within",
    ])?;
    let usual = Bounds::default();
    let count = |name, absent: usize, least, most| {
        parts.or(name, absent, |form| Ok(form.whole(least, most)? as usize))
    };
    let time = |name, absent, least: Tenths| {
        let read = |form: &Form| match form.time()? {
            time if time >= least => Ok(time),
            _ => Err(form.fault(format!("must be {} ms or more", least / 10))),
        };
        parts.or(name, absent, read)
    };
    Ok(Bounds {
        in_hand: count("in-hand", usual.in_hand, 1, 10_000_000)?,
        calls: count("calls", usual.calls as usize, 1, 1_000_000)? as u32,
        links: count("links", usual.links, 1, 100_000)?,
        offers_a_node: count("offers-a-node", usual.offers_a_node, 1, 100_000)?,
        words_a_client: count("words-a-client", usual.words_a_client, 8, 100_000)?,
        message: count("message", usual.message, 1024, 16 << 20)?,
        connect_within: time("connect-within", usual.connect_within, 10)?,
        keep_alive: time("keep-alive", usual.keep_alive, 1_000)?,
        idle_close: time("idle-close", usual.idle_close, 1_000)?,
        answer_ahead: time("answer-ahead", usual.answer_ahead, 0)?,
        stop_within: time("stop-within", usual.stop_within, 0)?,
    })
}
