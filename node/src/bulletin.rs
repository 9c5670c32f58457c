//! Receives the platform's announcements: purges and list changes from discovery (`/bulletins` on the
//! wire), and datagrams from other proxies.
//!
//! Events are applied to the pool and the planner at once, in order and once each, by their numbers. A single
//! event stream is read at a time.
use crate::clock::unix_now;
use crate::config::{address_for_id, parse_event, DiscoveryEvent, ListedServer};
use crate::net::{self, now, sleep_until};
use crate::node::Node;
use crate::wire::{self, Malformed};
use async_io::Async;
use futures_lite::{future, FutureExt};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use threadward_core::event_sharing::Purge;
use threadward_core::{Counter, Entry, Lifecycle, ListForm, Micros};

/// Discovery sends a comment each second: a stream that is silent for longer than this is taken to be cut off
/// although its connection looks open. If a call is not answered for as long, another one is started beside
/// it.
const SILENCE_TIMEOUT: Micros = 1_800_000;
/// Limit on calls that wait for their answer; a further one replaces the oldest. If discovery serves hundreds
/// of proxies one by one, that takes seconds: a proxy that gave up each call meanwhile would stay at the end
/// of the queue for good.
const MAX_PENDING_CALLS: usize = 4;
/// Mean interval between the starts of calls. Each interval varies randomly by half of it, so that a hundred
/// proxies don't call in step. There is no exponential backoff: a purge counts as reported even while
/// discovery is unreachable, and the grace for it is only a few such intervals.
const CALL_INTERVAL: Micros = 100_000;
/// Bytes read at a time of an answer's head.
const HEAD_READ_BYTES: usize = 1024;
/// Bytes read at a time of the events after the head.
const EVENT_READ_BYTES: usize = 16 * 1024;
/// Limit on event numbers: higher ones are not exact in JSON, and the highest one would have no successor.
const MAX_EVENT_NUMBER: u64 = 1 << 53;
/// Limit on the servers in a list, and on those that a proxy knows, so that their memory stays below a few
/// megabytes.
const MAX_SERVERS: usize = 20_000;

/// Logs and counts an event that is skipped as unusable.
fn reject_event(node: &Node, why: &str) {
    net::log(&format!("bulletin: unusable event ({why})"));
    node.count(Counter::Malformed);
}

/// Applies the current bans to the pool, and the changed state of these servers to the pool and the planner.
/// The operator's call behind the change was made at most `max_age` ago.
pub fn apply_bans(node: &Node, servers: Vec<ListedServer>, max_age: Micros) {
    let bans = node.bans.borrow();
    node.pool.set_disabled(
        bans.states().keys().filter(|id| bans.is_banned(id)).map(|id| address_for_id(id)).collect(),
    );
    drop(bans);
    if !servers.is_empty() {
        apply_changed(node, servers, max_age);
    }
}

/// Applies servers whose state has changed for another reason than a list. The change was announced at most
/// `max_age` ago.
pub fn apply_changed(node: &Node, servers: Vec<ListedServer>, max_age: Micros) {
    apply_servers(node, ListForm::Delta, servers, max_age);
}

/// Applies listed servers to the pool and the planner. Servers whose address another one has now are removed.
fn apply_servers(node: &Node, form: ListForm, mut servers: Vec<ListedServer>, max_age: Micros) {
    node.discovery_sharing.restrict(&mut servers);
    node.start_times.borrow_mut().assign(form, &mut servers, (unix_now(), now()), max_age);
    let displaced = node.pool.update_listed(form, &servers);
    let gone = |addr| Entry { addr, state: Lifecycle::Gone, ..Entry::default() };
    let listed = servers.into_iter().map(|s| s.entry);
    let entries = displaced.into_iter().map(gone).chain(listed).collect();
    node.plan(|p, now| p.update_members(now, form, entries));
}

/// Applies a list or a purge. `cached` tells that it comes from the stored configuration rather than from
/// discovery.
pub fn apply(node: &Node, update: DiscoveryEvent, cached: bool) {
    match update {
        DiscoveryEvent::Members { form, mut servers } => {
            let is_new = |s: &&ListedServer| {
                s.entry.state != Lifecycle::Gone && node.pool.member_id(s.entry.addr).is_none()
            };
            // The last usable list stays in use, and so do the drains that it announced.
            let rejected = match form {
                ListForm::Full if servers.is_empty() && !cached => Some("a whole list of no servers"),
                ListForm::Delta
                    if servers.iter().filter(is_new).count() + node.pool.member_count() > MAX_SERVERS =>
                {
                    Some("more servers than can be held")
                }
                _ if servers.len() > MAX_SERVERS => Some("a list of too many servers"),
                _ => None,
            };
            if let Some(rejected) = rejected {
                return reject_event(node, rejected);
            }
            let form = if cached && form == ListForm::Full { ListForm::Cached } else { form };
            let changes = node.bans.borrow_mut().apply_list(form, &mut servers);
            if !cached {
                node.discovery_sharing.record_servers(changes);
            }
            let max_age = node.caught_up_at.get().map_or(Micros::MAX, |at| now().saturating_sub(at));
            apply_servers(node, form, servers, if cached { Micros::MAX } else { max_age });
        }
        // The purge takes effect now rather than when it was issued: every earlier copy is then older,
        // whatever the wall clocks say.
        DiscoveryEvent::Purge { issued, object, group } => {
            if cached || node.discovery_sharing.record_purge(Purge { object, group, issued }) {
                node.plan(|p, now| p.purge(now, 0, object, group));
            }
        }
    }
}

