//! Races on a client's connection: its close by either side, its requests and answers, and the shutdown of
//! the process. The events that have to coincide are written before the node runs, or after the node has shut
//! down its side.
mod common;
#[path = "common/program.rs"]
mod program;
use async_io::Async;
use common::closing::{testbed_with_answered_client, CloseTrigger};
use common::*;
use futures_lite::{future, AsyncReadExt};
use program::start_program;
use rstest::rstest;
use std::cell::Cell;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use threadward::net::{now, sleep_until};
use threadward_core::{Counter, Micros};
use threadward_faults::{after, Signal};

fn call_id(id: u32) -> String {
    format!("{id:016x}")
}

/// Writes without letting the node run.
fn write_without_yielding(client: &Client, bytes: &[u8]) {
    assert_eq!(client.stream.get_ref().write(bytes).unwrap(), bytes.len());
}

/// Reads to the end of the stream and returns the number of bytes, or `None` where the connection was reset.
async fn bytes_to_end(client: &Client) -> Option<usize> {
    let (mut chunk, mut total) = ([0; 16384], 0);
    loop {
        match (&client.stream).read(&mut chunk).await {
            Ok(0) => return Some(total),
            Ok(n) => total += n,
            Err(_) => return None,
        }
    }
}

/// Reads to the end of the stream; returns false where the connection was reset.
async fn ends(client: &Client) -> bool {
    bytes_to_end(client).await.is_some()
}

/// Closes the connection with a reset.
fn reset(client: Client) {
    let linger = Some(std::time::Duration::ZERO);
    rustix::net::sockopt::set_socket_linger(&client.stream, linger).unwrap();
}

/// A request that has arrived, also behind more messages than are handled in one go, is answered before the
/// proxy shuts down its side.
#[rstest]
#[case::gives_way(CloseTrigger::GivesWay, 0, None)]
#[case::gives_way_behind_others(CloseTrigger::GivesWay, 900, None)]
#[case::ends(CloseTrigger::Ends, 0, Some("Full"))]
#[case::ends_behind_others(CloseTrigger::Ends, 900, Some("Full"))]
#[case::evicted(CloseTrigger::Evicted, 0, None)]
#[case::evicted_behind_others(CloseTrigger::Evicted, 900, None)]
fn a_request_before_the_proxy_closes_is_answered(
    #[case] reason: CloseTrigger,
    #[case] messages_before: usize,
    #[case] word: Option<&str>,
) {
    run(|ex| async move {
        let (testbed, mut client) = testbed_with_answered_client(ex).await;
        // With other tasks running, the proxy checks whether to close before it has parsed all that was read.
        for _ in 0..if messages_before > 0 { 20 } else { 0 } {
            let n = testbed.node.clone();
            ex.spawn(async move {
                while n.plan(|p, _| p.counters.get(Counter::Taken)) < 2 {
                    std::thread::sleep(std::time::Duration::from_micros(200));
                    future::yield_now().await;
                }
            })
            .detach();
        }
        write_without_yielding(
            &client,
            &[cancel(9).repeat(messages_before), request(2, "media", &[])].concat(),
        );
        let _held = reason.apply(&testbed);
        let (id, error_word, _) = client.answer().await.expect("an answer before the close");
        assert_eq!((id, error_word.as_deref()), (2, word));
        assert!(ends(&client).await, "reset");
    });
}

/// What arrives after the proxy shut down its side is read and not sent to a cache, and does not make the
/// proxy reset the connection. The connection is closed by a deadline although the client never closes it.
#[rstest]
#[case::gives_way(CloseTrigger::GivesWay)]
#[case::ends(CloseTrigger::Ends)]
#[case::evicted(CloseTrigger::Evicted)]
fn a_request_after_the_proxy_closes_is_not_sent(#[case] reason: CloseTrigger) {
    run(|ex| async move {
        let (testbed, client) = testbed_with_answered_client(ex).await;
        let held = reason.apply(&testbed);
        assert!(ends(&client).await, "reset");
        write_without_yielding(&client, &request(2, "media", &[]));
        let last = now() + 400_000;
        while now() < last {
            assert!((&mut client.stream.get_ref()).write(&cancel(2)).is_ok(), "reset");
            sleep_until(now() + 20_000).await;
        }
        drop(held);
        wait_until("the close", || testbed.node.connection_count() == 0).await;
        let counter_value = |counter| testbed.node.plan(|p, _| p.counters.get(counter));
        assert_eq!((testbed.received_requests().len(), counter_value(Counter::Taken)), (1, 1));
    });
}

