//! A fake host: a handful of machines and whoever asks, with nothing decided in it.

use corkspan_scheduler::interface::*;
use corkspan_scheduler::rules::Scheduler;

pub const SECOND: Tenths = 10_000;
pub const SIZE: Amount = Amount {
    cores: 40.0,
    memory: 100.0,
};

pub fn track(repeat: Repeat) -> Track {
    Track {
        repeat,
        contract_time: SECOND,
        calm: 1.0,
        priority: 0,
        kind: None,
        spread: None,
    }
}

pub fn cluster(track: Track) -> Cluster {
    Cluster {
        hall: HallId(0),
        number: 0,
        schedulers: 1,
        kinds: vec![SIZE],
        tracks: vec![track],
        accounts: Vec::new(),
        accepts: Amount {
            cores: 3.0,
            memory: 1.5,
        },
        makes_room: false,
        shots: 3,
        placed_runs: true,
        shows_room: false,
        may_probe: false,
        ask_list: Some(10 * SECOND),
        cold: Cold {
            lasts: 10 * SECOND,
            window: SECOND,
            offers: 6.0,
        },
        opens_within: 0,
        other_hall_price: 0.0,
        tells_loss: true,
    }
}

pub fn entry(id: u32) -> Entry {
    Entry {
        machine: MachineId(id),
        kind: KindId(0),
        hall: HallId(id as usize % 2),
        cell: CellId(u64::from(id / 2)),
        state: State::Serving,
        started: None,
        unasked: None,
    }
}

pub struct Host {
    pub scheduler: Scheduler,
    pub now: Tenths,
    asked: u64,
}

impl Host {
    pub fn new(cluster: Cluster, seed: u64, machines: u32) -> Self {
        let mut scheduler = Scheduler::new(cluster, seed, 100 * SECOND);
        let entries: Vec<Entry> = (0..machines).map(entry).collect();
        scheduler.listed(Scope::Remembered, &entries);
        Host {
            scheduler,
            now: 100 * SECOND,
            asked: 0,
        }
    }

    pub fn ask(&mut self, service: u64, cores: f64, memory: f64) -> Allocation {
        self.asked += 1;
        Allocation {
            id: AllocationId(self.asked),
            service: ServiceId(service),
            track: TrackId(0),
            account: AccountId(0),
            asks: Amount { cores, memory },
            taken: self.now,
            abandon: self.now + 6 * SECOND,
            shots: Vec::new(),
        }
    }

    pub fn place(&mut self, allocation: &mut Allocation) -> Placement {
        let placement = self.scheduler.place(self.now, allocation);
        if let Placement::Send { machine, .. } = placement {
            allocation.shots.push(Shot {
                machine,
                sent: self.now,
                fate: Fate::Pending,
            });
        }
        placement
    }

    /// Where a further allocation goes, or none.
    pub fn sent_to(&mut self, allocation: &mut Allocation) -> Option<u32> {
        match self.place(allocation) {
            Placement::Send { machine, .. } => Some(machine.0),
            _ => None,
        }
    }

    /// Where a further small one of this service goes, or none.
    pub fn sends(&mut self, service: u64) -> Option<u32> {
        let mut allocation = self.ask(service, 0.1, 0.1);
        self.sent_to(&mut allocation)
    }

    pub fn seated(&mut self, allocation: &Allocation) {
        self.scheduler.after(
            self.now,
            allocation,
            allocation.shots.len() - 1,
            Outcome::Placed,
        );
    }

    pub fn returned(
        &mut self,
        allocation: &mut Allocation,
        ending: Ending,
        reason: Option<Reason>,
    ) -> After {
        let shot = allocation.shots.len() - 1;
        let never = matches!(
            ending,
            Ending::Refused | Ending::Unconnected | Ending::NotSent
        );
        allocation.shots[shot].fate = if never {
            Fate::NeverRan
        } else {
            Fate::MayHaveRun
        };
        let outcome = Outcome::Returned {
            ending,
            reason,
            over: ending == Ending::Ended,
            report: None,
        };
        self.scheduler.after(self.now, allocation, shot, outcome)
    }

    /// An allocation of ours that runs on a machine since `ago`, using so much.
    pub fn runs(
        &mut self,
        service: u64,
        asks: Amount,
        uses: Amount,
        machine: u32,
        ago: Tenths,
    ) -> Allocation {
        let mut allocation = self.ask(service, asks.cores, asks.memory);
        allocation.shots.push(Shot {
            machine: MachineId(machine),
            sent: self.now,
            fate: Fate::MayHaveRun,
        });
        self.now -= ago;
        self.scheduler
            .taken_over(self.now, &allocation, MachineId(machine));
        self.now += ago;
        self.note(&allocation, uses);
        allocation
    }

    pub fn note(&mut self, allocation: &Allocation, uses: Amount) {
        self.scheduler
            .noted(self.now, allocation.id, Note::Cores(uses.cores));
        self.scheduler
            .noted(self.now, allocation.id, Note::Memory(uses.memory));
    }

    /// A machine reports so much in use.
    pub fn reports(&mut self, machine: u32, cores: f64, memory: f64) {
        let unused = SIZE - Amount { cores, memory };
        let report = Report { unused };
        self.scheduler
            .probed(self.now, MachineId(machine), Ending::Ended, Some(report));
    }

    /// The service comes to have records of this use by asked unit.
    pub fn has_records(&mut self, service: u64, share: f64) {
        for _ in 0..5 {
            let asks = Amount {
                cores: 2.0,
                memory: 4.0,
            };
            let mut ended = self.runs(service, asks, asks * share, 0, 30 * SECOND);
            self.returned(&mut ended, Ending::Ended, None);
        }
    }
}
