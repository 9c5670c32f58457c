//! Hears what the rest of the platform tells: the bulletin's purges and list changes, and the datagrams of other
//! proxies. It owns the number of the last event, the calls to the bulletin and the one watch that is
//! heard. It must never judge an event: it hands each to the pool and the planner once, in order, at once.
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
use threadward_core::{Counter, Entry, Lifecycle, ListForm, Micros};

/// A comment comes each second: a watch silent for longer is cut off, though it looks open. A call that is not answered
/// for as long gets another one beside it.
const SILENCE: Micros = 1_800_000;
/// Calls that wait for their answer at once; the oldest makes way. A bulletin that serves hundreds of proxies one by one
/// takes seconds: whoever gave up each call meanwhile would only ever stand at the end of its queue.
const CALLS: usize = 4;
/// Calls begin no closer together than this, give or take half by lot, so that a hundred proxies do not ask in step.
/// It does not grow: a purge counts as told while the bulletin is out of reach, and its grace is a few such pauses.
const AGAIN: Micros = 100_000;
/// Bytes that are read at once of an answer's head, and of the events after it.
const HEAD_BYTES: usize = 1024;
const EVENT_BYTES: usize = 16 * 1024;
/// Numbers above are not exact in JSON, and none could follow the last.
const NUMBERS: u64 = 1 << 53;
/// Servers that a list may name, and a proxy may hold: memory for them stays under a few megabytes.
const SERVERS: usize = 20_000;

/// An event is passed over: that is said and counted.
fn unusable(node: &Node, why: &str) {
    net::log(&format!("bulletin: unusable event ({why})"));
    node.count(Counter::Malformed);
}

/// Makes the planner and the pool hold what is so of these servers, after a call of the staff that was made no longer ago
/// than `within`.
pub fn apply_bans(node: &Node, servers: Vec<ListedServer>, within: Micros) {
    let bans = node.bans.borrow();
    node.pool.set_disabled(
        bans.states().keys().filter(|id| bans.is_banned(id)).map(|id| address_for_id(id)).collect(),
    );

    drop(bans);
    if !servers.is_empty() {
        take_over(node, ListForm::Delta, servers, within);
    }
}

fn take_over(node: &Node, form: ListForm, mut servers: Vec<ListedServer>, within: Micros) {
    node.start_times.borrow_mut().assign(form, &mut servers, (unix_now(), now()), within);
    let displaced = node.pool.update_listed(form, &servers);

    let gone = |addr| Entry { addr, state: Lifecycle::Gone, ..Entry::default() };
    let listed = servers.into_iter().map(|s| s.entry);
    let entries = displaced.into_iter().map(gone).chain(listed).collect();
    node.plan(|p, now| p.update_members(now, form, entries));
}

pub fn apply(node: &Node, b: DiscoveryEvent, cached: bool) {
    match b {
        DiscoveryEvent::Members { form, mut servers } => {
            let more = |s: &&ListedServer| {
                s.entry.state != Lifecycle::Gone && node.pool.member_id(s.entry.addr).is_none()
            };

            // The last good list stays in use, and so do the drains it told of.
            let why = match form {
                ListForm::Full if servers.is_empty() && !cached => Some("a whole list of no servers"),
                ListForm::Delta
                    if servers.iter().filter(more).count() + node.pool.member_count() > SERVERS =>
                {
                    Some("more servers than can be held")
                }
                _ if servers.len() > SERVERS => Some("a list of too many servers"),
                _ => None,
            };
            if let Some(why) = why {
                return unusable(node, why);
            }
            let form = if cached && form == ListForm::Full { ListForm::Cached } else { form };
            node.bans.borrow_mut().apply_list(form, &mut servers);
            let within = node.caught_up_at.get().map_or(Micros::MAX, |at| now().saturating_sub(at));
            take_over(node, form, servers, if cached { Micros::MAX } else { within });
        }
        // It counts from this moment on: copies from before are older, whatever the wall clocks say. It was issued before.
        DiscoveryEvent::Purge { issued: _, object, group } => {
            node.plan(|p, now| p.purge(now, 0, object, group));
        }
    }
}

/// Says when a call may begin, whatever ended the one before.
struct Pace {
    lots: RefCell<fastrand::Rng>,
    next: Cell<Micros>,
}