/// Determines when the next call may start, however the one before ended.
struct CallPacer {
    rng: RefCell<fastrand::Rng>,
    next_call_at: Cell<Micros>,
}

/// The event stream of a call that was accepted.
struct EventStream {
    stream: Async<TcpStream>,
    /// Bytes that arrived after the head.
    received: Vec<u8>,
    chunked: bool,
}

/// A call that waits for its answer.
type PendingCall = Pin<Box<dyn Future<Output = Result<EventStream, Malformed>>>>;

/// Follows discovery for as long as the program runs, at the address in the current configuration. The number
/// of the last event is kept across connections and reloads, so that events are applied once and in order.
pub async fn follow(node: Rc<Node>) {
    let rng = RefCell::new(fastrand::Rng::with_seed(node.config.seed));
    let pacer = CallPacer { rng, next_call_at: Cell::new(0) };
    loop {
        let address = node.discovery_addr.get();
        let address_changed = async {
            while node.discovery_addr.get() == address {
                node.discovery_moved.wait().await;
            }
        };
        address_changed.or(follow_address(&node, address, &pacer)).await;
    }
}

/// Follows discovery at an address, one event stream after the other. A stream is closed before the next call
/// starts, and anything that still arrives on it is ignored.
async fn follow_address(node: &Rc<Node>, address: SocketAddr, pacer: &CallPacer) {
    loop {
        let stream = open_stream(node, address, pacer).await;
        node.discovery_sharing.stream_opened_at.set(Some(now()));
        let last_received_at = Cell::new(now());
        let silence = async {
            while now() < last_received_at.get() + SILENCE_TIMEOUT {
                sleep_until(last_received_at.get() + SILENCE_TIMEOUT).await;
            }
            Err(Malformed("silent"))
        };
        let ended = read_events(node, stream, &last_received_at).or(silence).await;
        count_loss(node, ended.map_or_else(|Malformed(why)| why, |()| "ended"));
    }
}

/// Counts and logs a call or stream that has ended.
fn count_loss(node: &Node, why: &str) {
    node.count(Counter::DiscoveryLosses);
    net::log(&format!("bulletin: connection lost ({why}), last event {}", node.last_event.get()));
}

/// Makes calls until one is answered, and drops the others then. No event is processed here.
async fn open_stream(node: &Rc<Node>, address: SocketAddr, pacer: &CallPacer) -> EventStream {
    let mut calls: Vec<PendingCall> = Vec::new();
    let mut next_at = pacer.next_call_at.get();
    loop {
        let finished = future::poll_fn(|cx| {
            for i in 0..calls.len() {
                if let Poll::Ready(result) = calls[i].as_mut().poll(cx) {
                    drop(calls.remove(i));
                    return Poll::Ready(Some((result, i)));
                }
            }
            Poll::Pending
        });
        let wait = async {
            sleep_until(next_at).await;
            None
        };
        match finished.or(wait).await {
            Some((Ok(stream), _)) => return stream,
            Some((Err(Malformed(why)), i)) => {
                count_loss(node, why);
                // While a later call is pending, its timeout still applies.
                if i == calls.len() {
                    next_at = pacer.next_call_at.get();
                }
            }
            None => {
                if !calls.is_empty() {
                    count_loss(node, "no answer");
                }
                if calls.len() == MAX_PENDING_CALLS {
                    drop(calls.remove(0));
                }
                calls.push(Box::pin(call_discovery(node.clone(), address)));
                pacer
                    .next_call_at
                    .set(now() + CALL_INTERVAL / 2 + pacer.rng.borrow_mut().u64(0..=CALL_INTERVAL));
                next_at = pacer.next_call_at.get() + SILENCE_TIMEOUT;
            }
        }
    }
}

/// Makes a call and reads the answer up to the end of its head.
async fn call_discovery(node: Rc<Node>, address: SocketAddr) -> Result<EventStream, Malformed> {
    let broken = |_| Malformed("broken");
    let stream = Async::<TcpStream>::connect(address).await.map_err(broken)?;
    stream.get_ref().set_nodelay(true).map_err(broken)?;
    let request = format!(
        "GET /bulletins HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
        node.last_event.get()
    );
    net::write_all(&stream, request.as_bytes()).await.map_err(broken)?;
    let mut received = Vec::new();
    loop {
        if net::read_some(&stream, &mut received, HEAD_READ_BYTES).await == 0 {
            return Err(Malformed("ended"));
        }
        let Some((head, length)) = wire::parse_http_head(&received)? else { continue };
        if head.start_line[1] != "200" {
            return Err(Malformed("the bulletin refused"));
        }
        node.discovery_heard.set(true);
        received.drain(..length);
        let chunked = head.header("transfer-encoding").unwrap_or("").eq_ignore_ascii_case("chunked");
        return Ok(EventStream { stream, received, chunked });
    }
}

