//! The simulator's wire protocol: frames of events in, frames of actions out, settings as JSON. This crate
//! only translates between the wire and the router; every routing decision is made in `nickelgate::rules`.
#![forbid(unsafe_code)]

mod settings;
mod wire;

pub use settings::parse_settings;
pub use wire::{read_frame, RouterHost, WireError};
