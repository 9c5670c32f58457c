//! The simulator's wire: frames of events in, frames of actions out, settings as JSON. It only translates;
//! every decision is made in `nickelgate::rules`.
#![forbid(unsafe_code)]

mod settings;
mod wire;

pub use settings::parse_settings;
pub use wire::{read_frame, RouterHost, WireError};