/// Returns where the first block ends, whatever it contains.
fn block_end(text: &[u8]) -> Option<usize> {
    let end_after =
        |mark: &[u8]| text.windows(mark.len()).position(|w| w == mark).map(|position| position + mark.len());
    [end_after(b"\n\n"), end_after(b"\r\n\r\n"), end_after(b"\r\r")].into_iter().flatten().min()
}

/// Returns whether an unreadable event should be requested again, and remembers that it was. This is so only
/// once for each event number: the event may have been damaged in transit, but it must not block all later
/// ones for good.
fn should_refetch(node: &Node) -> bool {
    let next = node.last_event.get().saturating_add(1);
    node.reread_event.replace(next) != next
}

/// Reads a stream and applies its events until it ends.
///
/// # Errors
/// Returns an error if the stream is malformed or an event has to be requested again.
async fn read_events(
    node: &Rc<Node>,
    events: EventStream,
    last_received_at: &Cell<Micros>,
) -> Result<(), Malformed> {
    let EventStream { stream, mut received, chunked } = events;
    let mut text = Vec::new();
    // The rest of an unreadable block is being skipped.
    let mut skipping = false;
    loop {
        let (previous_length, mut last_chunk) = (text.len(), false);
        if chunked {
            let mut start = 0;
            while let Some((chunk, length)) = wire::parse_http_chunk(&received[start..])? {
                text.extend_from_slice(chunk);
                start += length;
                last_chunk = chunk.is_empty();
                if last_chunk {
                    break;
                }
            }
            received.drain(..start);
        } else {
            text.append(&mut received);
        }
        let mut start = 0;
        // No block can be complete without a further line end.
        let mut may_have_block = text.len() > wire::MAX_EVENT_BYTES
            || text[previous_length..].iter().any(|b| matches!(b, b'\n' | b'\r'));
        while may_have_block {
            if skipping {
                let end = block_end(&text[start..]);
                start = end.map_or(text.len().saturating_sub(3).max(start), |n| start + n);
                skipping = end.is_none();
            }
            if skipping {
                break;
            }
            match wire::parse_sse_event(&text[start..]) {
                Ok(Some((data, length))) => {
                    start += length;
                    if let Some(data) = data {
                        apply_event(node, &data)?;
                        future::yield_now().await;
                    }
                }
                Ok(None) => may_have_block = false,
                Err(why) if should_refetch(node) => return Err(why),
                Err(Malformed(why)) => {
                    reject_event(node, why);
                    skipping = true;
                }
            }
        }
        text.drain(..start);
        node.caught_up_at.set(Some(last_received_at.get()));
        if last_chunk {
            return Ok(());
        }
        if net::read_some(&stream, &mut received, EVENT_READ_BYTES).await == 0 {
            return Ok(());
        }
        last_received_at.set(now());
        // A read that finds data doesn't wait: this lets other tasks run and a change of the address take
        // effect.
        future::yield_now().await;
    }
}

/// Applies an event if it is the next one; skips it if it is a repetition or unusable.
///
/// # Errors
/// Returns an error if the connection is to be closed, so that events are requested again from the last one
/// on.
fn apply_event(node: &Node, data: &str) -> Result<(), Malformed> {
    let last_event = &node.last_event;
    let next = last_event.get().saturating_add(1);
    let json = match serde_json::from_str(data) {
        Ok(json) => json,
        Err(_) if should_refetch(node) => return Err(Malformed("an event that is not JSON")),
        Err(_) => {
            reject_event(node, "not JSON, twice");
            return Ok(());
        }
    };
    match parse_event(&json, &node.config.names) {
        // Events that were sent again after a reconnect are skipped.
        Ok((number, _)) if number <= last_event.get() => {}
        Ok((number, _)) if number > MAX_EVENT_NUMBER => reject_event(node, "a number that none can follow"),
        // Events before this one are missing. They are requested once, as numbers may also have been left
        // out. The second time the event is accepted whatever its number: otherwise nothing would ever be
        // accepted from a discovery service that only sends new events.
        Ok((number, _)) if number > next && node.out_of_order_event.replace(next) != next => {
            return Err(Malformed("an event out of turn"));
        }
        Ok((number, update)) => {
            if let Some(update) = update {
                apply(node, update, false);
            }
            last_event.set(number);
        }
        Err(e) => reject_event(node, &e),
    }
    Ok(())
}

/// Hands datagrams of other proxies to the planner. Those that are too long or come from elsewhere are
/// dropped and counted.
pub async fn receive_peer_messages(node: Rc<Node>, socket: Rc<Async<UdpSocket>>) {
    let mut buf = [0u8; 257];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else {
            sleep_until(now() + 10_000).await;
            continue;
        };
        match node.config.peers.iter().position(|peer| *peer == from) {
            Some(index) if length <= 256 => {
                node.plan(|planner, now| planner.peer_message(now, index as u32, buf[..length].to_vec()))
            }
            _ => node.count(Counter::PeerDropped),
        }
    }
}