/// A connection that is closed for a malformed message first delivers the answers made before it, and is not
/// reset because of the bytes that follow.
#[rstest]
#[case::garbage(vec![], 0)]
#[case::many_unusable((2..=9).flat_map(|id| request(id, "nothing", &[])).collect(), 8)]
#[case::a_call_id_again_after_its_cancel([request(2, "media", &[]), cancel(2), request(2, "media", &[])].concat(), 0)]
fn a_malformed_message_costs_no_answer_made_before(#[case] before: Vec<u8>, #[case] errors: u32) {
    run(|ex| async move {
        let (testbed, mut client) = testbed_with_answered_client(ex).await;
        write_without_yielding(&client, &[before, vec![0xc1; 40_000]].concat());
        wait_until("its end", || testbed.node.plan(|p, _| p.counters.get(Counter::Malformed)) == 1).await;
        for id in 2..2 + errors {
            assert_eq!(client.answer().await, Some((id, Some("Error".into()), vec![])));
        }
        assert!(ends(&client).await, "reset");
        assert_eq!((testbed.node.plan(|p, _| p.open_requests()), testbed.received_requests().len()), (0, 1));
    });
}

/// How a client ends its requests.
#[derive(Clone, Copy)]
enum ClientEnd {
    Closes,
    Resets,
    HalfCloses,
    Cancels,
}

/// The end of a client is noticed while all its requests are open, also where it reads none of its answers
/// and where half a message comes before the end. All the requests count as left by their client, and no
/// memory is kept for it.
#[rstest]
fn the_end_of_a_client_ends_its_requests(
    #[values(ClientEnd::Closes, ClientEnd::Resets, ClientEnd::HalfCloses, ClientEnd::Cancels)]
    client_end: ClientEnd,
    #[values(false, true)] blocked: bool,
) {
    run(|ex| async move {
        let testbed = start_testbed(ex, 8).await;
        let client = Client::connect(testbed.front).await;
        let mut n = 0;
        if blocked {
            testbed.set_behavior(CacheBehavior::Answer(
                "served",
                "version=ab,stamp=1,detail=HIT",
                vec![7; 240_000],
            ));
            rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 4096).unwrap();
            while testbed.node.unwritten_bytes.get() < 500_000 {
                n += 1;
                client.send(&request(n, "media", &[])).await;
                wait_until("its answer", || {
                    testbed.node.plan(|p, _| p.counters.get(Counter::Served)) == u64::from(n)
                })
                .await;
            }
            testbed.set_behavior(CacheBehavior::Silent);
        }
        let first = n + 1;
        client.send(&(first..first + 32).flat_map(|id| request(id, "media", &[])).collect::<Vec<_>>()).await;
        let counter_value = |counter| testbed.node.plan(|p, _| p.counters.get(counter));
        wait_until("the requests", || {
            counter_value(Counter::Taken) == u64::from(n) + 32
                && testbed.received_requests().len() > n as usize
        })
        .await;
        let open = testbed.node.plan(|p, _| p.open_requests()) as u64;
        assert_eq!(open, 32, "the other requests were declined");
        let ended_at = now();
        let mut kept = None;
        match client_end {
            ClientEnd::Closes => drop(client),
            ClientEnd::Resets => reset(client),
            ClientEnd::HalfCloses => {
                client.send(&request(99, "media", &[])[..40]).await;
                client.stream.get_ref().shutdown(Shutdown::Write).unwrap();
                kept = Some(client);
            }
            ClientEnd::Cancels => {
                client.send(&(first..first + 32).flat_map(cancel).collect::<Vec<_>>()).await;
                kept = Some(client);
            }
        }
        wait_until("the end", || counter_value(Counter::Left) == open).await;
        println!("noticed after {} us", now() - ended_at);
        // Attempts that are already on their way to the cache may still arrive; none of those that wait is
        // sent any more.
        sleep_until(now() + 100_000).await;
        let sent = testbed.received_requests().len();
        testbed.set_behavior(CacheBehavior::Close);
        testbed.caches[0].reply(&call_id(n), b"nobody waits").await;
        sleep_until(now() + 100_000).await;
        assert_eq!(testbed.node.plan(|p, _| p.open_requests()), 0);
        drop(kept);
        wait_until("its memory", || {
            testbed.node.unwritten_bytes.get() == 0 && testbed.node.connection_count() == 0
        })
        .await;
        assert_eq!((testbed.received_requests().len(), testbed.node.unwritten_answers.get()), (sent, 0));
    });
}

