//! Core of the steering proxy: requests, attempts, outcomes, deadlines and counters, the planner around the
//! router, and the stages that a request passes through.
//!
//! The crate holds what all client front ends and all cache transports have in common. It is free of I/O: it
//! has no socket and knows no text format and no wire protocol. All times are microseconds on the caller's
//! monotonic clock, except [`UnixTime`], which is used in files and in messages between machines. The example
//! of [`Planner`] shows how a request is processed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bans;
pub mod claims;
mod cold;
pub mod event_sharing;
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

/// A client's request as a front end hands it over. Its texts are passed on to the caches unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The id that the client gave to this call.
    pub call_id: Box<str>,
    /// Index of the request's class in the settings.
    pub class: u8,
    /// Numeric id of the object.
    pub object: u64,
    /// The object's name as text.
    pub object_name: Box<str>,
    /// Index of the requested part of the object.
    pub part: u32,
    /// Purge group of the object.
    pub group: u16,
    /// Size of the part in KB as stated by the client; 0 if not stated.
    pub size_kb: f32,
    /// When the client gives up, as a point on the monotonic clock.
    pub expires_at: Micros,
    /// Whether the client marked the call as a retry.
    pub marked_retry: bool,
    /// Idempotency key, for classes that use one.
    pub idempotency_key: Option<Box<str>>,
    /// Entity tag, without quotes, of the copy that the client already holds.
    pub tag: Option<Box<str>>,
    /// Request body, for classes that are passed on to the origin.
    pub body: Vec<u8>,
    /// Settings by operators that apply to this request.
    pub policy: RequestPolicy,
}

/// Body of an answer: a range of the buffer it was received in, so that the bytes are passed on without a
/// copy.
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
    range: Range<usize>,
}

impl Body {
    /// Wraps a range of a buffer. A range that isn't within the buffer gives an empty body.
    pub fn from_range(bytes: Vec<u8>, range: Range<usize>) -> Body {
        let range = if bytes.get(range.clone()).is_some() { range } else { 0..0 };
        Body { bytes, range }
    }
    /// Returns the number of allocated bytes, which is the capacity of the whole buffer.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }
}

impl Deref for Body {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        self.bytes.get(self.range.clone()).unwrap_or_default()
    }
}

/// The content of a successful answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Payload {
    /// The body.
    pub body: Body,
    /// Entity tag of this copy.
    pub tag: Box<str>,
    /// The client's copy is still current, so the body is empty.
    pub unchanged: bool,
}

/// The final answer to a request; each request gets at most one.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The requested content.
    Served(Payload),
    /// The request was turned away. A retry is safe.
    Refused {
        /// How long the client should wait before it retries; 0 gives no advice.
        retry_after: Micros,
    },
    /// The request may have run at a cache, or cannot be processed at all.
    Failed,
}

/// Callback that takes the final answer. It is dropped without a call when the client has left.
pub type Reply = Box<dyn FnOnce(FinalAnswer)>;

/// How far an attempt had been written when its connection failed.
///
/// ```
/// use threadward_core::{Outcome, Progress};
///
/// assert_eq!(Progress::PartlyWritten.outcome(), Outcome::ConnectFailed, "it cannot have run");
/// assert_eq!(Progress::FullyWritten.outcome(), Outcome::Reset, "it may have run");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No connection was established.
    NotConnected,
    /// At least one byte of the request was not written.
    PartlyWritten,
    /// The whole request was written, and no complete answer was received.
    FullyWritten,
}

impl Progress {
    /// Returns the outcome of an attempt whose connection failed at this point. A request that was not
    /// written as a whole cannot have run at the cache; one that was may have.
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
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// What the cache reports about its copy or its fill.
    pub note: Note,
    /// How long the cache waited for the first byte or the failure of the fill's source; 0 if not reported.
    pub source_wait: Micros,
    /// The cache's load, if the answer reports it.
    pub report: Report,
    /// The requested content, if the attempt succeeded.
    pub payload: Option<Payload>,
}

/// How an attempt ended, as the transport to the caches reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The cache answered.
    Answered(CacheAnswer),
    /// The connection failed at this stage of the attempt.
    ConnectionFailed(Progress),
    /// Nothing was written, because the member list or the purges that the decision rested on are out of
    /// date.
    Outdated,
    /// The attempt was withdrawn, and either the cache has been told or the connection is closed.
    Withdrawn,
}

/// An attempt to be sent to a cache.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request's id, as assigned by the planner.
    pub request: u64,
    /// Number of the attempt within the request, counted from 0.
    pub attempt: u16,
    /// The member that the attempt is sent to.
    pub member: Addr,
    /// The source that a miss is filled from; `None` if the member is not to fill.
    pub source: Option<Addr>,
    /// 0: the cache passes the answer through; 1 to 3: it keeps a copy at this rank.
    pub keep_rank: u8,
    /// Greatest acceptable age of a copy; 0: as the class defines it.
    pub max_age: Micros,
    /// Whether the request may join a fill of the same object that is in progress.
    pub join_fill: bool,
    /// The source answers only from what it holds and does not fill a miss.
    pub only_held: bool,
    /// The parent does not keep a copy.
    pub parent_keeps_none: bool,
    /// The cache serves an ageing copy at once and refreshes it in the background.
    pub refresh_in_background: bool,
    /// Deadline of the attempt, as a point on the clock.
    pub expires_at: Micros,
    /// End of the retry window: the first byte is written before this time or not at all. `Micros::MAX` sets
    /// no bound.
    pub send_by: Micros,
    /// Later attempts of the request must use another connection. On the same one, a second answer to this
    /// attempt could not be told from the answer to the later one, and would prove something false about a
    /// request that must not run twice.
    pub exclusive_connection: bool,
    /// When the attempt was decided.
    pub decided_at: Micros,
    /// Number of purges and list changes that had been applied when the attempt was decided.
    pub epoch: u64,
    /// The client's request.
    pub client_request: Rc<ClientRequest>,
}
