//! Signals at the real program, at moments that this test holds: before it has read its configuration, before it has a
//! list or a bulletin, while it ends, and while a request stands at each place on its way. What was taken has its one
//! answer, and the program ends by itself, with code 0, before the platform's SIGKILL.
mod common;
use async_executor::LocalExecutor;
use async_io::Async;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::rc::Rc;
use tempfile::{tempdir, TempDir};
use threadward::net::{self, now, sleep_until};
use threadward::wire;
use threadward_core::Micros;
use threadward_faults::{Process, Signal, Start};

/// From SIGTERM to the platform's SIGKILL.
const KILL: Micros = 3_700_000;

struct Site {
    front: SocketAddr,
    file: std::path::PathBuf,
    _folder: TempDir,
}

/// The program with this configuration, up to its first line.
async fn start(site: &Site, json: &str) -> Process {
    std::fs::write(&site.file, json).unwrap();
    let p = spawn(site);
    wait_for_log(&p, "start: n0 on ").await;
    p
}

fn spawn(site: &Site) -> Process {
    let start = Start::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &site.file);
    start.without_env("LB_ADMIN_ADDR").spawn().unwrap()
}

fn site() -> Site {
    let folder = tempdir().unwrap();
    Site { front: free_addresses(1)[0], file: folder.path().join("config.json"), _folder: folder }
}

/// Waits for the end by itself, before the kill.
async fn ends(p: &Process, from: Micros) {
    wait_until("the end", || p.ended().is_some()).await;
    assert_eq!(p.ended().unwrap().code(), Some(0), "{}", p.text());
    assert!(now() < from + KILL, "ended {} us after SIGTERM", now() - from);
    wait_until("the last line", || p.text().ends_with("end\n")).await;
}

/// A cache that holds what it is asked, until the test says its answer.
#[derive(Clone)]
struct Held {
    at: SocketAddr,
    asked: Rc<RefCell<Vec<Asked>>>,
}

/// What it was asked, and where the answer goes.
type Asked = (String, Rc<Async<TcpStream>>);

fn held(ex: &'static LocalExecutor<'static>) -> Held {
    let (l, at) = listen();
    let h = Held { at, asked: Rc::default() };
    let asked = h.asked.clone();
    ex.spawn(async move {
        while let Ok((stream, _)) = l.accept().await {
            let (asked, stream) = (asked.clone(), Rc::new(stream));
            ex.spawn(async move {
                let (mut buf, mut chunk) = (Vec::new(), [0u8; 4096]);
                while let Ok(n @ 1..) = (&*stream).read(&mut chunk).await {
                    buf.extend_from_slice(&chunk[..n]);
                    while let Some((parts, used)) = wire::parse_resp(&buf).unwrap() {
                        if parts[0] == b"serve" {
                            let call = String::from_utf8_lossy(parts[1]).into_owned();
                            asked.borrow_mut().push((call, stream.clone()));
                        }
                        buf.drain(..used);
                    }
                }
            })
            .detach();
        }
    })
    .detach();
    h
}

impl Held {
    /// Ends the first request that is held by this word, or by a reset.
    async fn say(&self, word: &str, body: &[u8]) {
        wait_until("the attempt", || !self.asked.borrow().is_empty()).await;
        let (call, stream) = self.asked.borrow_mut().remove(0);
        if word == "reset" {
            return drop(stream.get_ref().shutdown(std::net::Shutdown::Both));
        }
        let fields: &[u8] = b"version=4be0c1927d55a6f3,stamp=1,detail=HIT";
        (&*stream)
            .write_all(&wire::encode_resp(&[call.as_bytes(), word.as_bytes(), fields, body]))
            .await
            .unwrap();
    }
}

async fn client(at: SocketAddr) -> Client {
    wait_until("the front", || TcpStream::connect(at).is_ok()).await;
    Client::connect(at).await
}