/// A call that was answered with yes: what follows the head comes from here.
struct Watch {
    stream: Async<TcpStream>,
    raw: Vec<u8>,
    chunked: bool,
}

/// A call under way.
type Calling = Pin<Box<dyn Future<Output = Result<Watch, Malformed>>>>;

/// Follows the bulletin for as long as the program runs, at the address that the configuration names at the time.
/// The number of the last event outlives every connection and every reload, so events apply once and in order.
pub async fn follow(node: Rc<Node>) {
    let lots = RefCell::new(fastrand::Rng::with_seed(node.config.seed));
    let pace = Pace { lots, next: Cell::new(0) };
    loop {
        let at = node.discovery_addr.get();
        let moved = async {
            while node.discovery_addr.get() == at {
                node.discovery_moved.wait().await;
            }
        };
        moved.or(attend(&node, at, &pace)).await;
    }
}

/// Goes from watch to watch. There is one at a time, and the one before is closed when the next call begins: what it
/// still says is heard by nobody.
async fn attend(node: &Rc<Node>, at: SocketAddr, pace: &Pace) {
    loop {
        let watch = reach(node, at, pace).await;
        let heard = Cell::new(now());
        let silence = async {
            while now() < heard.get() + SILENCE {
                sleep_until(heard.get() + SILENCE).await;
            }
            Err(Malformed("silent"))
        };
        let ended = listen(node, watch, &heard).or(silence).await;
        lost(node, ended.map_or_else(|Malformed(why)| why, |()| "ended"));
    }
}

fn lost(node: &Node, why: &str) {
    node.count(Counter::DiscoveryLosses);
    net::log(&format!("bulletin: connection lost ({why}), last event {}", node.last_event.get()));
}

/// Calls until one is answered; the others are given up then. Nothing of an event is read here.
async fn reach(node: &Rc<Node>, at: SocketAddr, pace: &Pace) -> Watch {
    let mut calls: Vec<Calling> = Vec::new();
    let mut due = pace.next.get();
    loop {
        let ended = future::poll_fn(|cx| {
            for i in 0..calls.len() {
                if let Poll::Ready(result) = calls[i].as_mut().poll(cx) {
                    drop(calls.remove(i));
                    return Poll::Ready(Some((result, i)));
                }
            }
            Poll::Pending
        });
        let begin = async {
            sleep_until(due).await;
            None
        };
        match ended.or(begin).await {
            Some((Ok(watch), _)) => return watch,
            Some((Err(Malformed(why)), i)) => {
                lost(node, why);
                // While a later one is out, its time is waited for.
                if i == calls.len() {
                    due = pace.next.get();
                }
            }
            None => {
                if !calls.is_empty() {
                    lost(node, "no answer");
                }
                if calls.len() == CALLS {
                    drop(calls.remove(0));
                }
                calls.push(Box::pin(call(node.clone(), at)));
                pace.next.set(now() + AGAIN / 2 + pace.lots.borrow_mut().u64(0..=AGAIN));
                due = pace.next.get() + SILENCE;
            }
        }
    }
}

/// One call, to the end of the answer's head.
async fn call(node: Rc<Node>, at: SocketAddr) -> Result<Watch, Malformed> {
    let lost = |_| Malformed("broken");
    let stream = Async::<TcpStream>::connect(at).await.map_err(lost)?;
    stream.get_ref().set_nodelay(true).map_err(lost)?;
    let request = format!(
        "GET /bulletins HTTP/1.1\r\nHost: {at}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
        node.last_event.get()
    );
    net::write_all(&stream, request.as_bytes()).await.map_err(lost)?;
    let mut raw = Vec::new();
    loop {
        if net::read_some(&stream, &mut raw, HEAD_BYTES).await == 0 {
            return Err(Malformed("ended"));
        }
        let Some((head, used)) = wire::parse_http_head(&raw)? else { continue };
        if head.start_line[1] != "200" {
            return Err(Malformed("the bulletin refused"));
        }
        node.discovery_heard.set(true);
        raw.drain(..used);
        let chunked = head.header("transfer-encoding").unwrap_or("").eq_ignore_ascii_case("chunked");
        return Ok(Watch { stream, raw, chunked });
    }
}

