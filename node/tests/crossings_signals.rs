//! Signals to the real program at moments that the test controls: before it has read its configuration,
//! before it has a member list or discovery, while it shuts down, and while a request is at each stage of its
//! processing. Accepted requests get their one answer, and the program ends by itself, with code 0, before
//! the platform's SIGKILL.
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
use threadward_faults::{Process, ProcessBuilder, Signal};

/// The time from SIGTERM to the platform's SIGKILL.
const KILL_AFTER: Micros = 3_700_000;

/// The addresses and files of a program under test.
struct Site {
    front: SocketAddr,
    config_path: std::path::PathBuf,
    _folder: TempDir,
}

/// Starts the program with this configuration and waits for its first log line.
async fn start(site: &Site, json: &str) -> Process {
    std::fs::write(&site.config_path, json).unwrap();
    let process = spawn(site);
    wait_for_log(&process, "start: n0 on ").await;
    process
}

fn spawn(site: &Site) -> Process {
    let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &site.config_path);

    start.without_env("LB_ADMIN_ADDR").spawn().unwrap()
}

fn site() -> Site {
    let folder = tempdir().unwrap();
    Site { front: free_addresses(1)[0], config_path: folder.path().join("config.json"), _folder: folder }
}

/// Waits until the program has ended by itself, and checks that it did so before the kill.
async fn assert_ends_before_the_kill(process: &Process, stopped_at: Micros) {
    wait_until("the end", || process.exit_status().is_some()).await;
    assert_eq!(process.exit_status().unwrap().code(), Some(0), "{}", process.output());
    assert!(now() < stopped_at + KILL_AFTER, "ended {} us after SIGTERM", now() - stopped_at);
    wait_until("the last line", || process.output().ends_with("end\n")).await;
}

/// A cache that holds its requests until the test answers them.
#[derive(Clone)]
struct HoldingCache {
    addr: SocketAddr,
    held_requests: Rc<RefCell<Vec<HeldRequest>>>,
}

/// The call id of a request, and the connection to answer it on.
type HeldRequest = (String, Rc<Async<TcpStream>>);

fn start_holding_cache(ex: &'static LocalExecutor<'static>) -> HoldingCache {
    let (listener, addr) = listen();
    let cache = HoldingCache { addr, held_requests: Rc::default() };
    let held_requests = cache.held_requests.clone();
    ex.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (held_requests, stream) = (held_requests.clone(), Rc::new(stream));
            ex.spawn(async move {
                let (mut buf, mut chunk) = (Vec::new(), [0u8; 4096]);
                while let Ok(n @ 1..) = (&*stream).read(&mut chunk).await {
                    buf.extend_from_slice(&chunk[..n]);
                    while let Some((parts, used)) = wire::parse_resp(&buf).unwrap() {
                        if parts[0] == b"serve" {
                            let call_id = String::from_utf8_lossy(parts[1]).into_owned();
                            held_requests.borrow_mut().push((call_id, stream.clone()));
                        }
                        buf.drain(..used);
                    }
                }
            })
            .detach();
        }
    })
    .detach();
    cache
}

impl HoldingCache {
    /// Answers the first of the held requests with this word, or closes its connection for `reset`.
    async fn answer_first(&self, outcome: &str, body: &[u8]) {
        wait_until("the attempt", || !self.held_requests.borrow().is_empty()).await;
        let (call_id, stream) = self.held_requests.borrow_mut().remove(0);
        if outcome == "reset" {
            return drop(stream.get_ref().shutdown(std::net::Shutdown::Both));
        }
        let fields: &[u8] = b"version=4be0c1927d55a6f3,stamp=1,detail=HIT";
        (&*stream)
            .write_all(&wire::encode_resp(&[call_id.as_bytes(), outcome.as_bytes(), fields, body]))
            .await
            .unwrap();
    }
}

async fn connect_client(addr: SocketAddr) -> Client {
    wait_until("the front", || TcpStream::connect(addr).is_ok()).await;
    Client::connect(addr).await
}

