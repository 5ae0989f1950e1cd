//! The deployment file that a dispatcher reads at start. Its grammar is written down in
//! docs/deployment.md.

mod plain;
pub mod schema;
pub mod sexp;
pub mod version;

use corkspan_scheduler::interface::*;
use ipnet::IpNet;
use schema::DocumentKind;
use sexp::{Diagnostic, Diagnostics, Form, Parts};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use version::{SharedParts, VersionId};

/// How a dispatcher follows the floor of versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MinimumVersionSettings {
    /// Between two asks of the keepers.
    pub poll_interval: Ticks,
    /// The floor is raised to so far behind what enough of the fleet run for good, or to what they
    /// ran so long ago.
    pub max_versions_behind: Option<u64>,
    pub max_age: Option<Ticks>,
    /// How many are enough, in thousandths of the fleet.
    pub required_thousandths: u32,
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
    pub endpoint_cache: Option<PathBuf>,
    pub seed: u64,
    /// Nodes that keep the rolls, the same at every dispatcher, and where our own claims are kept.
    pub quorum_members: Vec<MachineId>,
    pub rollout_store: Option<PathBuf>,
    /// Control services that stream versions, and where the last good one is kept.
    pub control_services: Vec<SocketAddr>,
    pub version_cache: Option<PathBuf>,
    /// What the decisions are handed; its lists are in the order of the names below.
    pub cluster: Cluster,
    pub zones: Vec<String>,
    pub machine_types: Vec<String>,
    pub service_classes: Vec<String>,
    pub tenants: Vec<String>,
    pub limits: Limits,
    /// Networks whose addresses may connect as clients; all where none is named.
    pub allowed_networks: Vec<IpNet>,
    /// How the floor of versions is followed; none where it is not.
    pub minimum_version: Option<MinimumVersionSettings>,
    /// Between two looks at machines taken out for work; none where none are.
    pub maintenance_interval: Option<Ticks>,
    /// What it shares with the others, as written.
    pub shared_parts: SharedParts,
    /// What names that: number 0 for a file.
    pub version: VersionId,
}

/// What a dispatcher holds at the most, and how long it waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Allocations in hand.
    pub max_allocations: usize,
    /// Calls of clients that wait at a time on one link, and links.
    pub max_calls: u32,
    pub max_connections: usize,
    /// Offers to one node that have no answer yet.
    pub max_offers_per_node: usize,
    /// Words that wait for one client; of notes beyond, the oldest stay and the new are left out.
    pub max_events_per_client: usize,
    /// Bytes of one message.
    pub max_message_bytes: usize,
    pub connect_timeout: Ticks,
    pub keep_alive_interval: Ticks,
    /// A link to a node with nothing on it is closed after so long.
    pub idle_timeout: Ticks,
    /// The final answer is aimed at so long before the owner's time is up, or at half of the
    /// owner's time where that is less: a dispatcher that stands still for so long answers in
    /// time all the same.
    pub answer_margin: Ticks,
    /// After a signal to stop, shots still out are given up after so long.
    pub shutdown_grace: Ticks,
}

impl Deployment {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, Diagnostics> {
        Self::parse(&path.display().to_string(), &sexp::load(path)?)
    }