/// Signals that come while the configuration is read wait until there is somebody to take them. The configuration is a
/// pipe that this test holds, so the program stands in the middle of its start.
#[rstest]
#[case::to_end(&[Signal::TERM])]
#[case::to_end_more_than_once(&[Signal::TERM, Signal::TERM, Signal::TERM])]
#[case::all(&[Signal::HUP, Signal::USR1, Signal::TERM, Signal::HUP])]
fn while_the_configuration_is_read(#[case] signals: &'static [Signal]) {
    run(|ex| async move {
        let (s, c) = (site(), start_cache(ex));
        assert!(Command::new("mkfifo").arg(&s.file).status().unwrap().success());
        let p = spawn(&s);
        // Open for writing once the program has opened it to read; blocking would stop the stand-ins.
        let at = s.file.clone();
        let pipe = std::thread::spawn(move || std::fs::OpenOptions::new().write(true).open(at).unwrap());
        wait_until("the program reads", || pipe.is_finished()).await;
        for signal in signals {
            p.signal(*signal).unwrap();
        }
        let from = now();
        let json = configuration(s.front, listen().1, &[server_entry("s-0", c.addr, "std", "active", 0)]);
        // The next one to read it, on SIGHUP, finds a broken file.
        let other = s.file.with_extension("broken");
        std::fs::write(&other, "{").unwrap();
        std::fs::rename(&other, &s.file).unwrap();
        std::io::Write::write_all(&mut pipe.join().unwrap(), json.as_bytes()).unwrap();
        ends(&p, from).await;
        let hup = signals.contains(&Signal::HUP);
        assert_eq!(p.text().contains("reload: kept the old configuration: "), hup, "{}", p.text());
        assert_eq!(p.text().matches("stop: SIGTERM").count(), 1);
    });
}

/// Told to end with no list of servers, and a bulletin that never answers or refuses: it ends all the same.
#[rstest]
#[case::silent(true)]
#[case::refused(false)]
fn before_it_is_ready(#[case] silent: bool) {
    run(|_| async move {
        let s = site();
        let (l, at) = listen();
        let _watch = silent.then_some(l);
        let p = start(&s, &configuration(s.front, at, &[]).replace("\"known\"", "\"none\"")).await;
        let mut c = client(s.front).await;
        c.send(&request(1, "media", &[])).await;
        assert!(c.answer().await.is_some(), "a request is answered though nothing is known");
        p.term().unwrap();
        ends(&p, now()).await;
    });
}

/// More signals, and a broken file, right before, in and after the end: what is open is still answered.
#[rstest]
#[case::again(&[Signal::TERM, Signal::TERM, Signal::TERM], false)]
#[case::reload_before(&[Signal::HUP, Signal::TERM], false)]
#[case::reload_after(&[Signal::TERM, Signal::HUP], false)]
#[case::broken_before(&[Signal::HUP, Signal::TERM], true)]
#[case::broken_after(&[Signal::TERM, Signal::HUP, Signal::HUP], true)]
#[case::counters(&[Signal::USR1, Signal::TERM, Signal::USR1], false)]
fn signals_while_it_ends(
    #[case] signals: &'static [Signal],
    #[case] broken: bool,
    #[values(true, false)] together: bool,
) {
    run(|ex| async move {
        let (s, h) = (site(), held(ex));
        let json = configuration(s.front, listen().1, &[server_entry("s-0", h.at, "std", "active", 0)]);
        let p = start(&s, &json).await;
        let mut c = client(s.front).await;
        c.send(&request(1, "media", &[])).await;
        wait_until("the attempt", || !h.asked.borrow().is_empty()).await;
        std::fs::write(&s.file, if broken { "{" } else { &json }).unwrap();
        let from = now();
        if together {
            p.stop().unwrap();
        }
        for signal in signals {
            p.signal(*signal).unwrap();
            if !together {
                let line = match *signal {
                    Signal::TERM => "stop: SIGTERM, 1 requests open",
                    Signal::HUP => "reload: ",
                    _ => "counters: ",
                };
                wait_for_log(&p, line).await;
            }
        }
        if together {
            p.cont().unwrap();
        }
        wait_for_log(&p, "stop: SIGTERM, 1 requests open").await;
        // A new client, too.
        let mut late = Client::connect(s.front).await;
        late.send(&request(1, "media", &[("call", "00000000000000aa"), ("row", "00000000000000aa")])).await;
        for _ in 0..2 {
            h.say("served", b"whole").await;
        }
        for c in [&mut c, &mut late] {
            assert_eq!(c.answer().await, Some((1, None, b"whole".to_vec())));
        }
        ends(&p, from).await;
        if signals.contains(&Signal::HUP) {
            let said = if broken { "reload: kept the old configuration" } else { "reload: bulletin " };
            assert!(p.text().contains(said), "{}", p.text());
        }
    });
}

