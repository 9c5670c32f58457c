//! A request in the planner's hands. It owns what is kept of one from its taking in until its last attempt has ended. It
//! must never decide anything: the planner and the stages do, and both know this piece but the stages not the planner.
use crate::{Addr, ClientRequest, Micros, Reply};
use std::rc::Rc;

/// A request that was taken, until its last attempt has ended.
pub(crate) struct Job {
    pub ask: Rc<ClientRequest>,
    pub reply: Option<Reply>,
    pub taken: Micros,
    /// When each attempt was sent, where to, and whether it is still out.
    pub attempts: Vec<(Micros, Addr, bool)>,
}
