//! Where two events of a client's connection cross: its close by either side, its requests and answers, and the end of the
//! process. What is to meet is written before the node has a turn, or after it has shown that it shut down its side.
mod common;
use async_io::Async;
use common::*;
use futures_lite::{future, AsyncReadExt};
use rstest::rstest;
use std::cell::Cell;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use threadward::net::{now, sleep_until};
use threadward_core::{Counter, Micros};
use threadward_faults::{after, Process, ProcessBuilder, Signal};

fn cancel(id: u8) -> Vec<u8> {
    let mut out = vec![0x93, 0x02];
    put_text(&mut out, "cancelRequest");
    out.extend([0x91, id]);
    out
}

fn call(id: u32) -> String {
    format!("{id:016x}")
}

/// Writes without giving the node a turn.
fn at_once(c: &Client, bytes: &[u8]) {
    assert_eq!(c.stream.get_ref().write(bytes).unwrap(), bytes.len());
}

/// Reads to the end of the stream, and how much; nothing where it was reset.
async fn rest(c: &Client) -> Option<usize> {
    let (mut chunk, mut all) = ([0; 16384], 0);
    loop {
        match (&c.stream).read(&mut chunk).await {
            Ok(0) => return Some(all),
            Ok(n) => all += n,
            Err(_) => return None,
        }
    }
}

async fn ends(c: &Client) -> bool {
    rest(c).await.is_some()
}

/// Ends the connection with a reset.
fn reset(c: Client) {
    let linger = Some(std::time::Duration::ZERO);
    rustix::net::sockopt::set_socket_linger(&c.stream, linger).unwrap();
}

/// Why our side closes a connection that was answered.
#[derive(Clone, Copy, PartialEq)]
enum Why {
    GivesWay,
    Ends,
    Evicted,
}

impl Why {
    /// Brings it about before any task has a turn; gives what has to be held meanwhile.
    fn come(self, w: &Testbed) -> Vec<TcpStream> {
        match self {
            Why::GivesWay => w.node.hand_over(),
            Why::Ends => {
                w.node.stopping.set(Some(now() - 950_000));
                let n = w.node.clone();
                w.ex.spawn(async move { n.wait_until_drained().await }).detach();
            }
            Why::Evicted => return (0..4).map(|_| TcpStream::connect(w.front).unwrap()).collect(),
        }
        Vec::new()
    }
}

/// A client that was answered once, in a world with four places.
async fn answered(ex: &'static async_executor::LocalExecutor<'static>) -> (Testbed, Client) {
    let w = start_testbed_with_sockets(ex, 1, 8).await;
    w.set_behavior(served());
    let mut c = Client::connect(w.front).await;
    c.send(&request(1, "media", &[])).await;
    assert_eq!(c.answer().await, Some((1, None, b"whole".to_vec())));
    (w, c)
}

/// A request that has come, also behind more messages than are handled in a turn, is answered before our side is shut down.
#[rstest]
#[case::gives_way(Why::GivesWay, 0, None)]
#[case::gives_way_behind_others(Why::GivesWay, 900, None)]
#[case::ends(Why::Ends, 0, Some("Full"))]
#[case::ends_behind_others(Why::Ends, 900, Some("Full"))]
#[case::evicted(Why::Evicted, 0, None)]
#[case::evicted_behind_others(Why::Evicted, 900, None)]
fn what_comes_before_our_close_is_answered(
    #[case] why: Why,
    #[case] notices: usize,
    #[case] word: Option<&str>,
) {
    run(|ex| async move {
        let (w, mut c) = answered(ex).await;
        // With others at work, our side looks whether to close while not all that was read is made out.
        for _ in 0..if notices > 0 { 20 } else { 0 } {
            let n = w.node.clone();
            ex.spawn(async move {
                while n.plan(|p, _| p.counters.get(Counter::Taken)) < 2 {
                    std::thread::sleep(std::time::Duration::from_micros(200));
                    future::yield_now().await;
                }
            })
            .detach();
        }
        at_once(&c, &[cancel(9).repeat(notices), request(2, "media", &[])].concat());
        let _held = why.come(&w);
        let (id, said, _) = c.answer().await.expect("an answer before the close");
        assert_eq!((id, said.as_deref()), (2, word));
        assert!(ends(&c).await, "reset");
    });
}

