//! Rolling updates: the conductors' answers carried out, keepers asked, claims kept on disk before the step that
//! depends on them. What is decided stands in `corkspan_roll`.

use crate::desk::Desk;
use crate::links::NodeLink;
use corkspan::interface::Tenths;
use corkspan_api::v1;
use corkspan_fleet::record::Span;
use corkspan_roll::Grant;
use corkspan_roll::conductor::{Conductor, Look, Votes};
use corkspan_roll::{ClaimId, Order, Phase, Roll, in_force, majority, to_follow};
use corkspan_rpc::within;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;
use tonic::{Request, Response, Status};
use tracing::{error, info, warn};
use v1::keep_ask::Ask;

/// Claims that are out or held, as JSON.
const CLAIMS: TableDefinition<u64, &str> = TableDefinition::new("claims");
/// Rolls in force, as JSON by service.
const ROLLS: TableDefinition<&str, &str> = TableDefinition::new("rolls");

/// What the dispatcher remembers of its versions, as JSON under one key.
const RECORD: TableDefinition<&str, &str> = TableDefinition::new("record");

/// Between two rounds to the keepers while a roll goes on.
const ROUND: Duration = Duration::from_millis(300);
/// The same while none does: hundreds of dispatchers ask the same few keepers.
const IDLE_ROUND: Duration = Duration::from_secs(2);
/// Services with a roll that one dispatcher follows at the most.
const MOST: usize = 10_000;

/// Two copies of one task that a roll has beside each other, by their placings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    pub old: String,
    pub new: String,
    /// The old one is being stopped: either may be the one that its owner knows.
    pub retires: bool,
}

/// A claim as the store has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    #[serde(skip, default = "nobody")]
    pub claim: ClaimId,
    pub service: String,
    pub task: String,
    /// A majority has granted it.
    pub won: bool,
    pub pair: Option<Pair>,
}

fn nobody() -> ClaimId {
    ClaimId(0)
}

/// Opens the database of a store, as often as it takes.
type Opens = Box<dyn Fn() -> Result<Database, String> + Send + Sync>;

/// What survives a restart.
pub struct Store {
    open: RwLock<Option<Database>>,
    opens: Opens,
}

/// Closes the store when it goes, whoever still has a hand on the desk: the next life in this process opens it.
pub struct Closes(pub Arc<Store>);

