//! The deployment file that a dispatcher reads at start. Its grammar is written down in
//! docs/deployment.md.

mod plain;
pub mod schema;
pub mod sexp;
pub mod version;

use corkspan_scheduler::interface::*;
use ipnet::IpNet;
use schema::Of;
use sexp::{Fault, Faults, Form, Parts};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use version::{Texts, VersionId};

/// How a dispatcher follows the floor of versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FloorWatch {
    /// Between two asks of the keepers.
    pub every: Ticks,
    /// The floor is raised to so far behind what enough of the fleet run for good, or to what they
    /// ran so long ago.
    pub behind: Option<u64>,
    pub after: Option<Ticks>,
    /// How many are enough, in thousandths of the fleet.
    pub part: u32,
    /// Dispatchers that a newer version may be had from.
    pub peers: Vec<SocketAddr>,
}

/// Everything a dispatcher is told: its own file, and what a streamed version has changed since.
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
    /// Control services that stream versions, and where the last good one is kept.
    pub control: Vec<SocketAddr>,
    pub versions: Option<PathBuf>,
    /// What the decisions are handed; its lists are in the order of the names below.
    pub cluster: Cluster,
    pub halls: Vec<String>,
    pub kinds: Vec<String>,
    pub tracks: Vec<String>,
    pub accounts: Vec<String>,
    pub bounds: Bounds,
    /// Networks whose addresses may connect as clients; all where none is named.
    pub allow: Vec<IpNet>,
    /// How the floor of versions is followed; none where it is not.
    pub floor: Option<FloorWatch>,
    /// Between two looks at machines taken out for work; none where none are.
    pub maintenance: Option<Ticks>,
    /// What it shares with the others, as written.
    pub texts: Texts,
    /// What names that: number 0 for a file.
    pub stamp: VersionId,
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
    pub connect_within: Ticks,
    pub keep_alive: Ticks,
    /// A link to a node with nothing on it is closed after so long.
    pub idle_close: Ticks,
    /// The final answer is aimed at so long before the owner's time is up, or at half of the
    /// owner's time where that is less: a dispatcher that stands still for so long answers in
    /// time all the same.
    pub answer_ahead: Ticks,
    /// After a signal to stop, shots still out are given up after so long.
    pub stop_within: Ticks,
}

impl Deployment {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, Faults> {
        Self::read(&path.display().to_string(), &sexp::load(path)?)
    }

    /// Reads and checks a text; `file` is its name in messages.
    pub fn read(file: &str, text: &str) -> Result<Self, Faults> {
        schema::check(Of::File, file, text)?;
        let known: Vec<&str> = schema::local().chain(schema::shared()).collect();
        let read = sexp::with_form(file, text, "deployment", |form| {
            let parts = form.parts(&known)?;
            let shared = Shared::read(&parts)?;
            let cluster = Cluster {
                zone: ZoneId(parts.need("hall")?.one_of(&shared.halls)?),
                scheduler_index: parts.need("number")?.whole(0, 99_999)? as usize,
                ..shared.cluster
            };
            let control = parts.or("control", Vec::new(), |form| {
                let texts = form.texts()?.into_iter();
                texts
                    .map(|(text, fault)| text.parse().map_err(|_| fault))
                    .collect::<Result<Vec<_>, _>>()
            })?;
            Ok(Deployment {
                listen: address(parts.need("listen")?)?,
                roster: address(parts.need("roster")?)?,
                remembered: parts
                    .find("remembered")
                    .map(Form::text)
                    .transpose()?
                    .map(PathBuf::from),
                keepers: parts.or("keepers", Vec::new(), keepers)?,
                rolls: parts
                    .find("rolls")
                    .map(Form::text)
                    .transpose()?
                    .map(PathBuf::from),
                control,
                versions: parts
                    .find("versions")
                    .map(Form::text)
                    .transpose()?
                    .map(PathBuf::from),
                seed: parts.or("seed", 0, |form| form.whole(0, u64::MAX))?,
                cluster,
                halls: shared.halls,
                kinds: shared.kinds,
                tracks: shared.tracks,
                accounts: shared.accounts,
                bounds: shared.bounds,
                allow: shared.allow,
                floor: parts.find("floor").map(floor).transpose()?,
                maintenance: parts.find("maintenance").map(maintenance).transpose()?,
                stamp: VersionId {
                    number: 0,
                    digest: shared.texts.digest(),
                },
                texts: shared.texts,
            })
        });
        Ok(read?)
    }

