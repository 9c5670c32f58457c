//! The planner's record of a request, kept from its acceptance until its last attempt has ended. It holds
//! data only; the planner and the stages make the decisions.
use crate::{Addr, ClientRequest, Micros, Reply};
use std::rc::Rc;

/// An accepted request whose last attempt has not ended yet.
pub(crate) struct Job {
    pub client_request: Rc<ClientRequest>,
    /// `None` once the request was answered or the client has left.
    pub reply: Option<Reply>,
    pub accepted_at: Micros,
    /// For each attempt: when it was sent, the member it was sent to, and whether it is still in flight.
    pub attempts: Vec<(Micros, Addr, bool)>,
}