impl Drop for Closes {
    fn drop(&mut self) {
        *self.0.open.write().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

impl Store {
    /// Opens the store; one that can't be read is set aside and said, and begun anew: the keepers still hold
    /// what it held.
    pub fn open(path: Option<&Path>) -> Self {
        let Some(path) = path.map(Path::to_owned) else {
            let opens = Box::new(|| Err("there is no store".into()));
            return Store { open: RwLock::new(None), opens };
        };
        if let Err(why) = sound(|| Ok(Database::create(&path)?)) {
            let aside = path.with_extension("aside");
            warn!(path = %path.display(), why, "the store of rolls can't be read; set aside");
            if let Err(why) = std::fs::rename(&path, &aside) {
                warn!(path = %path.display(), %why, "and can't be set aside either");
            }
        }
        Store::over(move || Ok(Database::create(&path)?))
    }

    /// A store over what `opens` opens, now and after each failed write.
    pub fn over(opens: impl Fn() -> Result<Database, redb::Error> + Send + Sync + 'static) -> Self {
        let opens: Opens = Box::new(move || sound(&opens));
        let open = opens();
        if let Err(why) = &open {
            error!(why, "no store of rolls: this dispatcher takes no step of any");
        }
        Store { open: RwLock::new(open.ok()), opens }
    }

    /// A database whose disk was full for a moment takes nothing more for good, so it is opened anew at the next
    /// write: each writer tries once, and says what stood in its way.
    fn write(
        &self,
        change: impl FnOnce(&redb::WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), String> {
        if self.open.read().unwrap_or_else(PoisonError::into_inner).is_none() {
            let mut open = self.open.write().unwrap_or_else(PoisonError::into_inner);
            if open.is_none() {
                *open = Some((self.opens)()?);
                info!("the store of rolls can be written again");
            }
        }
        let written = {
            let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
            let Some(database) = &*open else { return Err("there is no store".into()) };
            let whole = || {
                let transaction = database.begin_write()?;
                change(&transaction)?;
                transaction.commit()?;
                Ok::<(), redb::Error>(())
            };
            whole()
        };
        written.map_err(|why| {
            *self.open.write().unwrap_or_else(PoisonError::into_inner) = None;
            why.to_string()
        })
    }

    pub fn claim(&self, held: &Held) -> Result<(), String> {
        let text = serde_json::to_string(held).map_err(|why| why.to_string())?;
        self.write(|transaction| {
            transaction.open_table(CLAIMS)?.insert(held.claim.0, &text[..])?;
            Ok(())
        })
    }

    pub fn release(&self, claim: ClaimId) -> Result<(), String> {
        self.write(|transaction| {
            transaction.open_table(CLAIMS)?.remove(claim.0)?;
            Ok(())
        })
    }

    pub fn roll(&self, roll: &Roll) -> Result<(), String> {
        let text = serde_json::to_string(roll).map_err(|why| why.to_string())?;
        self.write(|transaction| {
            transaction.open_table(ROLLS)?.insert(&roll.service[..], &text[..])?;
            Ok(())
        })
    }

    /// Spans of versions.
    pub fn record(&self, spans: &VecDeque<Span>) -> Result<(), String> {
        let text = serde_json::to_string(spans).map_err(|why| why.to_string())?;
        self.write(|transaction| {
            transaction.open_table(RECORD)?.insert("spans", &text[..])?;
            Ok(())
        })
    }

    /// What earlier lives kept of their versions; nothing where that can't be read, which is said.
    pub fn spans(&self) -> VecDeque<Span> {
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        let Some(database) = &*open else { return VecDeque::new() };
        let read = || -> Result<VecDeque<Span>, String> {
            let transaction = database.begin_read().map_err(|why| why.to_string())?;
            let table = transaction.open_table(RECORD).map_err(|why| why.to_string())?;
            let text = table.get("spans").map_err(|why| why.to_string())?;
            text.map_or(Ok(VecDeque::new()), |text| {
                serde_json::from_str(text.value()).map_err(|why| format!("record: {why}"))
            })
        };
        read().unwrap_or_else(|why| {
            warn!(why, "what was kept of versions can't be read, and is begun anew");
            VecDeque::new()
        })
    }

    pub fn read(&self) -> Kept {
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        let Some(database) = &*open else { return Default::default() };
        read(database).unwrap_or_else(|why| {
            error!(why, "the store of rolls can't be read");
            Default::default()
        })
    }
}

/// A database whose tables all read as they should.
fn sound(open: impl Fn() -> Result<Database, redb::Error>) -> Result<Database, String> {
    // redb asserts that a file is as long as its header says, and would take the dispatcher down with a torn one.
    let opened = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| open_sound(open)));
    opened.unwrap_or_else(|_| Err("it is not whole".into()))
}

fn open_sound(open: impl Fn() -> Result<Database, redb::Error>) -> Result<Database, String> {
    let text = |why: redb::Error| why.to_string();
    let database = open().map_err(text)?;
    let transaction = database.begin_write().map_err(|why| text(why.into()))?;
    transaction.open_table(CLAIMS).map_err(|why| text(why.into()))?;
    transaction.open_table(ROLLS).map_err(|why| text(why.into()))?;
    transaction.open_table(RECORD).map_err(|why| text(why.into()))?;
    transaction.commit().map_err(|why| text(why.into()))?;
    read(&database)?;
    Ok(database)
}

fn read(database: &Database) -> Result<Kept, String> {
    fn text(why: impl ToString) -> String {
        why.to_string()
    }
    let transaction = database.begin_read().map_err(text)?;
    let (mut rolls, mut claims) = (Vec::new(), Vec::new());
    for line in transaction.open_table(ROLLS).map_err(text)?.iter().map_err(text)? {
        rolls.push(serde_json::from_str(line.map_err(text)?.1.value()).map_err(text)?);
    }
    for line in transaction.open_table(CLAIMS).map_err(text)?.iter().map_err(text)? {
        let (claim, value) = line.map_err(text)?;
        let held: Held = serde_json::from_str(value.value()).map_err(text)?;
        claims.push(Held { claim: ClaimId(claim.value()), ..held });
    }
    Ok((rolls, claims))
}

/// What the store held at the start.
pub type Kept = (Vec<Roll>, Vec<Held>);

/// Slots that keepers tell of, each with how many tell it.
type Told = Vec<(u32, Grant, usize)>;

/// The rolls that a dispatcher knows of, by service.
pub struct Rolls {
    me: u32,
    seed: u64,
    conductors: BTreeMap<String, Conductor>,
    /// What keepers told last.
    held: BTreeMap<String, Told>,
    heard: usize,
}

impl Rolls {
    pub fn new(me: u32, seed: u64, now: Tenths, (rolls, claims): Kept) -> Self {
        let mut own = Rolls { me, seed, conductors: BTreeMap::new(), held: BTreeMap::new(), heard: 0 };
        rolls.into_iter().for_each(|roll| own.adopt(now, roll));
        for Held { claim, service, task, won, .. } in claims {
            match own.conductors.get_mut(&service) {
                Some(conductor) => conductor.remember(claim, &task, won),
                None => warn!(service, task, "a claim of a roll that the store doesn't know"),
            }
        }
        own
    }

