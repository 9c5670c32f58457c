//! The core of the steering proxy: requests, attempts, outcomes, deadlines and counters, the planner that owns
//! the router, and the stages that a request passes. It owns what is common to every front and every way to
//! the caches. It must never know a wire: no socket, no text format and no protocol's name belongs here. All times are
//! microseconds on the caller's monotonic clock, but for [`UnixTime`], which files and other machines speak; [`Planner`] shows how a request passes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bans;
mod cold;
mod job;
mod planner;
pub mod probes;
pub mod send_check;
pub mod shift;
pub mod stages;
mod unix_time;
pub mod zoned;

pub use nickelgate::{
    Addr, Entry, Learned, Lifecycle, ListForm, MemberHealth, Micros, Note, Outcome, Report, RequestPolicy,
    Role, Settings,
};
pub use planner::{CacheTransport, Planner};
pub use stages::accounting::{Counter, Counters};
use std::ops::{Deref, Range};
use std::rc::Rc;
pub use unix_time::UnixTime;

/// A client's request as a front hands it over. The texts are passed on as they came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The client's own id of this try.
    pub call_id: Box<str>,
    /// Place of the class in the settings.
    pub class: u8,
    /// The object.
    pub object: u64,
    /// Its text.
    pub object_name: Box<str>,
    /// Which part of it.
    pub part: u32,
    /// Its purge group.
    pub group: u16,
    /// The size of the part in KB as the client states it; 0: not told.
    pub kbytes: f32,
    /// When the client gives up: a point on the clock, never a span.
    pub due: Micros,
    /// Marked by the client as a repeat.
    pub repeat: bool,
    /// The idempotency key of a keyed class.
    pub idempotency_key: Option<Box<str>>,
    /// The bare tag of the copy that the client holds.
    pub tag: Option<Box<str>>,
    /// What is to be written, of a class that is passed on.
    pub body: Vec<u8>,
    /// What operators set for it.
    pub terms: RequestPolicy,
}

/// Bytes of an answer as a part of the buffer that they came in: handed on whole, never copied.
///
/// ```
/// use threadward_core::Body;
///
/// let body = Body::from_range(b"<answer>".to_vec(), 1..7);
/// assert_eq!((&*body, body.allocated_bytes()), (&b"answer"[..], 8));
/// assert!(Body::from_range(b"short".to_vec(), 3..9).is_empty());
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Body {
    bytes: Vec<u8>,
    part: Range<usize>,
}

impl Body {
    /// A part of the bytes; one that lies outside them is empty.
    pub fn from_range(bytes: Vec<u8>, part: Range<usize>) -> Body {
        let part = if bytes.get(part.clone()).is_some() { part } else { 0..0 };
        Body { bytes, part }
    }
    /// Bytes of memory that it holds, the whole buffer's.
    pub fn allocated_bytes(&self) -> usize {
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
    /// The bytes.
    pub body: Body,
    /// The tag of this copy.
    pub tag: Box<str>,
    /// The client's copy is the one: no bytes.
    pub unchanged: bool,
}

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// What was asked for.
    Served(Payload),
    /// Trying again is harmless.
    Refused {
        /// How long to stay away; 0: no advice.
        retry_after: Micros,
    },
    /// It may have run, or cannot be carried at all.
    Failed,
}

/// Where the final answer goes. Dropped unused when the client has left.
pub type Reply = Box<dyn FnOnce(FinalAnswer)>;

/// How far an attempt had come when its connection failed.
///
/// ```
/// use threadward_core::{Outcome, Progress};
///
/// assert_eq!(Progress::PartlyWritten.outcome(), Outcome::ConnectFailed, "it never ran");
/// assert_eq!(Progress::FullyWritten.outcome(), Outcome::Reset, "it may have");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No connection came up.
    NotConnected,
    /// Some of it was not written.
    PartlyWritten,
    /// All of it was written, and no whole answer came back.
    FullyWritten,
}

impl Progress {
    /// What a break there proves: a request that never arrived whole cannot have run.
    pub fn outcome(self) -> Outcome {
        match self {
            Progress::NotConnected | Progress::PartlyWritten => Outcome::ConnectFailed,
            Progress::FullyWritten => Outcome::Reset,
        }
    }
}

/// A cache's answer to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheAnswer {
    /// How it ended.
    pub outcome: Outcome,
    /// What is told of the copy or the fill.
    pub note: Note,
    /// Time to the source's first byte or failure; 0: not told.
    pub source_wait: Micros,
    /// The cache's load, if it tells it.
    pub report: Report,
    /// What was asked for, where it ended well.
    pub payload: Option<Payload>,
}

/// How an attempt ended, as the side towards the caches saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The cache answered.
    Answered(CacheAnswer),
    /// Its connection failed, that far into it.
    ConnectionFailed(Progress),
    /// Nothing of it was written, and what it rests on is out of date.
    Outdated,
    /// It was withdrawn, and its cache has been told so, or the connection is gone.
    Withdrawn,
}

/// One attempt, ready to be written.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The planner's number of the request.
    pub request: u64,
    /// The attempt, counted from 0.
    pub attempt: u16,
    /// The member that it goes to.
    pub member: Addr,
    /// Where a miss is filled from; none: no fill.
    pub source: Option<Addr>,
    /// 0: pass through; 1 to 3: keep at that rank.
    pub keep_rank: u8,
    /// Oldest copy that will do; 0: as the class has it.
    pub max_age: Micros,
    /// Join a fill under way.
    pub join_fill: bool,
    /// The source gives only what it holds.
    pub only_held: bool,
    /// The parent keeps no copy.
    pub parent_keeps_none: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub refresh_in_background: bool,
    /// When it is given up: a point on the clock.
    pub due: Micros,
    /// Its first byte leaves before this or never does: the end of the window for repeats; the end of time: no bound.
    pub send_by: Micros,
    /// A later attempt of the request must not go out on the connection of this one: a second answer to this one could
    /// not be told from its own, and would prove something false of what may not run twice.
    pub exclusive_connection: bool,
    /// When it was decided.
    pub decided_at: Micros,
    /// How many purges and list changes had been told by then.
    pub epoch: u64,
    /// The client's request.
    pub client_request: Rc<ClientRequest>,
}
