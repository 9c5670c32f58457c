//! Measures how control traffic, processor time and memory grow with the fleet. Hollow proxies, which run the
//! control code without a data path, are measured in virtual time and beside real processes on loopback
//! sockets.
pub mod builds;
pub mod cut;
pub mod discovery;
pub mod events;
pub mod fit;
pub mod fleet;
pub mod hollow;
pub mod layout;
pub mod measure;
pub mod meter;
pub mod real;
pub mod report;
pub mod run;
pub mod stopwatch;
pub mod summary;
pub mod target;
pub mod watch;