    /// Reads and checks a text; `file` is its name in messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, Diagnostics> {
        schema::check(DocumentKind::File, file, text)?;
        let known: Vec<&str> = schema::local_part_names()
            .chain(schema::shared_part_names())
            .collect();
        let read = sexp::with_form(file, text, "deployment", |form| {
            let parts = form.parts(&known)?;
            let shared = Shared::read(&parts)?;
            let cluster = Cluster {
                zone: ZoneId(parts.required("hall")?.choice(&shared.halls)?),
                scheduler_index: parts.required("number")?.integer(0, 99_999)? as usize,
                ..shared.cluster
            };
            let control = parts.get_or("control", Vec::new(), |form| {
                let texts = form.strings()?.into_iter();
                texts
                    .map(|(text, fault)| text.parse().map_err(|_| fault))
                    .collect::<Result<Vec<_>, _>>()
            })?;
            Ok(Deployment {
                listen: address(parts.required("listen")?)?,
                roster: address(parts.required("roster")?)?,
                endpoint_cache: parts
                    .get("remembered")
                    .map(Form::string)
                    .transpose()?
                    .map(PathBuf::from),
                quorum_members: parts.get_or("keepers", Vec::new(), keepers)?,
                rollout_store: parts
                    .get("rolls")
                    .map(Form::string)
                    .transpose()?
                    .map(PathBuf::from),
                control_services: control,
                version_cache: parts
                    .get("versions")
                    .map(Form::string)
                    .transpose()?
                    .map(PathBuf::from),
                seed: parts.get_or("seed", 0, |form| form.integer(0, u64::MAX))?,
                cluster,
                zones: shared.halls,
                machine_types: shared.kinds,
                service_classes: shared.tracks,
                tenants: shared.accounts,
                limits: shared.bounds,
                allowed_networks: shared.allow,
                minimum_version: parts.get("floor").map(floor).transpose()?,
                maintenance_interval: parts.get("maintenance").map(maintenance).transpose()?,
                version: VersionId {
                    number: 0,
                    digest: shared.texts.digest(),
                },
                shared_parts: shared.texts,
            })
        });
        Ok(read?)
    }

    /// The same dispatcher with what a streamed version says instead of the shared parts of its
    /// file. Ids are as that version alone would give them; its number in the stamp is for the
    /// caller to set.
    pub fn with_version(&self, name: &str, texts: &SharedParts) -> Result<Self, Diagnostics> {
        // A part under another's name would be changed and taken away with that.
        for (part, text) in texts.iter() {
            sexp::with_form(&format!("{name}, {part}"), text, part, |_| Ok(()))?;
        }
        let text = texts.to_deployment_text();
        schema::check(DocumentKind::Version, name, &text)?;
        let known: Vec<&str> = schema::shared_part_names().collect();
        let read = sexp::with_form(name, &text, "deployment", |form| {
            let parts = form.parts(&known)?;
            let shared = Shared::read(&parts)?;
            let hall = &self.zones[self.cluster.zone.0];
            let position = shared.halls.iter().position(|known| known == hall);
            let lacks = || {
                parts
                    .required("halls")
                    .map(|form| form.diagnostic(format!("lacks `{hall}`, where this one is")))
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
                zones: shared.halls,
                machine_types: shared.kinds,
                service_classes: shared.tracks,
                tenants: shared.accounts,
                limits: shared.bounds,
                allowed_networks: shared.allow,
                version: VersionId {
                    number: self.version.number,
                    digest: shared.texts.digest(),
                },
                shared_parts: shared.texts,
                ..self.clone()
            })
        });
        Ok(read?)
    }

    /// Whether a client may connect from this address.
    pub fn allows_client(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.allowed_networks.is_empty()
            || self
                .allowed_networks
                .iter()
                .any(|network| network.contains(&address))
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
    bounds: Limits,
    allow: Vec<IpNet>,
    texts: SharedParts,
}