/// What comes after our side was shut down is read and sent nowhere, the connection is not reset by it, and it is closed by
/// a point on the clock though the client never does.
#[rstest]
#[case::gives_way(Why::GivesWay)]
#[case::ends(Why::Ends)]
#[case::evicted(Why::Evicted)]
fn what_comes_after_our_close_goes_nowhere(#[case] why: Why) {
    run(|ex| async move {
        let (w, c) = answered(ex).await;
        let held = why.come(&w);
        assert!(ends(&c).await, "reset");
        at_once(&c, &request(2, "media", &[]));
        let last = now() + 400_000;
        while now() < last {
            assert!((&mut c.stream.get_ref()).write(&cancel(2)).is_ok(), "reset");
            sleep_until(now() + 20_000).await;
        }
        drop(held);
        wait_until("the close", || w.node.connection_count() == 0).await;

        let took = |c| w.node.plan(|p, _| p.counters.get(c));
        assert_eq!((w.received_requests().len(), took(Counter::Taken)), (1, 1));
    });
}

/// A connection that is closed for what cannot be read gives out what was answered before, and is not reset over the rest.
#[rstest]
#[case::garbage(vec![], 0)]
#[case::many_unusable((2..=9).flat_map(|id| request(id, "nothing", &[])).collect(), 8)]
#[case::an_id_anew_after_its_cancel([request(2, "media", &[]), cancel(2), request(2, "media", &[])].concat(), 0)]
fn a_malformed_message_costs_no_answer_made_before(#[case] before: Vec<u8>, #[case] errors: u32) {
    run(|ex| async move {
        let (w, mut c) = answered(ex).await;
        at_once(&c, &[before, vec![0xc1; 40_000]].concat());
        wait_until("its end", || w.node.plan(|p, _| p.counters.get(Counter::Malformed)) == 1).await;
        for id in 2..2 + errors {
            assert_eq!(c.answer().await, Some((id, Some("Error".into()), vec![])));
        }
        assert!(ends(&c).await, "reset");
        assert_eq!((w.node.plan(|p, _| p.open_requests()), w.received_requests().len()), (0, 1));
    });
}

/// How a client goes.
#[derive(Clone, Copy)]
enum Goes {
    Closes,
    Resets,
    HalfCloses,
    Cancels,
}

/// The end of a client is seen while it has all its requests open, also where it takes none of the answers that are
/// written and where half a message lies before it: all of them have left, and nothing is held for it.
#[rstest]
fn a_client_that_goes_has_left(
    #[values(Goes::Closes, Goes::Resets, Goes::HalfCloses, Goes::Cancels)] how: Goes,
    #[values(false, true)] blocked: bool,
) {
    run(|ex| async move {
        let w = start_testbed(ex, 8).await;
        let c = Client::connect(w.front).await;
        let mut n = 0;
        if blocked {
            w.set_behavior(CacheBehavior::Answer(
                "served",
                "version=ab,stamp=1,detail=HIT",
                vec![7; 240_000],
            ));
            rustix::net::sockopt::set_socket_recv_buffer_size(&c.stream, 4096).unwrap();
            while w.node.unwritten_bytes.get() < 500_000 {
                n += 1;
                c.send(&request(n, "media", &[])).await;
                wait_until("its answer", || {
                    w.node.plan(|p, _| p.counters.get(Counter::Served)) == u64::from(n)
                })
                .await;
            }
            w.set_behavior(CacheBehavior::Silent);
        }
        let first = n + 1;
        c.send(&(first..first + 32).flat_map(|id| request(id, "media", &[])).collect::<Vec<_>>()).await;
        let counted = |c| w.node.plan(|p, _| p.counters.get(c));
        wait_until("the requests", || {
            counted(Counter::Taken) == u64::from(n) + 32 && w.received_requests().len() > n as usize
        })
        .await;
        let open = w.node.plan(|p, _| p.open_requests()) as u64;
        assert_eq!(open, 32, "the others were declined");
        let begun = now();
        let mut kept = None;
        match how {
            Goes::Closes => drop(c),
            Goes::Resets => reset(c),
            Goes::HalfCloses => {
                c.send(&request(99, "media", &[])[..40]).await;
                c.stream.get_ref().shutdown(Shutdown::Write).unwrap();
                kept = Some(c);
            }
            Goes::Cancels => {
                c.send(&(first..first + 32).flat_map(|id| cancel(id as u8)).collect::<Vec<_>>()).await;
                kept = Some(c);
            }
        }
        wait_until("the end", || counted(Counter::Left) == open).await;
        println!("noticed after {} us", now() - begun);
        // What is already on its way to the cache may still arrive; of what waits nothing goes out any more.
        sleep_until(now() + 100_000).await;
        let sent = w.received_requests().len();
        w.set_behavior(CacheBehavior::Close);
        w.caches[0].reply(&call(n), b"nobody waits").await;
        sleep_until(now() + 100_000).await;
        assert_eq!(w.node.plan(|p, _| p.open_requests()), 0);
        drop(kept);
        wait_until("its memory", || w.node.unwritten_bytes.get() == 0 && w.node.connection_count() == 0)
            .await;
        assert_eq!((w.received_requests().len(), w.node.unwritten_answers.get()), (sent, 0));
    });
}

