//! The floor of versions: keepers asked for it, and what is heard of it kept. What is decided stands in
//! `corkspan_fleet`.

use crate::clock::duration;
use crate::desk::Desk;
use crate::rolls::ask_all;
use corkspan_api::v1::{self, keep_ask::Ask};
use corkspan_deployment::version::Stamp;
use corkspan_fleet::{Floor, Standing, next};
use corkspan_keeper::in_force;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tonic::Status;
use tracing::{info, warn};

/// What a dispatcher has heard of the floor, and which process it is.
pub struct Fleet {
    /// Told with each act: another after each start.
    pub life: u64,
    standing: Mutex<Standing>,
}

impl Fleet {
    pub fn new(life: u64) -> Self {
        Fleet { life, standing: Mutex::default() }
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
