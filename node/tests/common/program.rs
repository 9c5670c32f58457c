//! The program as a process of its own. Only for tests of the package: examples don't know where it is.
use crate::common::{
    configuration, free_addresses, server_entry, start_cache, start_discovery, Cache, CacheBehavior,
};
use async_executor::LocalExecutor;
use std::net::SocketAddr;
use threadward_faults::{Process, ProcessBuilder};

/// Starts the program as a process of its own, with one cache of this behavior.
pub fn start_program(
    ex: &'static LocalExecutor<'static>,
    behavior: CacheBehavior,
) -> (Process, Cache, SocketAddr) {
    let cache = start_cache(ex);
    *cache.behavior.borrow_mut() = behavior;
    let (_, _, discovery) = start_discovery(ex);
    let front = free_addresses(1)[0];
    let folder = tempfile::tempdir().unwrap().keep();
    let path = folder.join("config.json");
    let servers = [server_entry("s-0", cache.addr, "std", "active", 0)];
    std::fs::write(&path, configuration(front, discovery, &servers)).unwrap();
    let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &path).folder(folder);
    (start.spawn().unwrap(), cache, front)
}