    /// The version of its program that a copy of the service gets now; empty where there was no roll.
    pub fn wanted(&self, service: &str) -> String {
        self.conductors.get(service).map_or_else(String::new, |conductor| conductor.roll().wanted().into())
    }

    /// Whether any roll has steps left to take: copies of another version, slots in use, or claims of ours.
    fn goes_on(&self) -> bool {
        let steps = |own: &Conductor| own.claims().next().is_some() || own.has_steps();
        self.conductors.values().any(steps) || self.held.values().any(|held| !held.is_empty())
    }

    pub fn of(&mut self, service: &str) -> Option<&mut Conductor> {
        self.conductors.get_mut(service)
    }

    pub fn adopt(&mut self, now: Tenths, roll: Roll) {
        let full = self.conductors.len() >= MOST;
        match self.conductors.get_mut(&roll.service) {
            Some(conductor) => conductor.adopt(roll),
            None if !full => {
                let seed = self.seed ^ corkspan_host::service(&roll.service).0;
                self.conductors.insert(roll.service.clone(), Conductor::new(self.me, seed, roll, now));
            }
            None => warn!(service = roll.service, "too many rolls; this one is left out"),
        }
    }
}

/// Goes round the keepers again and again, for as long as it is polled.
pub async fn run(desk: Arc<Desk>) {
    if desk.deployment().keepers.is_empty() {
        return;
    }
    // Apart from the rounds: a node that is out of reach must not hold them up.
    let _clears = desk.tasks.spawn(clear_all(Arc::clone(&desk)));
    loop {
        round(&desk).await;
        let goes_on = desk.with_rolls(|_, rolls| rolls.goes_on());
        async_io::Timer::after(if goes_on { ROUND } else { IDLE_ROUND }).await;
    }
}

async fn clear_all(desk: Arc<Desk>) {
    loop {
        desk.clear_orphans().await;
        async_io::Timer::after(ROUND).await;
    }
}

async fn round(desk: &Arc<Desk>) {
    let told = ask_all(desk, Ask::Tell(v1::Tell::default())).await;
    let keepers = desk.deployment().keepers.len();
    let mut by_service: BTreeMap<String, (Vec<Roll>, Told)> = BTreeMap::new();
    for kept in told.iter().flat_map(|word| &word.kept) {
        let Some(roll) = kept.roll.as_ref().and_then(roll_of) else { continue };
        let (rolls, held) = by_service.entry(roll.service.clone()).or_default();
        rolls.push(roll);
        for slot in &kept.slots {
            let grant =
                Grant { claim: ClaimId(slot.claim), task: slot.task.clone(), dispatcher: slot.dispatcher };
            match held.iter_mut().find(|(other, own, _)| *other == slot.slot && *own == grant) {
                Some((_, _, many)) => *many += 1,
                None => held.push((slot.slot, grant, 1)),
            }
        }
    }
    let mut later = Vec::new();
    desk.with_rolls(|_, rolls| {
        rolls.heard = told.len();
        for (service, (told, held)) in by_service {
            let known = rolls.conductors.get(&service).map_or(0, |own| own.roll().number);
            later.extend(in_force(&told, keepers).filter(|roll| roll.number > known).cloned());
            rolls.held.insert(service, held);
        }
    });
    for roll in later {
        // On disk first: a restart that fell back to the version before would place both.
        let (store, kept) = (Arc::clone(&desk.store), roll.clone());
        match blocking::unblock(move || store.roll(&kept)).await {
            Ok(()) => {
                info!(
                    service = roll.service,
                    number = roll.number,
                    version = roll.version,
                    "a roll is in force"
                );
                desk.adopt(roll);
            }
            Err(why) => {
                warn!(service = roll.service, why, "a roll can't be kept on disk, and is not followed")
            }
        }
    }
    // Without a majority what they tell is not the whole truth, and nothing can be won.
    let looks: Vec<(String, Roll, Look)> = desk.with_rolls(|now, rolls| {
        if !majority(rolls.heard, keepers) {
            return Vec::new();
        }
        let held = &rolls.held;
        let all = rolls.conductors.iter_mut().map(|(service, conductor)| {
            let held = held.get(service).map_or(&[][..], |held| &held[..]);
            let recalled = conductor.recall(held, rolls.heard, keepers);
            let mut look = conductor.look(now, held);
            look.release.extend(recalled.gone);
            look.claims.extend(recalled.again);
            (service.clone(), conductor.roll().clone(), look)
        });
        all.collect()
    });
    for (service, roll, look) in looks {
        carry_out(desk, &service, roll, look).await;
    }
    desk.stop_old_copies();
}

async fn carry_out(desk: &Arc<Desk>, service: &str, roll: Roll, look: Look) {
    for claim in look.release {
        release(desk, service, claim).await;
    }
    for (claim, task) in look.clear {
        desk.clear(service, &task, claim);
    }
    if let Some(why) = look.halt {
        warn!(service, version = roll.version, why, "the roll halts");
        let halted = roll.with_phase(Phase::Halted(why), u64::from(desk.deployment().cluster.number as u32));
        let _ = propose(desk, halted).await;
    }
    look.withdraw.iter().for_each(|task| desk.put_away(task));
    for task in look.retire {
        // On disk before the old one is stopped: a restart can't know which of the two the owner has.
        if keep_pair(desk, service, &task, true).await.is_some() {
            desk.retire(&task);
        }
    }
    grow(desk, service, look.grow).await;
    for task in look.replace {
        desk.replace(&task);
    }
    for (claim, slot, task) in look.claims {
        let mut granted = 0;
        if keep_claim(desk, claim, service, &task, false, None).await {
            let dispatcher = desk.deployment().cluster.number as u32;
            let slot = v1::Slot { slot, claim: claim.0, task: task.clone(), dispatcher };
            let by = Some(desk.by(desk.deployment().keepers.len()));
            let ask = v1::Claim { service: service.into(), number: roll.number, slot: Some(slot), by };
            let words = ask_all(desk, Ask::Claim(ask)).await;
            granted = words.iter().filter(|word| word.granted).count();
        }
        let keepers = desk.deployment().keepers.len();
        // On disk before anything is taken down under it: a restart must know that the slot is used.
        if majority(granted, keepers) && !keep_claim(desk, claim, service, &task, true, None).await {
            granted = 0;
        }
        let votes = Votes { granted, keepers };
        let won = desk.with_rolls(|now, rolls| {
            rolls.of(service).is_some_and(|conductor| conductor.claimed(now, claim, votes))
        });
        if !won {
            release(desk, service, claim).await;
            continue;
        }
        // At once: a slot that is held and not used may be taken for one that was left behind.
        let (grown, replace) = desk.with_rolls(|now, rolls| {
            let both = rolls.of(service).map(|own| (own.look_to_grow(now), own.look_at_held(now)));
            both.unwrap_or_default()
        });
        grow(desk, service, grown).await;
        replace.into_iter().for_each(|task| desk.replace(&task));
    }
}

/// The two of an earlier life are put away: the claim alone stays on disk, unless it is used anew by now.
pub async fn forget_pair(desk: &Arc<Desk>, claim: ClaimId, pair: Pair) {
    let store = Arc::clone(&desk.store);
    let kept = blocking::unblock(move || {
        let held =
            store.read().1.into_iter().find(|held| held.claim == claim && held.pair == Some(pair.clone()));
        held.map_or(Ok(()), |held| store.claim(&Held { pair: None, ..held }))
    });
    if let Err(why) = kept.await {
        warn!(why, "what an earlier life left is gone, and stays on disk");
    }
}

/// Starts new copies beside old ones.
async fn grow(desk: &Arc<Desk>, service: &str, tasks: Vec<String>) {
    for task in tasks {
        if desk.puts_away(&task) {
            desk.with_rolls(|_, rolls| rolls.of(service).map(|conductor| conductor.grow_later(&task)));
            continue;
        }
        match keep_pair(desk, service, &task, false).await {
            Some(pair) => desk.grow(&task, &pair.new),
            None => desk.not_grown(service, &task),
        }
    }
}

/// Keeps on disk that two copies of a task are about to be beside each other, or the old one to be stopped.
async fn keep_pair(desk: &Arc<Desk>, service: &str, task: &str, retires: bool) -> Option<Pair> {
    let claim = desk.with_rolls(|_, rolls| rolls.of(service)?.claim_of(task))?;
    let pair = Pair { retires, ..desk.pair(task)? };
    keep_claim(desk, claim, service, task, true, Some(pair.clone())).await.then_some(pair)
}

async fn keep_claim(
    desk: &Arc<Desk>,
    claim: ClaimId,
    service: &str,
    task: &str,
    won: bool,
    pair: Option<Pair>,
) -> bool {
    let store = Arc::clone(&desk.store);
    let held = Held { claim, service: service.into(), task: task.into(), won, pair };
    let kept = blocking::unblock(move || store.claim(&held)).await;
    if let Err(why) = &kept {
        warn!(service, task, why, "a claim can't be kept on disk, and is not used");
    }
    kept.is_ok()
}

/// Gives a claim back at all keepers.
pub async fn release(desk: &Arc<Desk>, service: &str, claim: ClaimId) {
    let ask = v1::Release { service: service.into(), claim: claim.0 };
    // A keeper that doesn't hear tells of it again, and hears it again then.
    ask_all(desk, Ask::Release(ask)).await;
    let store = Arc::clone(&desk.store);
    if let Err(why) = blocking::unblock(move || store.release(claim)).await {
        warn!(service, why, "a claim given back stays on disk");
    }
}

/// Proposes a wish to all keepers. What stands at a majority afterwards, if anything does.
async fn propose(desk: &Arc<Desk>, roll: Roll) -> Option<Roll> {
    let words = ask_all(desk, Ask::Propose(message(&roll))).await;
    let stands: Vec<Roll> = words
        .iter()
        .flat_map(|word| &word.kept)
        .filter_map(|kept| kept.roll.as_ref().and_then(roll_of))
        .collect();
    in_force(&stands, desk.deployment().keepers.len()).cloned()
}

/// Asks all keepers at once; what those say that answer within a link's time.
pub async fn ask_all(desk: &Arc<Desk>, ask: Ask) -> Vec<v1::KeepWord> {
    let calls: Vec<_> = (desk.deployment().keepers.iter())
        .filter_map(|keeper| desk.node(*keeper))
        .map(|node| {
            let (desk, ask) = (Arc::clone(desk), v1::KeepAsk { ask: Some(ask.clone()) });
            let tasks = Arc::clone(&desk.tasks);
            tasks.spawn(async move { keep(&desk, &node, ask).await })
        })
        .collect();
    let mut words = Vec::new();
    for call in calls {
        words.extend(call.await);
    }
    words
}

async fn keep(desk: &Desk, node: &Arc<NodeLink>, ask: v1::KeepAsk) -> Option<v1::KeepWord> {
    let _call = node.call();
    let whole = async {
        let link = node.ready(&desk.tasks, &desk.link_bounds).await.ok()?;
        let client = v1::node_client::NodeClient::new(link);
        // Longer than a client's message: all rolls and their slots.
        let mut client = client.max_decoding_message_size(16 << 20);
        client.keep(ask).await.ok().map(Response::into_inner)
    };
    within(desk.link_bounds.connect_within * 2, Box::pin(whole)).await.flatten()
}

pub fn message(roll: &Roll) -> v1::Roll {
    let (phase, why) = match &roll.phase {
        Phase::Rolling => (v1::roll::Phase::Rolling, String::new()),
        Phase::Paused => (v1::roll::Phase::Paused, String::new()),
        Phase::Halted(why) => (v1::roll::Phase::Halted, why.clone()),
    };
    v1::Roll {
        service: roll.service.clone(),
        number: roll.number,
        asker: roll.asker,
        version: roll.version.clone(),
        former: roll.former.clone(),
        unversioned: roll.unversioned.clone(),
        unready_most: roll.unready_most,
        batch: roll.batch,
        ready_for: roll.ready_for,
        ready_within: roll.ready_within,
        failures_most: roll.failures_most,
        phase: phase.into(),
        why,
        start_first: roll.order == Order::StartFirst,
    }
}

/// None where it is no roll that can be followed.
pub fn roll_of(roll: &v1::Roll) -> Option<Roll> {
    let sound = !roll.service.is_empty() && !roll.version.is_empty() && roll.unready_most > 0;
    sound.then(|| Roll {
        service: roll.service.clone(),
        number: roll.number,
        asker: roll.asker,
        version: roll.version.clone(),
        former: roll.former.clone(),
        unversioned: roll.unversioned.clone(),
        unready_most: roll.unready_most,
        batch: roll.batch.max(1),
        order: if roll.start_first { Order::StartFirst } else { Order::StopFirst },
        ready_for: roll.ready_for,
        ready_within: roll.ready_within,
        failures_most: roll.failures_most,
        phase: match roll.phase() {
            v1::roll::Phase::Rolling => Phase::Rolling,
            v1::roll::Phase::Paused => Phase::Paused,
            v1::roll::Phase::Halted => Phase::Halted(roll.why.clone()),
        },
    })
}

/// What operators ask.
#[derive(Clone)]
pub struct Operators(pub Arc<Desk>);

impl Operators {
    async fn wish(&self, roll: Roll) -> Result<Response<v1::RollWord>, Status> {
        let stands = propose(&self.0, roll.clone()).await;
        let taken = stands.as_ref() == Some(&roll);
        let text = match &stands {
            _ if taken => String::new(),
            Some(other) => format!(
                "turned down: roll {} of {} to {} stands, asked for at the same time or before",
                other.number, other.service, other.version
            ),
            None => "no majority of the keepers has taken it; nothing is known to stand".into(),
        };
        Ok(Response::new(v1::RollWord { taken, text, stands: stands.as_ref().map(message) }))
    }

