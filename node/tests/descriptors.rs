//! Descriptors under a limit: however many clients come, the program reaches the bulletin and the caches.
mod common;
use async_io::Async;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use threadward::net::{now, sleep_until};
use threadward_faults::{Process, ProcessBuilder};

const LIMIT: usize = 96;

fn held(p: &Process) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", p.id())).map_or(0, Iterator::count)
}

/// Idle and half-written clients fill all that they can, many at once, while the bulletin refuses connections. Once it is
/// there the list is read and a request served, though none of them has gone; no descriptor was ever missed.
#[test]
fn the_bulletin_is_reached_however_many_clients_come() {
    run(|ex| async move {
        let c = start_cache(ex);
        *c.behavior.borrow_mut() = served();
        let at = free_addresses(2);
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        let json = configuration(at[0], at[1], &[]);
        let json = json.replace("\"sockets\":1024", &format!("\"sockets\":{LIMIT}"));
        std::fs::write(&path, json).unwrap();
        let limited = format!("ulimit -n {LIMIT}; exec \"$0\"");
        let start =
            ProcessBuilder::new("/bin/sh").arg("-c").arg(limited).arg(env!("CARGO_BIN_EXE_threadward"));
        let p = start.env("LB_CONFIG", &path).spawn().unwrap();
        wait_until("the front", || TcpStream::connect(at[0]).is_ok()).await;
        let own = held(&p);
        let (mut crowd, frame) = (Vec::new(), request(1, "media", &[]));
        for wave in 0..3 {
            // A whole wave lies in the backlog before one of it is accepted.
            p.stop().unwrap();
            for n in 0..150 {
                let mut s = TcpStream::connect(at[0]).unwrap();
                if (n + wave) % 2 == 0 {
                    s.write_all(&frame[..60]).unwrap();
                }
                crowd.push(s);
            }
            p.cont().unwrap();
            let end = now() + 700_000;
            while now() < end {
                assert!(held(&p) < LIMIT, "{} descriptors", held(&p));
                sleep_until(now() + 2_000).await;
            }
            assert!(held(&p) > LIMIT / 2, "the clients did not fill their part: {}", held(&p));
        }
        let up = now();
        let bulletin = Rc::new(Async::<TcpListener>::bind(at[1]).unwrap());
        let list = server_entry("s-0", c.addr, "std", "active", 0);
        let event = format!(r#"{{"no":1,"roster":{{"version":1,"full":true,"servers":[{list}]}}}}"#);
        ex.spawn(async move {
            loop {
                let (mut s, _) = bulletin.accept().await.unwrap();
                let said = format!("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {event}\n\n");
                s.write_all(said.as_bytes()).await.ok();
                while s.read(&mut [0; 1024]).await.unwrap_or(0) > 0 {
                    s.write_all(b":\n\n").await.ok();
                }
            }
        })
        .detach();
        let mut id = 0;
        loop {
            id += 1;
            let mut good = Client::connect(at[0]).await;
            good.send(&request(id, "media", &[])).await;
            if good.answer().await == Some((id, None, b"whole".to_vec())) {
                break;
            }
            assert!(now() < up + 10_000_000, "not served:\n{}", p.output());
            sleep_until(now() + 10_000).await;
        }
        println!("served {} ms after the bulletin came up", (now() - up) / 1000);
        println!("{own} descriptors before the clients, {} with them, of {LIMIT}", held(&p));
        assert!(!p.output().contains("accept: "), "{}", p.output());
        drop(crowd);
    });
}