/// A client goes in the very turn in which its answer comes: one whole answer at most, nothing is sent anew or held, and
/// a cancelled request leaves the connection as it was.
#[rstest]
fn a_client_goes_as_its_answer_comes(
    #[values(Goes::Closes, Goes::Resets, Goes::HalfCloses, Goes::Cancels)] how: Goes,
    #[values(false, true)] answer_first: bool,
) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let mut c = Some(Client::connect(w.front).await);
        c.as_ref().unwrap().send(&request(1, "media", &[])).await;
        wait_until("the attempt", || w.received_requests().len() == 1).await;
        for answers in [answer_first, !answer_first] {
            if answers {
                // Written whole at once: no other task has a turn.
                assert!(future::poll_once(w.caches[0].reply(&call(1), b"whole")).await.is_some());
                continue;
            }
            match how {
                Goes::Closes => drop(c.take()),
                Goes::Resets => reset(c.take().unwrap()),
                Goes::HalfCloses => c.as_ref().unwrap().stream.get_ref().shutdown(Shutdown::Write).unwrap(),
                Goes::Cancels => at_once(c.as_ref().unwrap(), &cancel(1)),
            }
        }
        wait_until("its end", || {
            w.node.plan(|p, _| p.open_requests()) == 0 && w.node.unwritten_bytes.get() == 0
        })
        .await;
        if let Some(c) = c.as_mut() {
            w.set_behavior(served());
            if matches!(how, Goes::Cancels) {
                c.send(&request(2, "media", &[])).await;
            }
            let mut answers = Vec::new();
            while let Some((id, word, _)) = c.answer().await {
                answers.push((id, word));
                if id == 2 {
                    break;
                }
            }
            answers.retain(|a| *a != (1, None));
            assert_eq!(answers, if matches!(how, Goes::Cancels) { vec![(2, None)] } else { vec![] });
        }
        let sent = w.received_requests().iter().filter(|p| p[1] == call(1)).count();
        assert_eq!((sent, w.node.unwritten_answers.get()), (1, 0));
    });
}

/// A cache's id used anew at once after a cancel, before or after its attempt went out: never twice open at the cache.
#[rstest]
#[case::unsent(false)]
#[case::sent(true)]
fn an_id_anew_after_a_cancel(#[case] sent: bool) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let mut c = Client::connect(w.front).await;
        at_once(&c, &request(1, "media", &[]));
        if sent {
            wait_until("the attempt", || w.received_requests().len() == 1).await;
        }
        w.set_behavior(served());
        at_once(&c, &[cancel(1), request(2, "media", &[("call", &call(1))])].concat());
        let (id, word, _) = c.answer().await.unwrap();
        assert!(id == 2 && (word.is_none() || word.as_deref() == Some("Error")), "{word:?}");
        let seen: Vec<String> = w.caches[0].commands.borrow().iter().map(|p| p[0].clone()).collect();
        assert!(seen == ["serve"] || sent && seen == ["serve", "cancel", "serve"], "{seen:?}");
    });
}

/// The program as a process of its own, with one cache that says this.
fn program(
    ex: &'static async_executor::LocalExecutor<'static>,
    act: CacheBehavior,
) -> (Process, Cache, SocketAddr) {
    let c = start_cache(ex);
    *c.behavior.borrow_mut() = act;
    let (_, _, bulletin) = start_discovery(ex);
    let front = free_addresses(1)[0];
    let folder = tempfile::tempdir().unwrap().keep();
    let path = folder.join("config.json");
    std::fs::write(&path, configuration(front, bulletin, &[server_entry("s-0", c.addr, "std", "active", 0)]))
        .unwrap();
    let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &path).folder(folder);
    (start.spawn().unwrap(), c, front)
}

