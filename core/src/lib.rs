//! The core of the steering proxy: requests, attempts, outcomes, deadlines and counters, the planner that owns
//! the router, and the stages that a request passes. It owns what is common to every front and every way to
//! the caches. It must never know a wire: no socket, no text format and no protocol's name belongs here.
#![forbid(unsafe_code)]

pub mod bans;
mod cold;
mod job;
mod planner;
pub mod probes;
pub mod shift;
pub mod stages;
pub mod zoned;

pub use nickelgate::{
    Addr, Entry, Learned, Lifecycle, ListForm, Micros, Note, Outcome, Report, Role, Settings, Standing, Terms,
};
pub use planner::{Caches, Planner};
pub use stages::book::{Counter, Counters};
use std::ops::{Deref, Range};
use std::rc::Rc;

/// A client's request as a front hands it over. The texts are passed on as they came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// The client's own id of this try.
    pub call: Box<str>,
    /// Place of the class in the settings.
    pub class: u8,
    /// The object, and its text.
    pub object: u64,
    pub row: Box<str>,
    pub part: u32,
    pub group: u16,
    /// The size of the part in KB as the client states it; 0: not told.
    pub kbytes: f32,
    /// When the client gives up: a point on the clock, never a span.
    pub due: Micros,
    pub repeat: bool,
    /// The idempotency key of a keyed class.
    pub key: Option<Box<str>>,
    /// The bare tag of the copy that the client holds.
    pub tag: Option<Box<str>>,
    pub body: Vec<u8>,
    /// What operators set for it.
    pub terms: Terms,
}

/// Bytes of an answer as a part of the buffer that they came in: handed on whole, never copied.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Body {
    bytes: Vec<u8>,
    part: Range<usize>,
}

impl Body {
    /// A part of the bytes; one that lies outside them is empty.
    pub fn part(bytes: Vec<u8>, part: Range<usize>) -> Body {
        let part = if bytes.get(part.clone()).is_some() { part } else { 0..0 };
        Body { bytes, part }
    }
    /// Memory that it holds.
    pub fn held(&self) -> usize {
        self.bytes.capacity()
    }
}

impl Deref for Body {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        self.bytes.get(self.part.clone()).unwrap_or_default()
    }
}

/// What a cache made for a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Payload {
    pub body: Body,
    pub tag: Box<str>,
    /// The client's copy is the one: no bytes.
    pub unchanged: bool,
}

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Served(Payload),
    /// Trying again is harmless; `after`: how long to stay away, 0 without advice.
    Refused {
        after: Micros,
    },
    Failed,
}

/// Where the final answer goes. Dropped unused when the client has left.
pub type Reply = Box<dyn FnOnce(Final)>;

/// How far an attempt had come when its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    NotConnected,
    PartlyWritten,
    WrittenWhole,
    AnswerBegun,
}

impl Progress {
    /// What a break there proves: a request that never arrived whole cannot have run.
    pub fn outcome(self) -> Outcome {
        match self {
            Progress::NotConnected | Progress::PartlyWritten => Outcome::ConnectFailed,
            Progress::WrittenWhole | Progress::AnswerBegun => Outcome::Reset,
        }
    }
}

/// A cache's answer to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub outcome: Outcome,
    pub note: Note,
    pub waited: Micros,
    pub report: Report,
    pub payload: Option<Payload>,
}

/// How an attempt ended, as the side towards the caches saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Answered(Told),
    Broke(Progress),
    /// Nothing of it was written, and what it rests on is out of date.
    Stale,
    /// It was withdrawn, and its cache has been told so, or the connection is gone.
    Withdrawn,
}

/// One attempt, ready to be written.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub request: u64,
    pub attempt: u16,
    pub member: Addr,
    /// Where a miss is filled from; none: no fill.
    pub source: Option<Addr>,
    pub keep: u8,
    /// Oldest copy that will do; 0: as the class has it.
    pub age: Micros,
    pub join: bool,
    pub only_held: bool,
    pub parent_keeps_none: bool,
    pub renew: bool,
    pub due: Micros,
    /// When it was decided, and how many purges and list changes had been told by then.
    pub decided: Micros,
    pub epoch: u64,
    pub ask: Rc<Ask>,
}
