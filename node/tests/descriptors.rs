//! File descriptors under a limit: however many clients connect, the program reaches discovery and the
//! caches.
mod common;
use async_io::Async;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use threadward::net::{now, sleep_until};
use threadward_faults::{Process, ProcessBuilder};

/// The limit on descriptors that the program runs with.
const DESCRIPTOR_LIMIT: usize = 96;

fn open_descriptors(process: &Process) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", process.id())).map_or(0, Iterator::count)
}

/// Idle clients and clients with half a request take every connection they can, many at once, while discovery
/// refuses connections. Once discovery is up, the member list is read and a request is served although none
/// of these clients has gone. The program never runs out of descriptors.
#[test]
fn discovery_is_reached_however_many_clients_connect() {
    run(|ex| async move {
        let cache = start_cache(ex);
        *cache.behavior.borrow_mut() = served();
        let addrs = free_addresses(2);
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        let json = configuration(addrs[0], addrs[1], &[]);
        let json = json.replace("\"sockets\":1024", &format!("\"sockets\":{DESCRIPTOR_LIMIT}"));
        std::fs::write(&path, json).unwrap();
        let limited = format!("ulimit -n {DESCRIPTOR_LIMIT}; exec \"$0\"");
        let start =
            ProcessBuilder::new("/bin/sh").arg("-c").arg(limited).arg(env!("CARGO_BIN_EXE_threadward"));
        let process = start.env("LB_CONFIG", &path).spawn().unwrap();
        wait_until("the front", || TcpStream::connect(addrs[0]).is_ok()).await;
        let before_clients = open_descriptors(&process);

        let (mut crowd, frame) = (Vec::new(), request(1, "media", &[]));
        for wave in 0..3 {
            // The program is stopped, so a whole wave is in the listen backlog before the first of it is
            // accepted.
            process.stop().unwrap();
            for n in 0..150 {
                let mut s = TcpStream::connect(addrs[0]).unwrap();
                if (n + wave) % 2 == 0 {
                    s.write_all(&frame[..60]).unwrap();
                }
                crowd.push(s);
            }
            process.cont().unwrap();
            let end = now() + 700_000;
            while now() < end {
                assert!(
                    open_descriptors(&process) < DESCRIPTOR_LIMIT,
                    "{} descriptors",
                    open_descriptors(&process)
                );
                sleep_until(now() + 2_000).await;
            }
            assert!(
                open_descriptors(&process) > DESCRIPTOR_LIMIT / 2,
                "the clients did not use up their part: {}",
                open_descriptors(&process)
            );
        }
        let discovery_up_at = now();
        let discovery = Rc::new(Async::<TcpListener>::bind(addrs[1]).unwrap());
        let entry = server_entry("s-0", cache.addr, "std", "active", 0);
        let event = format!(r#"{{"no":1,"roster":{{"version":1,"full":true,"servers":[{entry}]}}}}"#);
        ex.spawn(async move {
            loop {
                let (mut s, _) = discovery.accept().await.unwrap();
                let response = format!("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {event}\n\n");
                s.write_all(response.as_bytes()).await.ok();
                while s.read(&mut [0; 1024]).await.unwrap_or(0) > 0 {
                    s.write_all(b":\n\n").await.ok();
                }
            }
        })
        .detach();
        let mut id = 0;
        loop {
            id += 1;
            let mut client = Client::connect(addrs[0]).await;
            client.send(&request(id, "media", &[])).await;
            if client.answer().await == Some((id, None, b"whole".to_vec())) {
                break;
            }
            assert!(now() < discovery_up_at + 10_000_000, "not served:\n{}", process.output());

            sleep_until(now() + 10_000).await;
        }
        println!("served {} ms after discovery came up", (now() - discovery_up_at) / 1000);
        println!(
            "{before_clients} descriptors before the clients, {} with them, of {DESCRIPTOR_LIMIT}",
            open_descriptors(&process)
        );
        assert!(!process.output().contains("accept: "), "{}", process.output());

        drop(crowd);
    });
}