    /// The same dispatcher with what a streamed version says instead of the shared parts of its
    /// file. Ids are as that version alone would give them; its number in the stamp is for the
    /// caller to set.
    pub fn with_version(&self, name: &str, texts: &Texts) -> Result<Self, Faults> {
        // A part under another's name would be changed and taken away with that.
        for (part, text) in texts.iter() {
            sexp::with_form(&format!("{name}, {part}"), text, part, |_| Ok(()))?;
        }
        let text = texts.whole();
        schema::check(Of::Version, name, &text)?;
        let known: Vec<&str> = schema::shared().collect();
        let read = sexp::with_form(name, &text, "deployment", |form| {
            let parts = form.parts(&known)?;
            let shared = Shared::read(&parts)?;
            let hall = &self.halls[self.cluster.zone.0];
            let position = shared.halls.iter().position(|known| known == hall);
            let lacks = || {
                parts
                    .need("halls")
                    .map(|form| form.fault(format!("lacks `{hall}`, where this one is")))
            };
            let hall = match position {
                Some(position) => ZoneId(position),
                None => return Err(lacks()?),
            };
            let cluster = Cluster {
                zone: hall,
                scheduler_index: self.cluster.scheduler_index,
                ..shared.cluster
            };
            Ok(Deployment {
                cluster,
                halls: shared.halls,
                kinds: shared.kinds,
                tracks: shared.tracks,
                accounts: shared.accounts,
                bounds: shared.bounds,
                allow: shared.allow,
                stamp: VersionId {
                    number: self.stamp.number,
                    digest: shared.texts.digest(),
                },
                texts: shared.texts,
                ..self.clone()
            })
        });
        Ok(read?)
    }

    /// Whether a client may connect from this address.
    pub fn allows(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.allow.is_empty() || self.allow.iter().any(|network| network.contains(&address))
    }
}

/// What all dispatchers share.
struct Shared {
    /// Its hall and number are no one's.
    cluster: Cluster,
    halls: Vec<String>,
    kinds: Vec<String>,
    tracks: Vec<String>,
    accounts: Vec<String>,
    bounds: Bounds,
    allow: Vec<IpNet>,
    texts: Texts,
}