/// Signals that arrive while the configuration is read wait until their handler is installed. The
/// configuration is a pipe that the test holds open, so the program waits in the middle of its start.
#[rstest]
#[case::to_end(&[Signal::TERM])]
#[case::to_end_more_than_once(&[Signal::TERM, Signal::TERM, Signal::TERM])]
#[case::all(&[Signal::HUP, Signal::USR1, Signal::TERM, Signal::HUP])]
fn signals_while_the_configuration_is_read(#[case] signals: &'static [Signal]) {
    run(|ex| async move {
        let (site, cache) = (site(), start_cache(ex));
        assert!(Command::new("mkfifo").arg(&site.config_path).status().unwrap().success());
        let process = spawn(&site);
        // Opening for writing blocks until the program has opened the pipe for reading. It is done on another
        // thread, as it would block the stand-ins here.
        let addr = site.config_path.clone();
        let pipe = std::thread::spawn(move || std::fs::OpenOptions::new().write(true).open(addr).unwrap());
        wait_until("the program reads", || pipe.is_finished()).await;
        for signal in signals {
            process.signal(*signal).unwrap();
        }
        let stopped_at = now();
        let json =
            configuration(site.front, listen().1, &[server_entry("s-0", cache.addr, "std", "active", 0)]);
        // The reload on SIGHUP finds a broken file.
        let broken_path = site.config_path.with_extension("broken");
        std::fs::write(&broken_path, "{").unwrap();
        std::fs::rename(&broken_path, &site.config_path).unwrap();
        std::io::Write::write_all(&mut pipe.join().unwrap(), json.as_bytes()).unwrap();
        assert_ends_before_the_kill(&process, stopped_at).await;
        let hup = signals.contains(&Signal::HUP);
        assert_eq!(
            process.output().contains("reload: kept the old configuration: "),
            hup,
            "{}",
            process.output()
        );
        assert_eq!(process.output().matches("stop: SIGTERM").count(), 1);
    });
}

/// The program ends on SIGTERM also where it has no member list, and discovery never answers or refuses
/// connections.
#[rstest]
#[case::silent(true)]
#[case::refused(false)]
fn sigterm_before_it_is_ready(#[case] silent: bool) {
    run(|_| async move {
        let site = site();
        let (listener, addr) = listen();
        let _silent_discovery = silent.then_some(listener);
        let process =
            start(&site, &configuration(site.front, addr, &[]).replace("\"known\"", "\"none\"")).await;
        let mut client = connect_client(site.front).await;
        client.send(&request(1, "media", &[])).await;
        assert!(client.answer().await.is_some(), "a request is not answered where no server is known");
        process.term().unwrap();
        assert_ends_before_the_kill(&process, now()).await;
    });
}

/// Further signals, and a broken configuration, right before, with and after SIGTERM: open requests are still
/// answered.
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
        let (site, cache) = (site(), start_holding_cache(ex));
        let json =
            configuration(site.front, listen().1, &[server_entry("s-0", cache.addr, "std", "active", 0)]);
        let process = start(&site, &json).await;
        let mut client = connect_client(site.front).await;
        client.send(&request(1, "media", &[])).await;
        wait_until("the attempt", || !cache.held_requests.borrow().is_empty()).await;
        std::fs::write(&site.config_path, if broken { "{" } else { &json }).unwrap();
        let stopped_at = now();
        if together {
            process.stop().unwrap();
        }
        for signal in signals {
            process.signal(*signal).unwrap();
            if !together {
                let line = match *signal {
                    Signal::TERM => "stop: SIGTERM, 1 requests open",
                    Signal::HUP => "reload: ",
                    _ => "counters: ",
                };
                wait_for_log(&process, line).await;
            }
        }
        if together {
            process.cont().unwrap();
        }
        wait_for_log(&process, "stop: SIGTERM, 1 requests open").await;
        // A new client is served, too.
        let mut late = Client::connect(site.front).await;
        late.send(&request(1, "media", &[("call", "00000000000000aa"), ("row", "00000000000000aa")])).await;
        for _ in 0..2 {
            cache.answer_first("served", b"whole").await;
        }
        for client in [&mut client, &mut late] {
            assert_eq!(client.answer().await, Some((1, None, b"whole".to_vec())));
        }
        assert_ends_before_the_kill(&process, stopped_at).await;
        if signals.contains(&Signal::HUP) {
            let expected_line =
                if broken { "reload: kept the old configuration" } else { "reload: bulletin " };
            assert!(process.output().contains(expected_line), "{}", process.output());
        }
    });
}

