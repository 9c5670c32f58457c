//! The folder that outlives a process, while its calls fail or a kill comes in the middle of one: what an operator was told
//! is done holds, in this process and in the next, and what is lacking is made up for once the folder recovers.
mod common;
use async_executor::LocalExecutor;
use common::*;
use std::net::SocketAddr;
use tempfile::{tempdir, TempDir};
use threadward::net::{now, sleep_until};
use threadward_faults::{Failure, FileFault, Process, ProcessBuilder, Shim};

const ALWAYS: u32 = 1_000_000;
const ENOSPC: i32 = 28;
const EIO: i32 = 5;
const EROFS: i32 = 30;

/// Two caches, and processes of one proxy that share a folder, one after the other.
struct Site {
    caches: [Cache; 2],
    front: SocketAddr,
    door: SocketAddr,
    folder: TempDir,
    shim: Shim,
}

fn site(ex: &'static LocalExecutor<'static>) -> Site {
    let caches = [start_cache(ex), start_cache(ex)];
    caches.iter().for_each(|c| *c.behavior.borrow_mut() = served());
    let at = free_addresses(2);
    let (_, _, bulletin) = start_discovery(ex);
    let list = [0, 1].map(|i| server_entry(&format!("s-{i}"), caches[i].addr, "std", "active", 0));
    let folder = tempdir().unwrap();
    std::fs::write(folder.path().join("config.json"), configuration(at[0], bulletin, &list)).unwrap();
    Site { caches, front: at[0], door: at[1], folder, shim: Shim::new(1).unwrap() }
}

impl Site {
    async fn start(&self) -> Process {
        let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward"));
        let start = start.env("LB_CONFIG", self.folder.path().join("config.json"));
        let start = start.env("LB_ADMIN_ADDR", self.door.to_string()).env("TMPDIR", self.folder.path());
        let process = self.shim.preload(start).unwrap().spawn().unwrap();
        wait_until("the front", || std::net::TcpStream::connect(self.front).is_ok()).await;
        process
    }

    /// How many of some requests reach the server `s-0`.
    async fn reach_the_first(&self, from: u32) -> usize {
        let before = self.caches[0].commands.borrow().len();
        for number in from..from + 12 {
            let (mut client, text) = (Client::connect(self.front).await, format!("{number:016x}"));
            client.send(&request(1, "media", &[("call", &text), ("row", &text)])).await;
            assert!(with_timeout("an answer", client.answer()).await.is_some());
        }
        self.caches[0].commands.borrow().len() - before
    }

    /// What processes show of themselves.
    fn signs(&self) -> Vec<String> {
        let all = std::fs::read_dir(self.folder.path()).unwrap().map(|e| e.unwrap().path());
        let signs = all.filter(|p| p.to_string_lossy().contains(".run-"));
        signs.map(|p| std::fs::read_to_string(p).unwrap_or_default()).collect()
    }
}

#[test]
fn a_ban_holds_in_a_process_that_starts_while_nothing_can_be_written() {
    run(|ex| async move {
        let site = site(ex);
        let first = site.start().await;
        assert!(admin_command(site.door, &["DISABLE s-0\n"]).await.starts_with("done"));
        first.kill().unwrap();
        site.shim.set_failure_rate(Failure::File, ALWAYS).unwrap();
        let second = site.start().await;
        assert_eq!(site.reach_the_first(1).await, 0, "{}", second.output());
        let refused = admin_command(site.door, &["ENABLE s-0\n"]).await;

        assert!(refused.starts_with("error "), "{refused}");
        assert_eq!(site.reach_the_first(100).await, 0, "{}", second.output());
        site.shim.set_failure_rate(Failure::File, 0).unwrap();
        // The folder has recovered: what this process has come to is shown without a further call.
        wait_until("the sign", || site.signs().iter().any(|s| s.starts_with("ready"))).await;
        assert!(admin_command(site.door, &["ENABLE s-0\n"]).await.starts_with("done"));
        assert_eq!(second.exit_status(), None);
    });
}

/// Every call on a file fails once, with each error, and is the last one of a process once.
#[test]
fn a_command_that_is_done_holds_whatever_call_fails_or_is_the_last() {
    let faults = [FileFault::Error(ENOSPC), FileFault::Error(EIO), FileFault::Error(EROFS), FileFault::Kill];
    for fault in faults {
        run(|ex| every_call(ex, fault));
    }
}

async fn every_call(ex: &'static LocalExecutor<'static>, fault: FileFault) {
    let mut process = None;
    let site = site(ex);
    let mut requests = 1;
    for number in 1..=8 {
        let running = match process.take() {
            Some(running) => running,
            None => site.start().await,
        };
        let next = site.shim.file_call_count().unwrap() + number;
        site.shim.fail_file_call(next, fault).unwrap();
        let said = command(site.door, "DISABLE s-0\n").await;
        site.shim.fail_file_call(0, fault).unwrap();
        if said.is_empty() {
            wait_until("the end of the process", || running.exit_status().is_some()).await;
        }
        let running = if running.exit_status().is_some() { site.start().await } else { running };
        if !said.starts_with("done") {
            // Not kept, and said so: made again it is kept, and no harm was done.
            assert!(command(site.door, "DISABLE s-0\n").await.starts_with("done"), "{}", running.output());
        }
        assert_eq!(site.reach_the_first(requests).await, 0, "call {number}, {fault:?}: {}", running.output());
        running.kill().unwrap();
        let next = site.start().await;
        assert_eq!(
            site.reach_the_first(requests + 100).await,
            0,
            "call {number}, {fault:?}: {}",
            next.output()
        );
        assert!(command(site.door, "ENABLE s-0\n").await.starts_with("done"));
        requests += 1_000;
        process = Some(next);
    }
}

/// A call at the door; nothing where the process ended meanwhile.
async fn command(door: SocketAddr, line: &str) -> String {
    use futures_lite::{AsyncReadExt, AsyncWriteExt};
    let mut said = String::new();
    let Ok(mut stream) = async_io::Async::<std::net::TcpStream>::connect(door).await else { return said };
    if stream.write_all(line.as_bytes()).await.is_ok() {
        with_timeout("an answer at the door", stream.read_to_string(&mut said)).await.ok();
    }
    said
}

/// The file of bans is synced before it gets its name, and the folder after: a power cut undoes nothing that was `done`.
#[test]
fn what_is_done_is_synced_with_its_folder() {
    run(|ex| async move {
        let site = site(ex);
        let process = site.start().await;
        sleep_until(now() + 300_000).await;
        let before = site.shim.sync_count().unwrap();
        assert!(admin_command(site.door, &["DISABLE s-0\n"]).await.starts_with("done"));
        assert!(site.shim.sync_count().unwrap() >= before + 2, "{}", process.output());
    });
}