impl Shared {
    fn read(parts: &Parts) -> Result<Self, Diagnostic> {
        let halls = names(parts.required("halls")?.symbols()?);
        let kind_forms = parts.required("kinds")?.user_named_forms()?;
        let kinds = kind_forms
            .iter()
            .map(Form::cores_and_memory)
            .collect::<Result<Vec<_>, _>>()?;
        let kind_names = names(kind_forms.iter().map(|kind| kind.name).collect());
        let track_forms = parts.required("tracks")?.user_named_forms()?;
        let tracks = track_forms.iter().map(|form| track(form, &kind_names));
        let account_forms = parts.get_or("accounts", Vec::new(), Form::user_named_forms)?;
        let cluster = Cluster {
            zone: ZoneId(0),
            scheduler_index: 0,
            scheduler_count: parts.required("schedulers")?.integer(1, 100_000)? as usize,
            machine_types: kinds,
            service_classes: tracks.collect::<Result<Vec<_>, _>>()?,
            tenants: account_forms
                .iter()
                .map(account)
                .collect::<Result<Vec<_>, _>>()?,
            admission_limit: parts.required("accepts")?.cores_and_memory()?,
            preempts: parts.get_or("makes-room", false, Form::boolean)?,
            max_attempts: parts.get_or("shots", 3, |form| Ok(form.integer(1, 100)? as usize))?,
            placed_means_running: parts
                .required("placed-when")?
                .choice(&["accepted", "running"])?
                == 1,
            list_reports_capacity: parts.get_or("shows-room", false, Form::boolean)?,
            health_checks: parts.get_or("may-probe", false, Form::boolean)?,
            list_poll_interval: Some(parts.get_or("ask-list", 100_000, Form::time)?),
            slow_start: cold(parts.required("cold")?)?,
            // This front does not tell when a shot that waited for its link has left.
            connect_timeout: 0,
            cross_zone_cost: parts.get_or("other-hall-price", 0.0, Form::non_negative)?,
            reports_losses: true,
        };
        Ok(Shared {
            cluster,
            halls,
            kinds: kind_names,
            tracks: names(track_forms.iter().map(|form| form.name).collect()),
            accounts: names(account_forms.iter().map(|form| form.name).collect()),
            bounds: parts.get("bounds").map_or(Ok(Limits::default()), bounds)?,
            allow: parts.get_or("allow", Vec::new(), allow)?,
            texts: schema::shared_part_names()
                .filter_map(|name| Some((name.to_string(), parts.get(name)?.to_text())))
                .collect(),
        })
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_allocations: 20_000,
            max_calls: 10_000,
            max_connections: 1_024,
            max_offers_per_node: 256,
            max_events_per_client: 64,
            max_message_bytes: 64 * 1024,
            connect_timeout: 2_500,
            keep_alive_interval: 100_000,
            idle_timeout: 150_000,
            answer_margin: 12_000,
            shutdown_grace: 80_000,
        }
    }
}

fn names(words: Vec<&str>) -> Vec<String> {
    words.into_iter().map(String::from).collect()
}

/// `(listen "127.0.0.1:7100")`
pub fn address(form: &Form) -> Result<SocketAddr, Diagnostic> {
    let text = form.string()?;
    text.parse()
        .map_err(|_| form.diagnostic(format!("`{text}` is no address with a port")))
}

/// `(allow "127.0.0.0/8" "::1")`
fn allow(form: &Form) -> Result<Vec<IpNet>, Diagnostic> {
    let texts = form.strings()?.into_iter();
    let network = |text: &str| {
        text.parse()
            .ok()
            .or_else(|| text.parse().ok().map(IpAddr::into))
    };
    let networks = texts.map(|(text, fault)| {
        let why = format!("`{text}` is no address and no network");
        network(text).ok_or(Diagnostic {
            message: why,
            ..fault
        })
    });
    networks.collect()
}

/// `(floor (every 2 s) (behind 10) (after 60 s) (part 900) (peers "10.0.0.2:7100"))`
fn floor(form: &Form) -> Result<MinimumVersionSettings, Diagnostic> {
    let parts = form.parts(&["every", "behind", "after", "part", "peers"])?;
    let second = |form: &Form| match form.time()? {
        time if time >= 10_000 => Ok(time),
        _ => Err(form.diagnostic("must be 1000 ms or more")),
    };
    let peers = |form: &Form| {
        let texts = form.strings()?.into_iter();
        let peers = texts.map(|(text, fault)| {
            let why = format!("`{text}` is no address with a port");
            text.parse().map_err(|_| Diagnostic {
                message: why,
                ..fault
            })
        });
        peers.collect()
    };
    Ok(MinimumVersionSettings {
        poll_interval: parts.get_or("every", 20_000, second)?,
        max_versions_behind: parts
            .get("behind")
            .map(|form| form.integer(1, u64::MAX))
            .transpose()?,
        max_age: parts.get("after").map(second).transpose()?,
        required_thousandths: parts.get_or("part", 900, |form| form.integer(500, 1_000))? as u32,
        peers: parts.get_or("peers", Vec::new(), peers)?,
    })
}

/// `(maintenance (every 500 ms))`
fn maintenance(form: &Form) -> Result<Ticks, Diagnostic> {
    form.parts(&["every"])?
        .get_or("every", 5_000, |form| match form.time()? {
            time if time >= 1_000 => Ok(time),
            _ => Err(form.diagnostic("must be 100 ms or more")),
        })
}