/// The order to end meets a connection that rests, one whose request is half read, one whose answer is half written and
/// one in the backlog. All get what they are owed, are ended without a reset, and then the process ends.
#[test]
fn the_order_to_end_meets_clients_in_every_state() {
    run(|ex| async move {
        let big = CacheBehavior::Answer("served", "version=ab,stamp=1,detail=HIT", vec![7; 240_000]);
        let (p, cache, front) = program(ex, served());
        wait_for_log(&p, "start: ").await;
        wait_until("the front", || TcpStream::connect(front).is_ok()).await;
        let (mut rests, mut half, slow) =
            (Client::connect(front).await, Client::connect(front).await, Client::connect(front).await);
        rests.send(&request(1, "media", &[])).await;
        assert_eq!(rests.answer().await.unwrap().1, None);
        let frame = request(2, "media", &[]);
        half.send(&frame[..60]).await;
        rustix::net::sockopt::set_socket_recv_buffer_size(&slow.stream, 200_000).unwrap();
        *cache.behavior.borrow_mut() = big;
        for id in 3..33 {
            slow.send(&request(id, "media", &[])).await;
            wait_until("its answer", || cache.commands.borrow().len() == id as usize - 1).await;
        }
        let big = read_counter(&p, "answersServed").await - 1;
        assert!(big > 20, "{big} large answers");
        *cache.behavior.borrow_mut() = served();
        // What comes while the program stands still is in the backlog, or unread, as it hears the order.
        p.stop().unwrap();
        let mut late = Client::connect(front).await;
        late.send(&request(40, "media", &[])).await;
        rests.send(&request(41, "media", &[])).await;
        p.term().unwrap();
        let ordered = now();
        p.cont().unwrap();
        assert_eq!(late.answer().await.unwrap().1, None, "in the backlog");
        assert_eq!(rests.answer().await.unwrap().1, None, "unread");
        assert!(ends(&rests).await && ends(&late).await, "reset at rest");
        assert!(now() > ordered + 850_000, "ended before the last of its clients came");
        assert!(p.exit_status().is_none(), "ended with a request half read");
        half.send(&frame[60..]).await;
        assert_eq!(half.answer().await, Some((2, Some("Full".into()), vec![])));
        assert!(ends(&half).await, "reset after the last answer");
        assert!(rest(&slow).await.is_some_and(|n| n > big as usize * 240_000), "an answer was cut");
        drop((rests, late, half, slow));
        wait_until("the end", || p.exit_status().is_some()).await;
        assert!(p.wait(after(1_000)).unwrap().success() && now() < ordered + 3_700_000, "{}", p.output());
    });
}

/// Clients that never close, and one that never ends its request, do not keep the program past the kill.
#[test]
fn the_end_is_bounded_by_the_kill() {
    run(|ex| async move {
        let (p, _cache, front) = program(ex, served());
        wait_until("the front", || TcpStream::connect(front).is_ok()).await;
        let (mut rests, half) = (Client::connect(front).await, Client::connect(front).await);
        rests.send(&request(1, "media", &[])).await;
        assert_eq!(rests.answer().await.unwrap().1, None);
        let endless = [vec![0x94, 0x00, 0x01, 0xa5], b"media".to_vec(), vec![0x92, 0x80, 0xc5, 0xbb, 0x80]];
        half.send(&endless.concat()).await;
        p.signal(Signal::TERM).unwrap();
        let ordered = now();
        while p.exit_status().is_none() {
            // A byte at a time, so that it is never silent.
            half.stream.get_ref().write_all(&[7]).ok();
            assert!(now() < ordered + 3_700_000, "the kill would have come first");
            sleep_until(now() + 50_000).await;
        }
        assert!(p.exit_status().unwrap().success());
    });
}

