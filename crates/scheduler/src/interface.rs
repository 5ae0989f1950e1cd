//! What the decisions are handed and what they hand back: plain values, free of any wire.

/// A moment or a length of time in whole tenths of a millisecond. Callers round moments down and
/// allowances down, so that "earlier than" here is never later than in the caller's finer time.
pub type Tenths = u64;

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($of:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

id! {
    /// One placing of an allocation; a returning allocation gets a new one.
    AllocationId(u64);
    /// The same at every scheduler, also after the machine's process restarts.
    MachineId(u32);
    /// The allocations of a service have one track, one shape and one program. The same at every scheduler.
    ServiceId(u64);
    TrackId(usize);
    AccountId(usize);
    KindId(usize);
    HallId(usize);
    /// A small group of related machines.
    CellId(u64);
}

/// Cores and memory, asked, used or offered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amount {
    pub cores: f64,
    pub memory: f64,
}

impl Amount {
    pub const ONE: Amount = Amount {
        cores: 1.0,
        memory: 1.0,
    };

    pub fn most(self, other: Amount) -> Amount {
        Amount {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
        }
    }

    pub fn least(self, other: Amount) -> Amount {
        Amount {
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
        }
    }

    pub fn within(self, limit: Amount) -> bool {
        self.cores <= limit.cores && self.memory <= limit.memory
    }

    /// The larger of the two shares.
    pub fn share_of(self, size: Amount) -> f64 {
        (self.cores / size.cores).max(self.memory / size.memory)
    }
}

macro_rules! each {
    ($($operator:ident $call:ident $sign:tt;)*) => {$(
        impl std::ops::$operator for Amount {
            type Output = Amount;
            fn $call(self, other: Amount) -> Amount {
                Amount { cores: self.cores $sign other.cores, memory: self.memory $sign other.memory }
            }
        }
    )*};
}

each! { Add add +; Sub sub -; Mul mul *; Div div /; }

impl std::ops::Mul<f64> for Amount {
    type Output = Amount;
    fn mul(self, times: f64) -> Amount {
        Amount {
            cores: self.cores * times,
            memory: self.memory * times,
        }
    }
}

impl std::iter::Sum for Amount {
    fn sum<I: Iterator<Item = Amount>>(all: I) -> Amount {
        all.fold(Amount::default(), |sum, each| sum + each)
    }
}

/// What a second run of an allocation would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    /// The machines of one such place, or all where none is named, drop repeats for `window` from
    /// the first send that may have run.
    Deduplicated {
        within: Option<Place>,
        window: Tenths,
    },
    Unrepeatable,
}

/// A place in which repeats are dropped, or a service's allocations limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Machine,
    Cell,
    Hall,
}

#[derive(Clone, Debug)]
pub struct Track {
    pub repeat: Repeat,
    pub contract_time: Tenths,
    /// Served in full while the cores are busy up to this share.
    pub calm: f64,
    pub priority: u8,
    pub kind: Option<KindId>,
    pub spread: Option<(Place, usize)>,
}

#[derive(Clone, Debug)]
pub struct Account {
    /// Cores asked at a time, over all schedulers, that lie within the account's share.
    pub share_cores: Option<f64>,
}

/// Offers that a just started machine bears.
#[derive(Clone, Debug)]
pub struct Cold {
    pub lasts: Tenths,
    pub window: Tenths,
    /// Always borne within a window, from all schedulers together.
    pub offers: f64,
}

/// What is read at start.
#[derive(Clone, Debug)]
pub struct Cluster {
    pub hall: HallId,
    /// Our number among the schedulers that share the machines, from 0, and how many there are.
    pub number: usize,
    pub schedulers: usize,
    pub kinds: Vec<Amount>,
    pub tracks: Vec<Track>,
    pub accounts: Vec<Account>,
    /// Machines accept until the asks reach this multiple of their size.
    pub accepts: Amount,
    /// Machines push out lower priorities where an ask would not fit.
    pub makes_room: bool,
    pub shots: usize,
    /// Placed is answered when the allocation runs, not when it is accepted.
    pub placed_runs: bool,
    /// The list tells the room that nobody has asked for.
    pub shows_room: bool,
    pub may_probe: bool,
    /// Whether the list must be asked for, and how long it may go unasked.
    pub ask_list: Option<Tenths>,
    pub cold: Cold,
    /// A shot may wait so long for a connection before it leaves; 0 where it leaves at once.
    pub opens_within: Tenths,
    /// Part of the result that running in another hall costs.
    pub other_hall_price: f64,
    /// The caller learns by itself when what stands on a machine is lost with it.
    pub tells_loss: bool,
}

/// What one shot has come to. Only some of it proves that the allocation never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Pending,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Debug)]
pub struct Shot {
    pub machine: MachineId,
    pub sent: Tenths,
    pub fate: Fate,
}

/// An allocation in the caller's hands.
#[derive(Clone, Debug)]
pub struct Allocation {
    pub id: AllocationId,
    pub service: ServiceId,
    pub track: TrackId,
    pub account: AccountId,
    pub asks: Amount,
    pub taken: Tenths,
    pub abandon: Tenths,
    pub shots: Vec<Shot>,
}

impl Allocation {
    /// The first shot of which it is not proven that it never ran.
    pub fn bound(&self) -> Option<&Shot> {
        self.shots.iter().find(|shot| shot.fate != Fate::NeverRan)
    }
}

/// Where to send an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    Send {
        machine: MachineId,
        time_out: Tenths,
    },
    NotYet,
    Shed,
    Scrap,
}

/// Why a machine refused or ended an allocation, where it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    NoCores,
    NoMemory,
    QueueFull,
    NotHere,
    Evicted,
    PushedOut,
    SentAway,
}

/// What a machine reports of itself: room not in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub unused: Amount,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Ended,
    Error,
    Refused,
    TimedOut,
    Unconnected,
    Reset,
    Cancelled,
    NotSent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Accepted or running, as [`Cluster::placed_runs`] says.
    Placed,
    Returned {
        ending: Ending,
        reason: Option<Reason>,
        over: bool,
        report: Option<Report>,
    },
}

/// What to do after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    Rest,
    PlaceAgain,
    Shed,
    Scrap,
}

/// How long to wait before asking again, and what to set going meanwhile.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wait {
    pub time: Tenths,
    /// Allocations answered with "not yet" are worth another call now.
    pub ask_again: bool,
    /// Where told, only such of them are that are abandoned up to then: the others would find no
    /// machine. [`crate::rules::Scheduler::none_waits`] is the answer where there are no
    /// others.
    pub ends: Option<Tenths>,
    pub watch_list: bool,
    pub probes: Vec<MachineId>,
    pub moves: Vec<AllocationId>,
    /// Placed ones that are lost with their machines, where the caller doesn't learn that by
    /// itself.
    pub lost: Vec<AllocationId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    Runs,
    Cores(f64),
    Memory(f64),
    Served(f64),
    MachineMemory(f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Serving,
    Draining,
    Gone,
}

/// One line of the list of machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub machine: MachineId,
    pub kind: KindId,
    pub hall: HallId,
    pub cell: CellId,
    pub state: State,
    /// When its process last started; none means long ago.
    pub started: Option<Tenths>,
    /// Room that nobody has asked for, where the list tells it.
    pub unasked: Option<Amount>,
}

impl Entry {
    /// Which place of this kind it is.
    pub fn of(&self, place: Place) -> u64 {
        match place {
            Place::Machine => u64::from(self.machine.0),
            Place::Cell => self.cell.0,
            Place::Hall => self.hall.0 as u64,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Changes,
    Whole,
    /// The last list of an earlier life.
    Remembered,
}
