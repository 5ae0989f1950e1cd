//! The floor of versions: keepers asked for it, and what is heard of it kept. What is decided stands in
//! `corkspan_fleet`.

use crate::clock::{duration, wall_ms};
use crate::desk::Desk;
use crate::rolls::ask_all;
use corkspan_api::v1::{self, keep_ask::Ask};
use corkspan_deployment::version::Stamp;
use corkspan_fleet::record::{How, Record, Span};
use corkspan_fleet::{Floor, Standing, next};
use corkspan_keeper::in_force;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tonic::Status;
use tracing::{info, warn};

/// Between two writes of the record.
const WRITTEN_EVERY: Duration = Duration::from_secs(1);

/// What a dispatcher has heard of the floor, and which process it is.
pub struct Fleet {
    /// Told with each act: another after each start.
    pub life: u64,
    standing: Mutex<Standing>,
    record: Mutex<Record>,
    /// Changes of the record, and how many of them are on disk.
    changed: AtomicU64,
    written: AtomicU64,
}

impl Fleet {
    /// `spans`: of earlier lives; `running`: what is in force at the start.
    pub fn new(life: u64, spans: VecDeque<Span>, running: Stamp) -> Self {
        let record = Mutex::new(Record::after(spans));
        let (standing, changed, written) = Default::default();
        let fleet = Fleet { life, standing, record, changed, written };
        fleet.began(running, if running.number == 0 { How::File } else { How::Kept });
        fleet
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A version is in force from now on.
    pub fn began(&self, stamp: Stamp, how: How) {
        let (version, digest, from_ms) = (stamp.number, stamp.digest.to_string(), wall_ms());
        self.record().began(Span { version, digest, how, life: self.life, from_ms });
        self.changed.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether something of the record is not on disk yet.
    pub fn unwritten(&self) -> bool {
        self.written.load(Ordering::Relaxed) < self.changed.load(Ordering::Relaxed)
    }

    /// So many acts are about to be sent.
    pub fn acts(&self, stamp: Stamp, many: usize) {
        self.record().acts(stamp.number, many as u64);
    }

    /// What operators are told.
    pub fn told(&self) -> (Vec<v1::Span>, HashMap<u64, u64>) {
        let record = self.record();
        let span = |span: &Span| v1::Span {
            stamp: Some(v1::Stamp { number: span.version, digest: span.digest.clone() }),
            how: match span.how {
                How::File => v1::span::How::File,
                How::Kept => v1::span::How::Kept,
                How::Push => v1::span::How::Push,
                How::GaveUp => v1::span::How::GaveUp,
            }
            .into(),
            life: span.life,
            from_ms: span.from_ms,
        };
        (record.spans().iter().map(span).collect(), record.by_version().collect())
    }

    fn standing(&self) -> MutexGuard<'_, Standing> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn floor(&self) -> Option<Floor> {
        self.standing().floor()
    }

    /// The floor that shuts a dispatcher out that runs this version.
    pub fn shut_out(&self, running: Stamp) -> Option<Floor> {
        self.standing().shut_out(running.number)
    }

    /// A node has turned a shot away.
    pub fn node_tells(&self, floor: Floor, running: Stamp) {
        if self.standing().node_tells(floor) {
            say(floor, running, "a node");
        }
    }
}

fn say(floor: Floor, running: Stamp, from: &str) {
    let Floor { number, lowest, .. } = floor;
    if running.number < lowest {
        warn!(number, lowest, running = running.number, from, "shut out: below the floor of versions");
    } else {
        info!(number, lowest, from, "another floor of versions is in force");
    }
}

/// Keeps on disk which versions were in force, for as long as it is polled. It is a record and no ground for any
/// decision, so nothing waits for it; a disk that is full is tried again.
pub async fn keep(desk: Arc<Desk>) {
    if desk.deployment().rolls.is_none() {
        return;
    }
    let mut told = false;
    loop {
        if desk.fleet.unwritten() {
            // Taken before the record: what changes meanwhile is written in the next round.
            let changed = desk.fleet.changed.load(Ordering::Relaxed);
            let (spans, store) = (desk.fleet.record().spans().clone(), Arc::clone(&desk.store));
            let kept = blocking::unblock(move || store.record(&spans)).await;
            match &kept {
                Ok(()) => desk.fleet.written.store(changed, Ordering::Relaxed),
                Err(why) if !told => {
                    warn!(why, "which versions were in force can't be kept on disk; tried again each second");
                }
                Err(_) => {}
            }
            told = kept.is_err();
        }
        async_io::Timer::after(WRITTEN_EVERY).await;
    }
}

/// Asks the keepers again and again, for as long as it is polled.
pub async fn run(desk: Arc<Desk>) {
    let Some(every) = desk.deployment().floor else { return };
    loop {
        let told = ask(&desk).await;
        let (deployment, fleet) = (desk.deployment(), &desk.fleet);
        let news = fleet.standing().keepers_tell(&told, deployment.keepers.len());
        if let Some(floor) = fleet.floor().filter(|_| news) {
            say(floor, deployment.stamp, "the keepers");
        }
        async_io::Timer::after(duration(every)).await;
    }
}

/// The wishes that stand at those keepers that answer.
async fn ask(desk: &Arc<Desk>) -> Vec<Option<Floor>> {
    let words = ask_all(desk, Ask::Tell(v1::Tell { floor_only: true })).await;
    words.iter().map(|word| word.floor.as_ref().map(read)).collect()
}

/// Asks the keepers for another floor.
pub async fn raise(desk: &Arc<Desk>, lowest: u64) -> Result<v1::FloorWord, Status> {
    let keepers = desk.deployment().keepers.len();
    if keepers == 0 {
        return Err(Status::failed_precondition("the deployment names no keepers"));
    }
    let asker = desk.clock.now().rotate_left(24) ^ desk.fleet.life;
    let wish = match next(&ask(desk).await, keepers, lowest, asker) {
        Ok(wish) => wish,
        Err(why) => {
            let stands = desk.fleet.floor().map(message);
            return Ok(v1::FloorWord { taken: false, text: why.to_string(), stands });
        }
    };
    let words = ask_all(desk, Ask::Floor(message(wish))).await;
    let told: Vec<Floor> = words.iter().filter_map(|word| word.floor.as_ref().map(read)).collect();
    let stands = in_force(&told, keepers).copied();
    let text = match stands {
        Some(floor) if floor == wish => String::new(),
        Some(_) => "turned down: another floor was asked for at the same time".into(),
        None => "no majority of the keepers has taken it; nothing is known to stand".into(),
    };
    Ok(v1::FloorWord { taken: stands == Some(wish), text, stands: stands.map(message) })
}

pub fn message(floor: Floor) -> v1::Floor {
    v1::Floor { number: floor.number, asker: floor.asker, lowest: floor.lowest }
}

pub fn read(floor: &v1::Floor) -> Floor {
    Floor { number: floor.number, asker: floor.asker, lowest: floor.lowest }
}
