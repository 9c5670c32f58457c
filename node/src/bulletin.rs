//! Hears what the rest of the platform tells: the bulletin's purges and list changes, and the datagrams of other
//! proxies. It owns the number of the last event and the connection to the bulletin. It must never judge an
//! event: it hands each to the pool and the planner once, in order, at once.
use crate::config::{event, stand_in, Bulletin, Listed};
use crate::net::{self, now, sleep_until};
use crate::node::Node;
use crate::wire::{self, Malformed};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::rc::Rc;
use threadward_core::{Counter, Entry, Lifecycle, ListForm, Micros};

/// A comment comes each second: a connection silent for longer is cut off, though it looks open.
const SILENCE: Micros = 1_800_000;
/// Tries begin no closer together than this, give or take half by lot, so that a hundred proxies do not ask in step.
/// It does not grow: a purge counts as told while the bulletin is out of reach, and its grace is a few such pauses.
const AGAIN: Micros = 100_000;
/// Servers that a list may name, and a proxy may hold: memory for them stays under a few megabytes.
const SERVERS: usize = 20_000;

/// An event is passed over: that is said and counted.
fn unusable(node: &Node, why: &str) {
    net::log(&format!("bulletin: unusable event ({why})"));
    node.count(Counter::Malformed);
}

/// Makes the planner and the pool hold what is so of these servers, after a call of the staff.
pub fn hold(node: &Node, servers: Vec<Listed>) {
    let bans = node.bans.borrow();
    node.pool.bar(bans.calls().keys().filter(|id| bans.is_out(id)).map(|id| stand_in(id)).collect());
    drop(bans);
    if !servers.is_empty() {
        take_over(node, ListForm::Delta, servers);
    }
}

fn take_over(node: &Node, form: ListForm, servers: Vec<Listed>) {
    let displaced = node.pool.roster(form, &servers);
    let gone = |addr| Entry { addr, state: Lifecycle::Gone, ..Entry::default() };
    let listed = servers.into_iter().map(|s| s.entry);
    let entries = displaced.into_iter().map(gone).chain(listed).collect();
    node.plan(|p, now| p.members(now, form, entries));
}

pub fn apply(node: &Node, b: Bulletin, cached: bool) {
    match b {
        Bulletin::Roster { form, mut servers } => {
            // The last good list stays in use, and so do the drains it told of.
            let why = match form {
                ListForm::Full if servers.is_empty() && !cached => Some("a whole list of no servers"),
                _ if servers.len() + node.pool.listed() > SERVERS && form == ListForm::Delta => {
                    Some("more servers than can be held")
                }
                _ if servers.len() > SERVERS => Some("a list of too many servers"),
                _ => None,
            };
            if let Some(why) = why {
                return unusable(node, why);
            }
            let form = if cached && form == ListForm::Full { ListForm::Cached } else { form };
            node.bans.borrow_mut().hear(form, &mut servers);
            take_over(node, form, servers);
        }
        Bulletin::Recall { issued, object, group } => {
            node.plan(|p, now| p.purged(now, issued, object, group));
        }
    }
}

/// Follows the bulletin for as long as the program runs, at the address that the configuration names at the time.
/// The number of the last event outlives every connection and every reload, so events apply once and in order.
pub async fn follow(node: Rc<Node>) {
    let mut lots = fastrand::Rng::with_seed(node.config.seed);
    loop {
        let (begun, at) = (now(), node.bulletin.get());
        let heard = Cell::new(begun);
        let silence = async {
            while now() < heard.get() + SILENCE {
                sleep_until(heard.get() + SILENCE).await;
            }
            "silent"
        };
        let why = async {
            match listen(&node, at, &heard).await {
                Ok(()) => "ended",
                Err(Malformed(why)) => why,
            }
        };
        let moved = async {
            while node.bulletin.get() == at {
                node.moved.wait().await;
            }
            "moved"
        };
        let why = moved.or(why).or(silence).await;
        if why == "moved" {
            continue;
        }
        node.count(Counter::BulletinLosses);
        net::log(&format!("bulletin: connection lost ({why}), last event {}", node.last_event.get()));
        sleep_until(begun + AGAIN / 2 + lots.u64(0..=AGAIN)).await;
    }
}

async fn listen(node: &Rc<Node>, at: SocketAddr, heard: &Cell<Micros>) -> Result<(), Malformed> {
    let lost = |_| Malformed("broken");
    let last = &node.last_event;
    let mut stream = Async::<TcpStream>::connect(at).await.map_err(lost)?;
    let request = format!(
        "GET /bulletins HTTP/1.1\r\nHost: {at}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
        last.get()
    );
    stream.write_all(request.as_bytes()).await.map_err(lost)?;
    let (mut raw, mut text) = (Vec::new(), Vec::new());
    let mut chunked = None;
    let mut chunk = vec![0u8; 16 * 1024];
    loop {
        let n = stream.read(&mut chunk).await.map_err(lost)?;
        if n == 0 {
            return Ok(());
        }
        heard.set(now());
        raw.extend_from_slice(&chunk[..n]);
        if chunked.is_none() {
            let Some((head, used)) = wire::http_head(&raw)? else { continue };
            if head.start[1] != "200" {
                return Err(Malformed("the bulletin refused"));
            }
            let te = head.get("transfer-encoding").unwrap_or("");
            chunked = Some(te.eq_ignore_ascii_case("chunked"));
            node.heard.set(true);
            raw.drain(..used);
        }
        if chunked == Some(true) {
            while let Some((part, used)) = wire::http_chunk(&raw)? {
                if part.is_empty() {
                    return Ok(());
                }
                text.extend_from_slice(part);
                raw.drain(..used);
            }
        } else {
            text.append(&mut raw);
        }
        while let Some((data, used)) = wire::sse(&text)? {
            text.drain(..used);
            let Some(data) = data else { continue };
            let v = match serde_json::from_str(&data) {
                Ok(v) => v,
                // Perhaps cut on the way: asked for once more. It must not stand before all others for good.
                Err(_) if node.unread.replace(last.get() + 1) != last.get() + 1 => {
                    return Err(Malformed("an event that is not JSON"));
                }
                Err(_) => {
                    unusable(node, "not JSON, twice");
                    continue;
                }
            };
            match event(&v, &node.config.names) {
                // What was sent again after a reconnect is passed over.
                Ok((no, _)) if no <= last.get() => {}
                // Something is missing before it: asked for once, as numbers may also have been left out.
                Ok((no, _)) if no > last.get() + 1 && node.out_of_turn.replace(no) != no => {
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
        }
    }
}

/// Takes datagrams of other proxies; from elsewhere, or too long, they are dropped and counted.
pub async fn peers(node: Rc<Node>, socket: Rc<Async<UdpSocket>>) {
    let mut buf = [0u8; 257];
    loop {
        let Ok((n, from)) = socket.recv_from(&mut buf).await else {
            sleep_until(now() + 10_000).await;
            continue;
        };
        match node.config.peers.iter().position(|p| *p == from) {
            Some(i) if n <= 256 => node.plan(|p, now| p.peer(now, i as u32, buf[..n].to_vec())),
            _ => node.count(Counter::PeerDropped),
        }
    }
}
