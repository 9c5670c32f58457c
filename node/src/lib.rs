//! The sockets and tasks of the steering proxy. See the README for how the parts fit together.
#![forbid(unsafe_code)]

pub mod admin;
pub mod admission;
pub mod budgets;
pub mod bulletin;
pub mod caches;
pub mod calls;
pub mod claim_files;
pub mod cli;
pub mod client_connection;
pub mod clock;
pub mod config;
pub mod control_socket;
pub mod delivery;
pub mod discovery_sharing;
pub mod events_file;
pub mod front;
pub mod gossip;
pub mod handover;
pub mod ledger;
pub mod link_request;
pub mod net;
pub mod node;
pub mod operators;
pub mod pair_keys;
pub mod shift;
pub mod signed;
pub mod snmp;
pub mod start_times;
pub mod wire;
pub mod zones;
