//! The folder that outlives a process, while calls on its files fail or a kill interrupts one: a command that
//! was answered with `done` holds in this process and in the next, and what could not be written is written
//! once the folder recovers.
mod common;
use async_executor::LocalExecutor;
use common::*;
use std::net::SocketAddr;
use tempfile::{tempdir, TempDir};
use threadward::net::{now, sleep_until};
use threadward_faults::{Failure, FileFault, Process, ProcessBuilder, Shim};

/// Every call fails, in failures per million calls.
const ALWAYS: u32 = 1_000_000;
const ENOSPC: i32 = 28;
const EIO: i32 = 5;
const EROFS: i32 = 30;

/// Two caches, and processes of one proxy that share a folder, one after the other.
struct Site {
    caches: [Cache; 2],
    front: SocketAddr,
    admin: SocketAddr,
    folder: TempDir,
    shim: Shim,
}

fn site(ex: &'static LocalExecutor<'static>) -> Site {
    let caches = [start_cache(ex), start_cache(ex)];
    caches.iter().for_each(|c| *c.behavior.borrow_mut() = served());
    let addrs = free_addresses(2);
    let (_, _, discovery) = start_discovery(ex);
    let list = [0, 1].map(|i| server_entry(&format!("s-{i}"), caches[i].addr, "std", "active", 0));
    let folder = tempdir().unwrap();
    std::fs::write(folder.path().join("config.json"), configuration(addrs[0], discovery, &list)).unwrap();
    Site { caches, front: addrs[0], admin: addrs[1], folder, shim: Shim::new(1).unwrap() }
}

impl Site {
    async fn start(&self) -> Process {
        let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward"));
        let start = start.env("LB_CONFIG", self.folder.path().join("config.json"));
        let start = start.env("LB_ADMIN_ADDR", self.admin.to_string()).env("TMPDIR", self.folder.path());
        let process = self.shim.preload(start).unwrap().spawn().unwrap();
        wait_until("the front", || std::net::TcpStream::connect(self.front).is_ok()).await;
        process
    }

    /// Sends some requests and returns how many of them reach the server `s-0`.
    async fn requests_at_first_server(&self, from: u32) -> usize {
        let before = self.caches[0].commands.borrow().len();
        for number in from..from + 12 {
            let (mut client, text) = (Client::connect(self.front).await, format!("{number:016x}"));
            client.send(&request(1, "media", &[("call", &text), ("row", &text)])).await;
            assert!(with_timeout("an answer", client.answer()).await.is_some());
        }
        self.caches[0].commands.borrow().len() - before
    }

    /// Returns the files in which processes announce their state.
    fn announcements(&self) -> Vec<String> {
        let all = std::fs::read_dir(self.folder.path()).unwrap().map(|e| e.unwrap().path());
        let announcements = all.filter(|p| p.to_string_lossy().contains(".run-"));
        announcements.map(|p| std::fs::read_to_string(p).unwrap_or_default()).collect()
    }
}

#[test]
fn a_ban_holds_in_a_process_that_starts_while_nothing_can_be_written() {
    run(|ex| async move {
        let site = site(ex);
        let first = site.start().await;
        assert!(admin_command(site.admin, &["DISABLE s-0\n"]).await.starts_with("done"));
        first.kill().unwrap();
        site.shim.set_failure_rate(Failure::File, ALWAYS).unwrap();
        let second = site.start().await;
        assert_eq!(site.requests_at_first_server(1).await, 0, "{}", second.output());
        let refusal = admin_command(site.admin, &["ENABLE s-0\n"]).await;
        assert!(refusal.starts_with("error "), "{refusal}");
        assert_eq!(site.requests_at_first_server(100).await, 0, "{}", second.output());
        site.shim.set_failure_rate(Failure::File, 0).unwrap();
        // The folder has recovered: this process announces its state without a further command.
        wait_until("the announcement", || site.announcements().iter().any(|s| s.starts_with("ready"))).await;
        assert!(admin_command(site.admin, &["ENABLE s-0\n"]).await.starts_with("done"));
        assert_eq!(second.exit_status(), None);
    });
}

/// Each call on a file fails once with each error, and once the process is killed in it.
#[test]
fn a_command_that_is_done_holds_whichever_file_call_fails_or_is_the_last() {
    let faults = [FileFault::Error(ENOSPC), FileFault::Error(EIO), FileFault::Error(EROFS), FileFault::Kill];
    for fault in faults {
        run(|ex| fail_every_call(ex, fault));
    }
}

async fn fail_every_call(ex: &'static LocalExecutor<'static>, fault: FileFault) {
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
        let answer = send_command(site.admin, "DISABLE s-0\n").await;
        site.shim.fail_file_call(0, fault).unwrap();
        if answer.is_empty() {
            wait_until("the end of the process", || running.exit_status().is_some()).await;
        }
        let running = if running.exit_status().is_some() { site.start().await } else { running };
        if !answer.starts_with("done") {
            // The ban was not stored, and the answer said so: repeating the command stores it.
            assert!(
                send_command(site.admin, "DISABLE s-0\n").await.starts_with("done"),
                "{}",
                running.output()
            );
        }
        assert_eq!(
            site.requests_at_first_server(requests).await,
            0,
            "call {number}, {fault:?}: {}",
            running.output()
        );

        running.kill().unwrap();
        let next = site.start().await;
        assert_eq!(
            site.requests_at_first_server(requests + 100).await,
            0,
            "call {number}, {fault:?}: {}",
            next.output()
        );
        assert!(send_command(site.admin, "ENABLE s-0\n").await.starts_with("done"));
        requests += 1_000;
        process = Some(next);
    }
}

/// Sends a command to the admin socket. Returns an empty answer where the process ended meanwhile.
async fn send_command(admin: SocketAddr, line: &str) -> String {
    use futures_lite::{AsyncReadExt, AsyncWriteExt};
    let mut answer = String::new();
    let Ok(mut stream) = async_io::Async::<std::net::TcpStream>::connect(admin).await else { return answer };
    if stream.write_all(line.as_bytes()).await.is_ok() {
        with_timeout("an answer of the admin socket", stream.read_to_string(&mut answer)).await.ok();
    }
    answer
}

/// The file of bans is synced before it gets its name, and the folder afterwards, so that a power cut undoes
/// nothing that was answered with `done`.
#[test]
fn what_is_done_is_synced_with_its_folder() {
    run(|ex| async move {
        let site = site(ex);
        let process = site.start().await;
        sleep_until(now() + 300_000).await;
        let before = site.shim.sync_count().unwrap();
        assert!(admin_command(site.admin, &["DISABLE s-0\n"]).await.starts_with("done"));
        assert!(site.shim.sync_count().unwrap() >= before + 2, "{}", process.output());
    });
}
