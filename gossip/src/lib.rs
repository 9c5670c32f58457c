//! Gossip between steering proxies: which of them live, and what they hold suspect of the members, so that one need not
//! pay for a lesson that others have learned. It owns one instance's part in that: it is given the time, datagrams
//! and what own traffic showed, and returns datagrams, changes of membership and what is believed. It must never
//! open a socket or read a clock, choose a member, or hand on another's word as its own. `docs/gossip.md` has the
//! design, `docs/operate-gossip.md` is for operators.
#![forbid(unsafe_code)]

pub mod belief;
mod budget;
pub mod evidence;
mod instance;
pub mod keys;
pub mod members;
pub mod session;
mod settings;
mod told;
pub mod wire;

pub use belief::{Doubt, Quorum};
pub use instance::{Gossip, BELIEVED};
pub use keys::{public, PeerConfig};
pub use members::State;
pub use settings::{check, Settings};
pub use told::{Dropped, News, Out, Tally};