    /// The roll in force as a majority of the keepers tells it now, not as we heard last.
    async fn stands(&self, service: &str) -> Result<Option<Roll>, Status> {
        let keepers = self.0.deployment().keepers.len();
        let told = ask_all(&self.0, Ask::Tell(v1::Tell::default())).await;
        if !majority(told.len(), keepers) {
            let text = format!("{} of {keepers} keepers answer; a majority is needed", told.len());
            return Err(Status::unavailable(text));
        }
        let rolls =
            told.iter().flat_map(|word| &word.kept).filter_map(|kept| kept.roll.as_ref().and_then(roll_of));
        let rolls: Vec<Roll> = rolls.filter(|roll| roll.service == service).collect();
        Ok(to_follow(&rolls, keepers))
    }
}

#[tonic::async_trait]
impl v1::rolls_server::Rolls for Operators {
    async fn start(&self, request: Request<v1::RollAsk>) -> Result<Response<v1::RollWord>, Status> {
        let ask = request.into_inner();
        let wrong = |why: &str| Err(Status::invalid_argument(why));
        if self.0.deployment().keepers.is_empty() {
            return Err(Status::failed_precondition("the deployment names no keepers"));
        }
        if ask.service.is_empty() || ask.version.is_empty() || ask.service.len().max(ask.version.len()) > 256
        {
            return wrong("service and version: 1 to 256 bytes are wanted");
        }
        if !(1..=100_000).contains(&ask.unready_most) {
            return wrong("unready-most: 1 to 100000 is wanted");
        }
        let most_ms = 24 * 3600 * 1000;
        if !(1..=most_ms).contains(&ask.ready_within_ms) || !(1000..=most_ms).contains(&ask.ready_for_ms) {
            return wrong("ready-within: 1 ms to a day, ready-for: 1 s to a day are wanted");
        }
        let before = self.stands(&ask.service).await?;
        let former = match &before {
            Some(roll) if ask.former.is_empty() => roll.wanted().to_string(),
            _ => ask.former,
        };
        let unversioned = before.as_ref().map_or_else(|| former.clone(), |roll| roll.unversioned.clone());
        self.wish(Roll {
            service: ask.service,
            unversioned,
            number: before.map_or(1, |roll| roll.number + 1),
            asker: asker(&self.0),
            version: ask.version,
            former,
            unready_most: ask.unready_most,
            batch: ask.batch.max(1),
            order: if ask.start_first { Order::StartFirst } else { Order::StopFirst },
            ready_for: ask.ready_for_ms * 10,
            ready_within: ask.ready_within_ms * 10,
            failures_most: ask.failures_most,
            phase: Phase::Rolling,
        })
        .await
    }

