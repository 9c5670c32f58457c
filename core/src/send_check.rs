//! The only check of whether an attempt may be sent. It runs in the same step in which the first byte would
//! be written. Whatever was reported, called off or closed while the attempt waited (for a slot, for a
//! connection to be established, for a cache server that accepts no data) is therefore taken into account.
use crate::{Counter, Micros};

/// The facts that hold when the first byte of an attempt would be written.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// The current time.
    pub now: Micros,
    /// When the attempt was decided.
    pub decided_at: Micros,
    /// Whether discovery has reported a purge or a change of the servers since then.
    pub notified_since: bool,
    /// How long after its decision an attempt may still be sent although such a report has come in.
    pub grace: Micros,
    /// End of the retry window.
    pub send_by: Micros,
    /// Whether an operator has taken the server or the source of the fill out of service.
    pub server_out: bool,
    /// Whether the client still waits for an answer.
    pub client_waits: bool,
}

/// Why an attempt is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The client has its answer, has cancelled the request or has closed its connection.
    ClientGone,
    /// An operator has taken the server or the source of the fill out of service.
    ServerOut,
    /// The attempt was decided on a member list or purges that are out of date.
    Outdated,
    /// The retry window has ended.
    WindowOver,
}

impl Withheld {
    /// Returns the counter of attempts withheld for this reason.
    pub fn counter(self) -> Counter {
        match self {
            Withheld::ClientGone => Counter::WithheldClientGone,
            Withheld::ServerOut => Counter::WithheldServerOut,
            Withheld::Outdated => Counter::WithheldOutdated,
            Withheld::WindowOver => Counter::WithheldWindowOver,
        }
    }
}

/// Checks whether an attempt may be sent.
///
/// # Errors
/// Returns the reason if it may not.
///
/// ```
/// use threadward_core::send_check::{may_send, SendFacts, Withheld};
///
/// let facts = SendFacts {
///     now: 500,
///     decided_at: 100,
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
    if facts.notified_since && facts.now > facts.decided_at + facts.grace {
        return Err(Withheld::Outdated);
    }
    if facts.now >= facts.send_by {
        return Err(Withheld::WindowOver);
    }
    Ok(())
}