impl Shared {
    fn read(parts: &Parts) -> Result<Self, Fault> {
        let halls = names(parts.need("halls")?.words()?);
        let kind_forms = parts.need("kinds")?.own_names()?;
        let kinds = kind_forms
            .iter()
            .map(Form::cores_and_memory)
            .collect::<Result<Vec<_>, _>>()?;
        let kind_names = names(kind_forms.iter().map(|kind| kind.name).collect());
        let track_forms = parts.need("tracks")?.own_names()?;
        let tracks = track_forms.iter().map(|form| track(form, &kind_names));
        let account_forms = parts.or("accounts", Vec::new(), Form::own_names)?;
        let cluster = Cluster {
            zone: ZoneId(0),
            scheduler_index: 0,
            scheduler_count: parts.need("schedulers")?.whole(1, 100_000)? as usize,
            machine_types: kinds,
            service_classes: tracks.collect::<Result<Vec<_>, _>>()?,
            tenants: account_forms
                .iter()
                .map(account)
                .collect::<Result<Vec<_>, _>>()?,
            admission_limit: parts.need("accepts")?.cores_and_memory()?,
            preempts: parts.or("makes-room", false, Form::truth)?,
            max_attempts: parts.or("shots", 3, |form| Ok(form.whole(1, 100)? as usize))?,
            placed_means_running: parts
                .need("placed-when")?
                .one_of(&["accepted", "running"])?
                == 1,
            list_reports_capacity: parts.or("shows-room", false, Form::truth)?,
            health_checks: parts.or("may-probe", false, Form::truth)?,
            list_poll_interval: Some(parts.or("ask-list", 100_000, Form::time)?),
            slow_start: cold(parts.need("cold")?)?,
            // This front does not tell when a shot that waited for its link has left.
            connect_timeout: 0,
            cross_zone_cost: parts.or("other-hall-price", 0.0, Form::amount)?,
            reports_losses: true,
        };
        Ok(Shared {
            cluster,
            halls,
            kinds: kind_names,
            tracks: names(track_forms.iter().map(|form| form.name).collect()),
            accounts: names(account_forms.iter().map(|form| form.name).collect()),
            bounds: parts.find("bounds").map_or(Ok(Bounds::default()), bounds)?,
            allow: parts.or("allow", Vec::new(), allow)?,
            texts: schema::shared()
                .filter_map(|name| Some((name.to_string(), parts.find(name)?.written())))
                .collect(),
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
    text.parse()
        .map_err(|_| form.fault(format!("`{text}` is no address with a port")))
}

/// `(allow "127.0.0.0/8" "::1")`
fn allow(form: &Form) -> Result<Vec<IpNet>, Fault> {
    let texts = form.texts()?.into_iter();
    let network = |text: &str| {
        text.parse()
            .ok()
            .or_else(|| text.parse().ok().map(IpAddr::into))
    };
    let networks = texts.map(|(text, fault)| {
        let why = format!("`{text}` is no address and no network");
        network(text).ok_or(Fault { why, ..fault })
    });
    networks.collect()
}

/// `(floor (every 2 s) (behind 10) (after 60 s) (part 900) (peers "10.0.0.2:7100"))`
fn floor(form: &Form) -> Result<FloorWatch, Fault> {
    let parts = form.parts(&["every", "behind", "after", "part", "peers"])?;
    let second = |form: &Form| match form.time()? {
        time if time >= 10_000 => Ok(time),
        _ => Err(form.fault("must be 1000 ms or more")),
    };
    let peers = |form: &Form| {
        let texts = form.texts()?.into_iter();
        let peers = texts.map(|(text, fault)| {
            let why = format!("`{text}` is no address with a port");
            text.parse().map_err(|_| Fault { why, ..fault })
        });
        peers.collect()
    };
    Ok(FloorWatch {
        every: parts.or("every", 20_000, second)?,
        behind: parts
            .find("behind")
            .map(|form| form.whole(1, u64::MAX))
            .transpose()?,
        after: parts.find("after").map(second).transpose()?,
        part: parts.or("part", 900, |form| form.whole(500, 1_000))? as u32,
        peers: parts.or("peers", Vec::new(), peers)?,
    })
}

/// `(maintenance (every 500 ms))`
fn maintenance(form: &Form) -> Result<Ticks, Fault> {
    form.parts(&["every"])?
        .or("every", 5_000, |form| match form.time()? {
            time if time >= 1_000 => Ok(time),
            _ => Err(form.fault("must be 100 ms or more")),
        })
}

fn keepers(form: &Form) -> Result<Vec<MachineId>, Fault> {
    let ids = form.wholes(u64::from(u32::MAX))?;
    Ok(ids.into_iter().map(|id| MachineId(id as u32)).collect())
}

fn cold(form: &Form) -> Result<SlowStart, Fault> {
    let parts = form.parts(&["lasts", "window", "offers"])?;
    Ok(SlowStart {
        duration: parts.need("lasts")?.time()?,
        window: parts.need("window")?.time()?,
        max_offers: parts.need("offers")?.amount()?,
    })
}

fn account(form: &Form) -> Result<Tenant, Fault> {
    let parts = form.parts(&["share-cores"])?;
    Ok(Tenant {
        quota_cores: parts.find("share-cores").map(Form::amount).transpose()?,
    })
}

fn track(form: &Form, kinds: &[String]) -> Result<ServiceClass, Fault> {
    let known = [
        "repeat",
        "within",
        "window",
        "contract-time",
        "calm",
        "priority",
        "kind",
        "spread",
        "most",
    ];
    let parts = form.parts(&known)?;
    let place = |form: &Form| {
        Ok([Domain::Machine, Domain::Cell, Domain::Zone]
            [form.one_of(&["machine", "cell", "hall"])?])
    };
    let repeat_form = parts.need("repeat")?;
    let repeat = match repeat_form.one_of(&["idempotent", "deduplicated", "unrepeatable"])? {
        0 => RetrySafety::Idempotent,
        1 => RetrySafety::Deduplicated {
            scope: parts.find("within").map(place).transpose()?,
            window: parts.need("window")?.time()?,
        },
        _ => RetrySafety::NotRetryable,
    };
    if !matches!(repeat, RetrySafety::Deduplicated { .. })
        && let Some(part) = parts.find("within").or(parts.find("window"))
    {
        return Err(part.fault("stands only beside `(repeat deduplicated)`"));
    }
    let spread = match parts.find("spread") {
        Some(form) => Some((
            place(form)?,
            parts.need("most")?.whole(1, 1_000_000)? as usize,
        )),
        None => None,
    };
    if let (None, Some(part)) = (spread, parts.find("most")) {
        return Err(part.fault("stands only beside `(spread …)`"));
    }
    Ok(ServiceClass {
        retry_safety: repeat,
        latency_objective: parts.need("contract-time")?.time()?,
        target_utilization: parts.or("calm", 1.0, Form::above_zero)?,
        priority: parts.or("priority", 0, |form| Ok(form.whole(0, 3)? as u8))?,
        machine_type: parts
            .find("kind")
            .map(|form| form.one_of(kinds).map(MachineTypeId))
            .transpose()?,
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
    let time = |name, absent, least: Ticks| {
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
