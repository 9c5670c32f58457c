//! System calls of the real program that fail transiently: interrupted, short, or with an error that passes.
//! Every request gets its one answer, and the program ends only on SIGTERM.
mod common;
use common::*;
use tempfile::tempdir;
use threadward_faults::{Failure, ProcessBuilder, Shim, Signal};

/// One call in ten, in failures per million calls.
const ONE_IN_TEN_PER_MILLION: u32 = 100_000;

#[test]
fn transient_failures_of_system_calls_change_no_answer() {
    use Failure::{Accept, ReadInterrupted, ReadShort, WriteInterrupted, WriteShort};
    let failure_sets = [
        &[ReadInterrupted][..],
        &[ReadShort],
        &[WriteInterrupted],
        &[WriteInterrupted, WriteShort],
        &[Accept],
        &[ReadInterrupted, ReadShort, WriteInterrupted, WriteShort, Accept],
    ];
    for kinds in failure_sets {
        run(|ex| async move {
            let caches = [start_cache(ex), start_cache(ex)];
            let body = vec![7u8; 40_000];
            let answer_whole =
                CacheBehavior::Answer("served", "version=4be0c1927d55a6f3,stamp=1,detail=HIT", body.clone());
            caches.iter().for_each(|c| *c.behavior.borrow_mut() = answer_whole.clone());
            let (_, _, discovery) = start_discovery(ex);
            let front = free_addresses(1)[0];
            let folder = tempdir().unwrap();
            let config_path = folder.path().join("config.json");
            let entries = [0, 1].map(|i| server_entry(&format!("s-{i}"), caches[i].addr, "std", "active", 0));
            std::fs::write(&config_path, configuration(front, discovery, &entries)).unwrap();
            let shim = Shim::new(7).unwrap();
            let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &config_path);

            let process = shim.preload(start.without_env("LB_ADMIN_ADDR")).unwrap().spawn().unwrap();
            wait_until("the front", || std::net::TcpStream::connect(front).is_ok()).await;
            kinds.iter().for_each(|kind| shim.set_failure_rate(*kind, ONE_IN_TEN_PER_MILLION).unwrap());

            for number in 1..=60u32 {
                let mut client = Client::connect(front).await;
                for id in 1..=3 {
                    let call_id = format!("{:016x}", number * 10 + id);
                    client.send(&request(id, "media", &[("call", &call_id), ("row", &call_id)])).await;
                    let answer = with_timeout("an answer", client.answer()).await;
                    assert_eq!(
                        answer.as_ref().map(|a| (a.0, a.1.clone())),
                        Some((id, None)),
                        "{}",
                        process.output()
                    );
                    assert_eq!(answer.map(|a| a.2.len()), Some(body.len()));
                }
                // Signals are handled all the while, and none is handled that was not sent.
                process.signal(Signal::HUP).unwrap();
            }
            for kind in kinds {
                assert!(shim.failure_count(*kind).unwrap() > 0, "no call was made to fail: {kind:?}");
                shim.set_failure_rate(*kind, 0).unwrap();
            }
            assert!(!process.output().contains("stop: "), "{}", process.output());
            // Waits until the log accepts lines again: it limits the lines per second.

            sleep(1_100).await;
            let reloads = read_counter(&process, "reloads").await;
            process.signal(Signal::HUP).unwrap();
            sleep(50).await;
            assert!(
                read_counter(&process, "reloads").await > reloads,
                "SIGHUP no longer reloads the configuration:\n{}",
                process.output()
            );
            process.term().unwrap();
            wait_until("the end", || process.exit_status().is_some()).await;
            assert_eq!(process.exit_status().unwrap().code(), Some(0));
        });
    }
}

/// A client that waited while no connection could be accepted then has as much time to send its request as
/// any other: the time limit on silent connections does not count from before the accept.
#[test]
fn a_client_accepted_after_a_long_failure_has_time_to_send_its_request() {
    run(|ex| async move {
        let cache = start_cache(ex);
        *cache.behavior.borrow_mut() = served();
        let (_, _, discovery) = start_discovery(ex);
        let front = free_addresses(1)[0];
        let folder = tempdir().unwrap();
        let config_path = folder.path().join("config.json");
        let entries = [server_entry("s-0", cache.addr, "std", "active", 0)];
        std::fs::write(&config_path, configuration(front, discovery, &entries)).unwrap();
        let shim = Shim::new(7).unwrap();
        let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &config_path);

        let process = shim.preload(start.without_env("LB_ADMIN_ADDR")).unwrap().spawn().unwrap();
        wait_until("the front", || std::net::TcpStream::connect(front).is_ok()).await;
        // By then the connection made above has been accepted, so the next one to be accepted is the
        // client's.
        sleep(200).await;
        shim.set_failure_rate(Failure::Accept, 1_000_000).unwrap();
        let mut client = Client::connect(front).await;

        // Longer than a silent connection is kept.

        sleep(2_500).await;
        shim.set_failure_rate(Failure::Accept, 0).unwrap();
        sleep(200).await;
        client.send(&request(1, "media", &[])).await;
        let answer = with_timeout("an answer", client.answer()).await;
        assert_eq!(answer, Some((1, None, b"whole".to_vec())), "{}", process.output());
    });
}

async fn sleep(milliseconds: u64) {
    threadward::net::sleep_until(threadward::net::now() + milliseconds * 1000).await;
}
