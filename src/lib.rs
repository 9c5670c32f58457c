//! nickelgate decides, for one cache router, where each object is served, kept and filled from.
//!
//! The crate does no I/O. An embedder feeds a [`Router`] with [`Event`]s and carries out the [`Action`]s that
//! it appends. All decisions are in [`rules`]; the types that an embedder needs are in [`interface`]. The
//! same events always lead to the same actions.
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod interface;
pub mod rules;

pub use interface::*;
pub use rules::learned::Learned;
pub use rules::Router;