/// A client ends its request just as the answer arrives. It gets one whole answer at most, nothing is sent
/// again or kept in memory, and a cancelled request leaves the connection usable.
#[rstest]
fn a_client_leaves_as_its_answer_arrives(
    #[values(ClientEnd::Closes, ClientEnd::Resets, ClientEnd::HalfCloses, ClientEnd::Cancels)]
    client_end: ClientEnd,
    #[values(false, true)] answer_first: bool,
) {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        let mut client = Some(Client::connect(testbed.front).await);
        client.as_ref().unwrap().send(&request(1, "media", &[])).await;
        wait_until("the attempt", || testbed.received_requests().len() == 1).await;
        for answers in [answer_first, !answer_first] {
            if answers {
                // Written in full at once: no other task runs.
                assert!(future::poll_once(testbed.caches[0].reply(&call_id(1), b"whole")).await.is_some());
                continue;
            }
            match client_end {
                ClientEnd::Closes => drop(client.take()),
                ClientEnd::Resets => reset(client.take().unwrap()),
                ClientEnd::HalfCloses => {
                    client.as_ref().unwrap().stream.get_ref().shutdown(Shutdown::Write).unwrap()
                }
                ClientEnd::Cancels => write_without_yielding(client.as_ref().unwrap(), &cancel(1)),
            }
        }
        wait_until("its end", || {
            testbed.node.plan(|p, _| p.open_requests()) == 0 && testbed.node.unwritten_bytes.get() == 0
        })
        .await;
        if let Some(client) = client.as_mut() {
            testbed.set_behavior(served());
            if matches!(client_end, ClientEnd::Cancels) {
                client.send(&request(2, "media", &[])).await;
            }
            let mut answers = Vec::new();
            while let Some((id, word, _)) = client.answer().await {
                answers.push((id, word));
                if id == 2 {
                    break;
                }
            }
            answers.retain(|a| *a != (1, None));
            assert_eq!(
                answers,
                if matches!(client_end, ClientEnd::Cancels) { vec![(2, None)] } else { vec![] }
            );
        }
        let sent = testbed.received_requests().iter().filter(|parts| parts[1] == call_id(1)).count();
        assert_eq!((sent, testbed.node.unwritten_answers.get()), (1, 0));
    });
}

/// A call id is used again right after a cancel, before or after its attempt was sent: it is never open twice
/// at the cache.
#[rstest]
#[case::unsent(false)]
#[case::sent(true)]
fn a_call_id_used_again_after_a_cancel(#[case] sent: bool) {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        let mut client = Client::connect(testbed.front).await;
        write_without_yielding(&client, &request(1, "media", &[]));
        if sent {
            wait_until("the attempt", || testbed.received_requests().len() == 1).await;
        }
        testbed.set_behavior(served());
        write_without_yielding(&client, &[cancel(1), request(2, "media", &[("call", &call_id(1))])].concat());
        let (id, word, _) = client.answer().await.unwrap();
        assert!(id == 2 && (word.is_none() || word.as_deref() == Some("Error")), "{word:?}");
        let seen: Vec<String> =
            testbed.caches[0].commands.borrow().iter().map(|parts| parts[0].clone()).collect();
        assert!(seen == ["serve"] || sent && seen == ["serve", "cancel", "serve"], "{seen:?}");
    });
}