/// Crowds that come, do this and go all at once, again and again, leave nothing behind, never hold more descriptors than
/// are theirs, and another client is answered all the while.
#[rstest]
#[case::idle(vec![], 100, false)]
#[case::half_written(request(1, "media", &[])[..60].to_vec(), 100, false)]
#[case::large(vec![0xc1; 40_000], 60, false)]
#[case::answers_untaken((1..=32).flat_map(|id| request(id, "media", &[("call", &format!("{:016x}", fastrand::u64(..)))])).collect(), 40, true)]
fn a_flood_leaves_nothing_behind(#[case] bytes: Vec<u8>, #[case] crowd: usize, #[case] asks: bool) {
    const SOCKETS: usize = 128;
    run(|ex| async move {
        let w = start_testbed_with_sockets(ex, 1, SOCKETS).await;
        w.set_behavior(CacheBehavior::Answer("served", "version=ab,stamp=1,detail=HIT", vec![7; 20_000]));
        let (most, n, over) = (Rc::new(Cell::new(0)), w.node.clone(), Rc::new(Cell::new(false)));
        let (m, o) = (most.clone(), over.clone());
        ex.spawn(async move {
            while !o.get() {
                m.set(m.get().max(n.connection_count()));
                future::yield_now().await;
            }
        })
        .detach();
        let mut longest: Micros = 0;
        for wave in 1..=if asks { 3 } else { 20 } {
            let mut all: Vec<Async<TcpStream>> = Vec::new();
            for _ in 0..crowd {
                let s = Async::new(TcpStream::connect(w.front).unwrap()).unwrap();
                s.get_ref().write_all(&bytes).ok();
                all.push(s);
            }
            let asked = now();
            let (mut good, own) = (Client::connect(w.front).await, format!("ffff{wave:012x}"));
            good.send(&request(wave, "media", &[("call", &own)])).await;
            let (_, word, _) = good.answer().await.unwrap();
            assert!(word.is_none() || asks, "{word:?}");
            longest = longest.max(now() - asked);
            drop(all);
            let count = |c| w.node.plan(|p, _| p.counters.get(c)) as usize;
            let come = (crowd + 1) * wave as usize;
            let taken = || count(Counter::Accepted) + count(Counter::TurnedAway) == come;
            wait_until("all of the backlog", taken).await;
        }
        wait_until("all gone", || {
            w.node.connection_count() == 0 && w.node.plan(|p, _| p.open_requests()) == 0
        })
        .await;

        over.set(true);
        println!("longest answer {longest} us, most connections {}", most.get());
        assert!(most.get() <= SOCKETS / 2 + SOCKETS / 32, "{} connections", most.get());
        assert!(longest < 1_000_000, "an answer took {longest} us");
        wait_until("its memory", || (w.node.unwritten_answers.get(), w.node.held_bytes()) == (0, 0)).await;

        assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::Panics)), 0);
    });
}

/// A client writes and is gone before the node has a turn: its end stands behind what it asked, and nothing of that is
/// sent on, though a connection to the cache rests.
#[rstest]
#[case::small(0)]
#[case::large(45_056)]
fn a_client_gone_behind_its_request_asks_for_nothing(#[case] body: usize) {
    run(|ex| async move {
        let (w, c) = answered(ex).await;
        let mut frame = request(2, "media", &[("call", "00000000000000aa")]);
        frame.truncate(frame.len() - 2);
        frame.extend([0xc5, (body >> 8) as u8, body as u8]);
        frame.extend(vec![7; body]);
        at_once(&c, &frame);
        drop(c);
        let mut other = Client::connect(w.front).await;
        other.send(&request(1, "media", &[("call", "00000000000000ab")])).await;
        assert_eq!(other.answer().await.unwrap().1, None);
        assert!(
            w.received_requests().iter().all(|p| p[1] != "00000000000000aa"),
            "sent for one that has gone"
        );
    });
}

/// What was read whole before a message that cannot be read is owed its answer; a client that goes meanwhile is not.
#[test]
fn a_malformed_message_costs_no_answer_that_is_owed() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let mut c = Client::connect(w.front).await;
        c.send(&[request(1, "media", &[]), vec![0xc1]].concat()).await;
        wait_until("the attempt", || !w.received_requests().is_empty()).await;
        sleep_until(now() + 100_000).await;
        w.caches[0].reply(&w.received_requests()[0][1], b"owed").await;
        assert_eq!(with_timeout("the answer", c.answer()).await, Some((1, None, b"owed".to_vec())));
        assert_eq!(with_timeout("the end", c.answer()).await, None);
        // One that goes asks for nothing any more.
        let gone = Client::connect(w.front).await;
        gone.send(&[request(1, "media", &[("call", "00000000000000aa")]), vec![0xc1]].concat()).await;
        wait_until("the attempt", || w.received_requests().len() == 2).await;
        drop(gone);
        wait_until("its end", || w.node.plan(|p, _| p.open_requests()) == 0).await;
    });
}