/// Where a request stands when the order to end comes.
#[derive(Clone, Copy, PartialEq)]
enum Place {
    /// Its first attempt is out and ends so afterwards.
    FirstOut(&'static str),
    /// Its first attempt has ended; its pause is on, or its second attempt is out.
    Ended(&'static str),
    /// Its first connection is refused.
    Refused,
    /// Its first connection never comes up.
    Dial,
}

/// The order to end against a dial, an attempt that will have to be repeated and the repeat itself: one answer, in time.
#[rstest]
#[case::before_a_refusal(Place::FirstOut("overload"))]
#[case::before_a_miss(Place::FirstOut("not_here"))]
#[case::before_a_reset(Place::FirstOut("reset"))]
#[case::after_a_refusal(Place::Ended("overload"))]
#[case::after_a_reset(Place::Ended("reset"))]
#[case::a_refused_connection(Place::Refused)]
#[case::a_dial_that_does_not_come_up(Place::Dial)]
fn where_a_request_stands(#[case] place: Place) {
    run(|ex| async move {
        let (s, h) = (site(), held(ex));
        // Listens with no room in its queue.
        let never = net::bind_address(free_addresses(1)[0], false).unwrap().listen().unwrap();

        rustix::net::listen(&never, 0).unwrap();
        let never_at = never.get_ref().local_addr().unwrap();
        let full: Vec<_> = (0..3)
            .map(|_| TcpStream::connect_timeout(&never_at, std::time::Duration::from_millis(20)))
            .collect();
        assert!(full.iter().any(Result::is_err), "a dial would come up");
        let first = match place {
            Place::Refused => free_addresses(1)[0],
            Place::Dial => never_at,
            _ => h.at,
        };
        let list =
            [server_entry("s-0", first, "std", "active", 0), server_entry("s-1", h.at, "std", "active", 0)];
        let p = start(&s, &configuration(s.front, listen().1, &list)).await;
        let mut c = client(s.front).await;
        // Several, so that both servers are some request's first.
        let all = 8;
        for id in 1..=all {
            let text = format!("{id:016x}");
            c.send(&request(id, "media", &[("call", &text), ("row", &text)])).await;
        }
        match place {
            Place::FirstOut(_) => wait_until("the attempts", || h.asked.borrow().len() as u32 >= all).await,
            Place::Ended(word) => {
                wait_until("the attempts", || h.asked.borrow().len() as u32 >= all).await;
                for _ in 0..all {
                    h.say(word, b"").await;
                }
            }
            _ => wait_until("the attempts", || !h.asked.borrow().is_empty()).await,
        }
        let from = now();
        p.term().unwrap();
        wait_for_log(&p, "stop: SIGTERM").await;
        if let Place::FirstOut(word) = place {
            for _ in 0..all {
                h.say(word, b"").await;
            }
        }
        let serves = h.clone();
        ex.spawn(async move {
            loop {
                serves.say("served", b"whole").await;
            }
        })
        .detach();
        let mut answered = Vec::new();
        for _ in 1..=all {
            let (id, word, body) = c.answer().await.expect("an answer");
            assert!(word.is_some() || body == b"whole");
            answered.push(id);
        }
        answered.sort_unstable();
        assert_eq!(answered, (1..=all).collect::<Vec<_>>(), "one answer each");
        drop(c);
        ends(&p, from).await;
    });
}

/// An answer that a slow client has half read as the order to end comes is finished.
#[test]
fn an_answer_half_written_to_a_slow_reader() {
    run(|ex| async move {
        let (s, h) = (site(), held(ex));
        let list = [server_entry("s-0", h.at, "std", "active", 0)];
        let p = start(&s, &configuration(s.front, listen().1, &list)).await;
        wait_until("the front", || TcpStream::connect(s.front).is_ok()).await;
        let socket =
            rustix::net::socket(rustix::net::AddressFamily::INET, rustix::net::SocketType::STREAM, None)
                .unwrap();
        // Far smaller than the answer, so that its end stays with the program.
        rustix::net::sockopt::set_socket_recv_buffer_size(&socket, 4096).unwrap();
        rustix::net::connect(&socket, &s.front).unwrap();
        let mut c = Async::new(TcpStream::from(socket)).unwrap();
        let body: Vec<u8> = (0..240_000u32).map(|n| n as u8).collect();
        let (mut want, mut got) = (Vec::new(), Vec::new());
        for id in 1..=16 {
            want.extend(wire::encode_served_head(id, body.len()));
            want.extend(&body);
            want.extend(wire::encode_fields(&[("etag", "4be0c1927d55a6f3")]));
            let text = format!("{id:016x}");
            c.write_all(&request(id, "media", &[("call", &text), ("row", &text)])).await.unwrap();
            h.say("served", &body).await;
        }
        wait_until("the first bytes", || c.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0)).await;
        let from = now();
        p.term().unwrap();
        wait_for_log(&p, "stop: SIGTERM").await;
        sleep_until(from + 1_000_000).await;
        assert_eq!(p.ended(), None, "ended with an answer half written");
        c.read_to_end(&mut got).await.unwrap();
        assert!(got == want, "{} bytes of {}", got.len(), want.len());
        ends(&p, from).await;
    });
}
