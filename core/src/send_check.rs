//! The one place that says whether an attempt may leave. It is asked in the very turn in which the first byte would go, so
//! whatever was told, called or closed while the attempt waited (for a place, for a connection to come up, for a cache
//! server that takes nothing) is heeded.
use crate::{Counter, Micros};

/// What holds as the first byte of an attempt would leave.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// This moment.
    pub now: Micros,
    /// When the attempt was decided.
    pub decided: Micros,
    /// Discovery has told of a purge or of servers since.
    pub notified_since: bool,
    /// How old a decision may be that such news came after.
    pub grace: Micros,
    /// The end of the window for repeats.
    pub send_by: Micros,
    /// An operator took the server or the source of the fill out.
    pub server_out: bool,
    /// The client still waits for an answer.
    pub client_waits: bool,
}

/// Why an attempt does not leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The client has its answer, cancelled or closed.
    ClientGone,
    /// An operator took the server or the source out.
    ServerOut,
    /// It rests on a list or on purges that are out of date.
    Outdated,
    /// The window for repeats is over.
    WindowOver,
}

impl Withheld {
    /// What counts it.
    pub fn counter(self) -> Counter {
        match self {
            Withheld::ClientGone => Counter::WithheldClientGone,
            Withheld::ServerOut => Counter::WithheldServerOut,
            Withheld::Outdated => Counter::WithheldOutdated,
            Withheld::WindowOver => Counter::WithheldWindowOver,
        }
    }
}

/// Whether an attempt may leave.
///
/// # Errors
/// Why it may not.
///
/// ```
/// use threadward_core::send_check::{may_send, SendFacts, Withheld};
///
/// let facts = SendFacts {
///     now: 500,
///     decided: 100,
///     notified_since: true,
///     grace: 400,
///     send_by: 501,
///     server_out: false,
///     client_waits: true,
/// };
/// assert_eq!(may_send(&facts), Ok(()));
/// assert_eq!(may_send(&SendFacts { now: 501, ..facts }), Err(Withheld::Outdated));
/// assert_eq!(may_send(&SendFacts { now: 501, notified_since: false, ..facts }), Err(Withheld::WindowOver));
/// assert_eq!(may_send(&SendFacts { server_out: true, ..facts }), Err(Withheld::ServerOut));
/// assert_eq!(may_send(&SendFacts { client_waits: false, ..facts }), Err(Withheld::ClientGone));
/// ```
pub fn may_send(facts: &SendFacts) -> Result<(), Withheld> {
    if !facts.client_waits {
        return Err(Withheld::ClientGone);
    }
    if facts.server_out {
        return Err(Withheld::ServerOut);
    }
    if facts.notified_since && facts.now > facts.decided + facts.grace {
        return Err(Withheld::Outdated);
    }
    if facts.now >= facts.send_by {
        return Err(Withheld::WindowOver);
    }
    Ok(())
}