/// Where the block that stands first ends, whatever it holds.
fn block(text: &[u8]) -> Option<usize> {
    let end = |mark: &[u8]| text.windows(mark.len()).position(|w| w == mark).map(|at| at + mark.len());
    [end(b"\n\n"), end(b"\r\n\r\n"), end(b"\r\r")].into_iter().flatten().min()
}

/// Whether what cannot be read at this place is asked for once more, as it was perhaps cut on the way. It must not
/// stand before all others for good.
fn asks_again(node: &Node) -> bool {
    let next = node.last_event.get().saturating_add(1);
    node.reread_event.replace(next) != next
}

async fn listen(node: &Rc<Node>, watch: Watch, heard: &Cell<Micros>) -> Result<(), Malformed> {
    let Watch { stream, mut raw, chunked } = watch;
    let mut text = Vec::new();
    // The rest of a block that cannot be read is passed over.
    let mut passing = false;
    loop {
        let (known, mut last) = (text.len(), false);
        if chunked {
            let mut from = 0;
            while let Some((part, used)) = wire::parse_http_chunk(&raw[from..])? {
                text.extend_from_slice(part);
                from += used;
                last = part.is_empty();
                if last {
                    break;
                }
            }
            raw.drain(..from);
        } else {
            text.append(&mut raw);
        }
        let mut from = 0;
        // Without a further end of a line no block can have become whole.
        let mut more =
            text.len() > wire::MAX_EVENT_BYTES || text[known..].iter().any(|b| matches!(b, b'\n' | b'\r'));
        while more {
            if passing {
                let end = block(&text[from..]);
                from = end.map_or(text.len().saturating_sub(3).max(from), |n| from + n);
                passing = end.is_none();
            }
            if passing {
                break;
            }
            match wire::parse_sse_event(&text[from..]) {
                Ok(Some((data, used))) => {
                    from += used;
                    if let Some(data) = data {
                        take(node, &data)?;
                        future::yield_now().await;
                    }
                }
                Ok(None) => more = false,
                Err(why) if asks_again(node) => return Err(why),
                Err(Malformed(why)) => {
                    unusable(node, why);
                    passing = true;
                }
            }
        }
        text.drain(..from);
        node.caught_up_at.set(Some(heard.get()));
        if last {
            return Ok(());
        }
        if net::read_some(&stream, &mut raw, EVENT_BYTES).await == 0 {
            return Ok(());
        }
        heard.set(now());
        // A read that finds bytes does not wait: others have their turn, and a move is heeded.
        future::yield_now().await;
    }
}

/// Takes one event in its turn.
fn take(node: &Node, data: &str) -> Result<(), Malformed> {
    let last = &node.last_event;
    let next = last.get().saturating_add(1);
    let v = match serde_json::from_str(data) {
        Ok(v) => v,
        Err(_) if asks_again(node) => return Err(Malformed("an event that is not JSON")),
        Err(_) => {
            unusable(node, "not JSON, twice");
            return Ok(());
        }
    };
    match parse_event(&v, &node.config.names) {
        // What was sent again after a reconnect is passed over.
        Ok((no, _)) if no <= last.get() => {}
        Ok((no, _)) if no > NUMBERS => unusable(node, "a number that none can follow"),
        // Something is missing before it: asked for once, as numbers may also have been left out. What comes the second
        // time is taken, whatever its number: else a bulletin that only tells what is new would never be heard.
        Ok((no, _)) if no > next && node.out_of_order_event.replace(next) != next => {
            return Err(Malformed("an event out of turn"));
        }
        Ok((no, b)) => {
            if let Some(b) = b {
                apply(node, b, false);
            }
            last.set(no);
        }
        Err(e) => unusable(node, &e),
    }
    Ok(())
}

/// Takes datagrams of other proxies; from elsewhere, or too long, they are dropped and counted.
pub async fn receive_peer_messages(node: Rc<Node>, socket: Rc<Async<UdpSocket>>) {
    let mut buf = [0u8; 257];
    loop {
        let Ok((n, from)) = socket.recv_from(&mut buf).await else {
            sleep_until(now() + 10_000).await;
            continue;
        };
        match node.config.peers.iter().position(|p| *p == from) {
            Some(i) if n <= 256 => node.plan(|p, now| p.peer_message(now, i as u32, buf[..n].to_vec())),
            _ => node.count(Counter::PeerDropped),
        }
    }
}