    async fn change(&self, request: Request<v1::ChangeAsk>) -> Result<Response<v1::RollWord>, Status> {
        let ask = request.into_inner();
        let Some(roll) = self.stands(&ask.service).await? else {
            return Err(Status::not_found(format!("there is no roll of `{}`", ask.service)));
        };
        let asker = asker(&self.0);
        let wish = match ask.what() {
            v1::change_ask::What::Pause => roll.with_phase(Phase::Paused, asker),
            v1::change_ask::What::Resume => roll.with_phase(Phase::Rolling, asker),
            v1::change_ask::What::Undo if roll.former.is_empty() => {
                return Err(Status::failed_precondition("what ran before has no version to go back to"));
            }
            v1::change_ask::What::Undo => roll.undone(asker),
            v1::change_ask::What::Nothing => return Err(Status::invalid_argument("nothing is asked for")),
        };
        self.wish(wish).await
    }

    async fn status(&self, request: Request<v1::RollStatusAsk>) -> Result<Response<v1::RollStatus>, Status> {
        let service = request.into_inner().service;
        let keepers = self.0.deployment().keepers.len() as u32;
        Ok(Response::new(self.0.with_rolls(|_, rolls| {
            let held = rolls.held.get(&service).into_iter().flatten();
            let held = held.map(|(slot, grant, _)| v1::Slot {
                slot: *slot,
                claim: grant.claim.0,
                task: grant.task.clone(),
                dispatcher: grant.dispatcher,
            });
            let held = held.collect();
            let conductor = rolls.conductors.get(&service);
            let (copies, wanted, unready) = conductor.map_or((0, 0, 0), Conductor::counts);
            v1::RollStatus {
                roll: conductor.map(|conductor| message(conductor.roll())),
                copies: copies as u32,
                wanted: wanted as u32,
                unready: unready as u32,
                held,
                keepers,
                keepers_heard: rolls.heard as u32,
            }
        })))
    }
}

/// Tells two who ask at once apart.
fn asker(desk: &Desk) -> u64 {
    desk.clock.now().rotate_left(24) ^ desk.deployment().cluster.number as u64
}