/// SIGTERM arrives while one connection is idle, one request is half read, one answer is half written and one
/// connection is in the backlog. All get their answers and are closed without a reset, and then the process
/// ends.
#[test]
fn sigterm_with_clients_in_every_state() {
    run(|ex| async move {
        let large = CacheBehavior::Answer("served", "version=ab,stamp=1,detail=HIT", vec![7; 240_000]);
        let (process, cache, front) = start_program(ex, served());
        wait_for_log(&process, "start: ").await;
        wait_until("the front", || TcpStream::connect(front).is_ok()).await;
        let (mut idle, mut half_sent, slow) =
            (Client::connect(front).await, Client::connect(front).await, Client::connect(front).await);
        idle.send(&request(1, "media", &[])).await;
        assert_eq!(idle.answer().await.unwrap().1, None);
        let frame = request(2, "media", &[]);
        half_sent.send(&frame[..60]).await;
        rustix::net::sockopt::set_socket_recv_buffer_size(&slow.stream, 200_000).unwrap();
        *cache.behavior.borrow_mut() = large;
        for id in 3..33 {
            slow.send(&request(id, "media", &[])).await;
            wait_until("its answer", || cache.commands.borrow().len() == id as usize - 1).await;
        }
        let large = read_counter(&process, "answersServed").await - 1;
        assert!(large > 20, "{large} large answers");
        *cache.behavior.borrow_mut() = served();
        // What comes while the program is stopped is in the backlog, or unread, when it receives SIGTERM.
        process.stop().unwrap();
        let mut late = Client::connect(front).await;
        late.send(&request(40, "media", &[])).await;
        idle.send(&request(41, "media", &[])).await;
        process.term().unwrap();
        let stopped_at = now();
        process.cont().unwrap();
        assert_eq!(late.answer().await.unwrap().1, None, "in the backlog");
        assert_eq!(idle.answer().await.unwrap().1, None, "unread");
        assert!(ends(&idle).await && ends(&late).await, "reset while idle");
        assert!(now() > stopped_at + 850_000, "ended before the last of its clients could come");
        assert!(process.exit_status().is_none(), "ended with a request half read");
        half_sent.send(&frame[60..]).await;
        assert_eq!(half_sent.answer().await, Some((2, Some("Full".into()), vec![])));
        assert!(ends(&half_sent).await, "reset after the last answer");
        assert!(bytes_to_end(&slow).await.is_some_and(|n| n > large as usize * 240_000), "an answer was cut");
        drop((idle, late, half_sent, slow));
        wait_until("the end", || process.exit_status().is_some()).await;
        assert!(
            process.wait(after(1_000)).unwrap().success() && now() < stopped_at + 3_700_000,
            "{}",
            process.output()
        );
    });
}

/// Clients that never close, and one that never ends its request, do not keep the program running until
/// SIGKILL.
#[test]
fn the_program_ends_before_the_kill() {
    run(|ex| async move {
        let (process, _cache, front) = start_program(ex, served());
        wait_until("the front", || TcpStream::connect(front).is_ok()).await;
        let (mut idle, half_sent) = (Client::connect(front).await, Client::connect(front).await);
        idle.send(&request(1, "media", &[])).await;
        assert_eq!(idle.answer().await.unwrap().1, None);
        let endless = [vec![0x94, 0x00, 0x01, 0xa5], b"media".to_vec(), vec![0x92, 0x80, 0xc5, 0xbb, 0x80]];
        half_sent.send(&endless.concat()).await;
        process.signal(Signal::TERM).unwrap();
        let stopped_at = now();
        while process.exit_status().is_none() {
            // A byte at a time, so that it is never silent.
            half_sent.stream.get_ref().write_all(&[7]).ok();
            assert!(now() < stopped_at + 3_700_000, "SIGKILL would have come first");
            sleep_until(now() + 50_000).await;
        }
        assert!(process.exit_status().unwrap().success());
    });
}

