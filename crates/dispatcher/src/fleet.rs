//! The floor of versions: keepers asked for it, and what is heard of it kept. What is decided stands in
//! `corkspan_fleet`.

use crate::clock::duration;
use crate::desk::Desk;
use crate::keepers::ask_all;
use crate::standing::say;
pub use crate::standing::{message, read};
use corkspan_api::v1::{self, keep_ask::Ask};
use corkspan_fleet::{Floor, next};
use corkspan_keeper::in_force;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tonic::Status;
use tracing::warn;

/// Between two writes of the record.
const WRITTEN_EVERY: Duration = Duration::from_secs(1);

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