fn keepers(form: &Form) -> Result<Vec<MachineId>, Diagnostic> {
    let ids = form.integers(u64::from(u32::MAX))?;
    Ok(ids.into_iter().map(|id| MachineId(id as u32)).collect())
}

fn cold(form: &Form) -> Result<SlowStart, Diagnostic> {
    let parts = form.parts(&["lasts", "window", "offers"])?;
    Ok(SlowStart {
        duration: parts.required("lasts")?.time()?,
        window: parts.required("window")?.time()?,
        max_offers: parts.required("offers")?.non_negative()?,
    })
}

fn account(form: &Form) -> Result<Tenant, Diagnostic> {
    let parts = form.parts(&["share-cores"])?;
    Ok(Tenant {
        quota_cores: parts
            .get("share-cores")
            .map(Form::non_negative)
            .transpose()?,
    })
}

fn track(form: &Form, kinds: &[String]) -> Result<ServiceClass, Diagnostic> {
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
            [form.choice(&["machine", "cell", "hall"])?])
    };
    let repeat_form = parts.required("repeat")?;
    let repeat = match repeat_form.choice(&["idempotent", "deduplicated", "unrepeatable"])? {
        0 => RetrySafety::Idempotent,
        1 => RetrySafety::Deduplicated {
            scope: parts.get("within").map(place).transpose()?,
            window: parts.required("window")?.time()?,
        },
        _ => RetrySafety::NotRetryable,
    };
    if !matches!(repeat, RetrySafety::Deduplicated { .. })
        && let Some(part) = parts.get("within").or(parts.get("window"))
    {
        return Err(part.diagnostic("stands only beside `(repeat deduplicated)`"));
    }
    let spread = match parts.get("spread") {
        Some(form) => Some((
            place(form)?,
            parts.required("most")?.integer(1, 1_000_000)? as usize,
        )),
        None => None,
    };
    if let (None, Some(part)) = (spread, parts.get("most")) {
        return Err(part.diagnostic("stands only beside `(spread …)`"));
    }
    Ok(ServiceClass {
        retry_safety: repeat,
        latency_objective: parts.required("contract-time")?.time()?,
        target_utilization: parts.get_or("calm", 1.0, Form::positive)?,
        priority: parts.get_or("priority", 0, |form| Ok(form.integer(0, 3)? as u8))?,
        machine_type: parts
            .get("kind")
            .map(|form| form.choice(kinds).map(MachineTypeId))
            .transpose()?,
        spread,
    })
}

fn bounds(form: &Form) -> Result<Limits, Diagnostic> {
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
    let usual = Limits::default();
    let count = |name, absent: usize, least, most| {
        parts.get_or(name, absent, |form| Ok(form.integer(least, most)? as usize))
    };
    let time = |name, absent, least: Ticks| {
        let read = |form: &Form| match form.time()? {
            time if time >= least => Ok(time),
            _ => Err(form.diagnostic(format!("must be {} ms or more", least / 10))),
        };
        parts.get_or(name, absent, read)
    };
    Ok(Limits {
        max_allocations: count("in-hand", usual.max_allocations, 1, 10_000_000)?,
        max_calls: count("calls", usual.max_calls as usize, 1, 1_000_000)? as u32,
        max_connections: count("links", usual.max_connections, 1, 100_000)?,
        max_offers_per_node: count("offers-a-node", usual.max_offers_per_node, 1, 100_000)?,
        max_events_per_client: count("words-a-client", usual.max_events_per_client, 8, 100_000)?,
        max_message_bytes: count("message", usual.max_message_bytes, 1024, 16 << 20)?,
        connect_timeout: time("connect-within", usual.connect_timeout, 10)?,
        keep_alive_interval: time("keep-alive", usual.keep_alive_interval, 1_000)?,
        idle_timeout: time("idle-close", usual.idle_timeout, 1_000)?,
        answer_margin: time("answer-ahead", usual.answer_margin, 0)?,
        shutdown_grace: time("stop-within", usual.shutdown_grace, 0)?,
    })
}