/// Crowds of clients that connect, send these bytes and leave all at once, again and again, leave no
/// connection, request or memory behind and never hold more than their share of the descriptors. Another
/// client is answered all the while.
#[rstest]
#[case::idle(vec![], 100, false)]
#[case::half_written(request(1, "media", &[])[..60].to_vec(), 100, false)]
#[case::large(vec![0xc1; 40_000], 60, false)]
#[case::answers_untaken((1..=32).flat_map(|id| request(id, "media", &[("call", &format!("{:016x}", fastrand::u64(..)))])).collect(), 40, true)]
fn a_flood_leaves_nothing_behind(#[case] bytes: Vec<u8>, #[case] crowd: usize, #[case] sends_requests: bool) {
    const SOCKETS: usize = 128;
    run(|ex| async move {
        let testbed = start_testbed_with_sockets(ex, 1, SOCKETS).await;
        testbed.set_behavior(CacheBehavior::Answer(
            "served",
            "version=ab,stamp=1,detail=HIT",
            vec![7; 20_000],
        ));
        let (max_connections, n, finished) =
            (Rc::new(Cell::new(0)), testbed.node.clone(), Rc::new(Cell::new(false)));
        let (recorded_max, done) = (max_connections.clone(), finished.clone());
        ex.spawn(async move {
            while !done.get() {
                recorded_max.set(recorded_max.get().max(n.connection_count()));

                future::yield_now().await;
            }
        })
        .detach();
        let mut longest: Micros = 0;
        for wave in 1..=if sends_requests { 3 } else { 20 } {
            let mut crowd_streams: Vec<Async<TcpStream>> = Vec::new();
            for _ in 0..crowd {
                let s = Async::new(TcpStream::connect(testbed.front).unwrap()).unwrap();
                s.get_ref().write_all(&bytes).ok();
                crowd_streams.push(s);
            }
            let asked = now();
            let (mut good, own_call_id) = (Client::connect(testbed.front).await, format!("ffff{wave:012x}"));
            good.send(&request(wave, "media", &[("call", &own_call_id)])).await;
            let (_, word, _) = good.answer().await.unwrap();
            assert!(word.is_none() || sends_requests, "{word:?}");
            longest = longest.max(now() - asked);
            drop(crowd_streams);
            let count = |counter| testbed.node.plan(|p, _| p.counters.get(counter)) as usize;
            let connected = (crowd + 1) * wave as usize;
            let all_accepted = || count(Counter::Accepted) + count(Counter::TurnedAway) == connected;
            wait_until("the whole backlog is accepted", all_accepted).await;
        }
        wait_until("every connection and request ends", || {
            testbed.node.connection_count() == 0 && testbed.node.plan(|p, _| p.open_requests()) == 0
        })
        .await;
        finished.set(true);
        println!("longest answer {longest} us, most connections {}", max_connections.get());
        assert!(max_connections.get() <= SOCKETS / 2 + SOCKETS / 32, "{} connections", max_connections.get());
        assert!(longest < 1_000_000, "an answer took {longest} us");
        wait_until("its memory", || {
            (testbed.node.unwritten_answers.get(), testbed.node.held_bytes()) == (0, 0)
        })
        .await;
        assert_eq!(testbed.node.plan(|p, _| p.counters.get(Counter::Panics)), 0);
    });
}

/// A client writes a request and closes before the node runs, so its end comes right behind the request: the
/// request is not sent on, although an idle connection to the cache is available.
#[rstest]
#[case::small(0)]
#[case::large(45_056)]
fn a_request_of_a_client_that_has_closed_is_not_sent(#[case] body: usize) {
    run(|ex| async move {
        let (testbed, client) = testbed_with_answered_client(ex).await;
        let mut frame = request(2, "media", &[("call", "00000000000000aa")]);
        frame.truncate(frame.len() - 2);
        frame.extend([0xc5, (body >> 8) as u8, body as u8]);
        frame.extend(vec![7; body]);
        write_without_yielding(&client, &frame);
        drop(client);
        let mut other = Client::connect(testbed.front).await;
        other.send(&request(1, "media", &[("call", "00000000000000ab")])).await;
        assert_eq!(other.answer().await.unwrap().1, None);
        assert!(
            testbed.received_requests().iter().all(|parts| parts[1] != "00000000000000aa"),
            "sent for a client that has gone"
        );
    });
}

/// A request that was read in full before a malformed message is still answered, unless the client leaves
/// meanwhile.
#[test]
fn a_malformed_message_costs_no_pending_answer() {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        let mut client = Client::connect(testbed.front).await;
        client.send(&[request(1, "media", &[]), vec![0xc1]].concat()).await;
        wait_until("the attempt", || !testbed.received_requests().is_empty()).await;
        sleep_until(now() + 100_000).await;
        testbed.caches[0].reply(&testbed.received_requests()[0][1], b"owed").await;
        assert_eq!(with_timeout("the answer", client.answer()).await, Some((1, None, b"owed".to_vec())));
        assert_eq!(with_timeout("the end", client.answer()).await, None);
        // The request of a client that leaves is dropped.
        let gone = Client::connect(testbed.front).await;
        gone.send(&[request(1, "media", &[("call", "00000000000000aa")]), vec![0xc1]].concat()).await;
        wait_until("the attempt", || testbed.received_requests().len() == 2).await;
        drop(gone);
        wait_until("its end", || testbed.node.plan(|p, _| p.open_requests()) == 0).await;
    });
}