/// The stage that a request has reached when SIGTERM arrives.
#[derive(Clone, Copy, PartialEq)]
enum RequestStage {
    /// Its first attempt is in flight and ends with this outcome after SIGTERM.
    FirstInFlight(&'static str),
    /// Its first attempt has ended with this outcome; the request waits to retry, or its second attempt is in
    /// flight.
    Ended(&'static str),
    /// Its first connection is refused.
    Refused,
    /// Its first connection is never established.
    NeverConnected,
}

/// SIGTERM arrives during a connection attempt, an attempt that will have to be retried, or the retry itself:
/// each request gets one answer, in time.
#[rstest]
#[case::before_a_refusal(RequestStage::FirstInFlight("overload"))]
#[case::before_a_miss(RequestStage::FirstInFlight("not_here"))]
#[case::before_a_reset(RequestStage::FirstInFlight("reset"))]
#[case::after_a_refusal(RequestStage::Ended("overload"))]
#[case::after_a_reset(RequestStage::Ended("reset"))]
#[case::a_refused_connection(RequestStage::Refused)]
#[case::a_connection_that_is_never_established(RequestStage::NeverConnected)]
fn sigterm_at_each_stage_of_a_request(#[case] stage: RequestStage) {
    run(|ex| async move {
        let (site, cache) = (site(), start_holding_cache(ex));
        // Listens with a full backlog once the connections below have been made.
        let full_listener = net::bind_address(free_addresses(1)[0], false).unwrap().listen().unwrap();

        rustix::net::listen(&full_listener, 0).unwrap();
        let full_addr = full_listener.get_ref().local_addr().unwrap();
        let backlog_fillers: Vec<_> = (0..3)
            .map(|_| TcpStream::connect_timeout(&full_addr, std::time::Duration::from_millis(20)))
            .collect();
        assert!(backlog_fillers.iter().any(Result::is_err), "a connection would be established");
        let first = match stage {
            RequestStage::Refused => free_addresses(1)[0],
            RequestStage::NeverConnected => full_addr,
            _ => cache.addr,
        };
        let list = [
            server_entry("s-0", first, "std", "active", 0),
            server_entry("s-1", cache.addr, "std", "active", 0),
        ];
        let process = start(&site, &configuration(site.front, listen().1, &list)).await;
        let mut client = connect_client(site.front).await;
        // Several requests, so that each server is the first choice for some of them.
        let request_count = 8;
        for id in 1..=request_count {
            let text = format!("{id:016x}");
            client.send(&request(id, "media", &[("call", &text), ("row", &text)])).await;
        }
        match stage {
            RequestStage::FirstInFlight(_) => {
                wait_until("the attempts", || cache.held_requests.borrow().len() as u32 >= request_count)
                    .await
            }
            RequestStage::Ended(outcome) => {
                wait_until("the attempts", || cache.held_requests.borrow().len() as u32 >= request_count)
                    .await;
                for _ in 0..request_count {
                    cache.answer_first(outcome, b"").await;
                }
            }
            _ => wait_until("the attempts", || !cache.held_requests.borrow().is_empty()).await,
        }
        let stopped_at = now();
        process.term().unwrap();
        wait_for_log(&process, "stop: SIGTERM").await;
        if let RequestStage::FirstInFlight(outcome) = stage {
            for _ in 0..request_count {
                cache.answer_first(outcome, b"").await;
            }
        }
        let serving_cache = cache.clone();
        ex.spawn(async move {
            loop {
                serving_cache.answer_first("served", b"whole").await;
            }
        })
        .detach();
        let mut answered = Vec::new();
        for _ in 1..=request_count {
            let (id, error_word, body) = client.answer().await.expect("an answer");
            assert!(error_word.is_some() || body == b"whole");
            answered.push(id);
        }
        answered.sort_unstable();
        assert_eq!(answered, (1..=request_count).collect::<Vec<_>>(), "one answer each");
        drop(client);
        assert_ends_before_the_kill(&process, stopped_at).await;
    });
}

/// An answer that a slow client has half read when SIGTERM arrives is delivered in full.
#[test]
fn an_answer_half_written_to_a_slow_reader() {
    run(|ex| async move {
        let (site, cache) = (site(), start_holding_cache(ex));
        let list = [server_entry("s-0", cache.addr, "std", "active", 0)];
        let process = start(&site, &configuration(site.front, listen().1, &list)).await;
        wait_until("the front", || TcpStream::connect(site.front).is_ok()).await;
        let socket =
            rustix::net::socket(rustix::net::AddressFamily::INET, rustix::net::SocketType::STREAM, None)
                .unwrap();
        // Far smaller than the answer, so that the program has to keep its end.
        rustix::net::sockopt::set_socket_recv_buffer_size(&socket, 4096).unwrap();
        rustix::net::connect(&socket, &site.front).unwrap();
        let mut client = Async::new(TcpStream::from(socket)).unwrap();
        let body: Vec<u8> = (0..240_000u32).map(|n| n as u8).collect();
        let (mut want, mut got) = (Vec::new(), Vec::new());
        for id in 1..=16 {
            want.extend(wire::encode_served_head(id, body.len()));
            want.extend(&body);
            want.extend(wire::encode_fields(&[("etag", "4be0c1927d55a6f3")]));
            let text = format!("{id:016x}");
            client.write_all(&request(id, "media", &[("call", &text), ("row", &text)])).await.unwrap();
            cache.answer_first("served", &body).await;
        }
        wait_until("the first bytes", || client.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0)).await;
        let stopped_at = now();
        process.term().unwrap();
        wait_for_log(&process, "stop: SIGTERM").await;
        sleep_until(stopped_at + 1_000_000).await;
        assert_eq!(process.exit_status(), None, "ended with an answer half written");
        client.read_to_end(&mut got).await.unwrap();
        assert!(got == want, "{} bytes of {}", got.len(), want.len());
        assert_ends_before_the_kill(&process, stopped_at).await;
    });
}
