//! The events of the exchange, and the defects of its broken variants.

/// The defect of a broken variant of the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    RepliesBeforeTheDisk,
    ValidatesNothing,
    TakesAnyNumber,
    RepliesWithoutNonce,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Publish,
    Open(usize),
    OpenToRival(usize),
    Break(usize),
    Receive(usize),
    Admit(usize),
    Persist(usize),
    Apply(usize),
    Reply(usize),
    Regress(usize),
    Kill(usize),
    Start(usize),
}

impl Event {
    /// Returns all events of one dispatcher.
    pub fn for_dispatcher(dispatcher: usize) -> [Event; 11] {
        let constructors: [fn(usize) -> Event; 11] = [
            Event::Open,
            Event::OpenToRival,
            Event::Break,
            Event::Receive,
            Event::Admit,
            Event::Persist,
            Event::Apply,
            Event::Reply,
            Event::Regress,
            Event::Kill,
            Event::Start,
        ];
        constructors.map(|event| event(dispatcher))
    }
}
