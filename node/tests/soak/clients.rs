//! Stand-in clients: most wait for their answers, some write slowly, cancel, or leave.
use crate::common::{put_text, Client};
use crate::oracle::Oracle;
use crate::proxies::{Fleet, Proxy};
use crate::servers::{body, group_of, World};
use crate::{dice, pause, MILLISECOND, SECOND};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;
use threadward::net::now;
use threadward_core::Micros;

const PER_PROXY: usize = 4;
/// A request that crosses the close of a connection at rest within this is the client's to send again.
const CROSSING: Micros = 80 * MILLISECOND;
/// Classes, by how long their clients wait, in milliseconds.
const CLASSES: [(&str, std::ops::Range<u64>); 3] =
    [("media", 300..3_000), ("booking", 300..2_500), ("quick", 60..150)];

/// How a client behaves with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    Waits,
    WritesSlowly,
    Cancels,
    Leaves,
}

pub struct Clients {
    running: Rc<Cell<usize>>,
}

/// The proxy that a request is sent to, by its id.
pub fn proxy_of(call: &str) -> usize {
    usize::from_str_radix(&call[4..8], 16).unwrap_or(0)
}

pub fn start(
    executor: &'static LocalExecutor<'static>,
    world: &Rc<World>,
    fleet: &Fleet,
    seed: u64,
    until: Micros,
) -> Clients {
    let running = Rc::new(Cell::new(0));
    let counter = Rc::new(Cell::new(0u64));
    for (number, proxy) in fleet.proxies.iter().enumerate() {
        for n in 0..PER_PROXY {
            let part = 10_000 + (number * PER_PROXY + n) as u64;
            let one =
                One { oracle: world.oracle.clone(), proxy: proxy.clone(), number, counter: counter.clone() };
            let (running, mut lots) = (running.clone(), dice(seed, part));
            running.set(running.get() + 1);
            let task = async move {
                while now() < until {
                    if !one.proxy.takes_connections() {
                        pause(20 * MILLISECOND).await;
                        continue;
                    }
                    one.connection(&mut lots).await;
                    pause(lots.u64(0..60) * MILLISECOND).await;
                }
                running.set(running.get() - 1);
            };
            executor.spawn(task).detach();
        }
    }
    Clients { running }
}

pub async fn ended(clients: &Clients) {
    let end = now() + 20 * SECOND;
    while clients.running.get() > 0 && now() < end {
        pause(20 * MILLISECOND).await;
    }
}

struct One {
    oracle: Rc<Oracle>,
    proxy: Rc<Proxy>,
    number: usize,
    counter: Rc<Cell<u64>>,
}

impl One {
    async fn connection(&self, lots: &mut fastrand::Rng) {
        let late = async {
            pause(SECOND).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let Ok(stream) = Async::<TcpStream>::connect(self.proxy.front).or(late).await else { return };
        // A small write that the system holds back would only look as if it had been sent.
        stream.get_ref().set_nodelay(true).ok();
        let (mut client, connected) = (Client::from_stream(stream), now());
        let (mut open, mut answered, mut id) = (BTreeMap::new(), BTreeMap::new(), 0);
        for turn in 0..lots.u32(1..5) {
            if !self.proxy.takes_requests() {
                return;
            }
            for _ in 0..lots.u32(1..4) {
                id += 1;
                let sent = self.send(&client, id, lots).await;
                if let Some((call, _)) = &sent {
                    let port = client.stream.get_ref().local_addr().map_or(0, |at| at.port());
                    let age = now() - connected;
                    self.oracle
                        .note(call, &format!("from port {port}, connected {age} us before, turn {turn}"));
                }
                match sent {
                    Some((call, Manner::Leaves)) => {
                        open.insert(id, call);
                        pause(lots.u64(0..40) * MILLISECOND).await;
                        return self.leave(client, &open);
                    }
                    Some((call, Manner::Cancels)) => {
                        pause(lots.u64(0..40) * MILLISECOND).await;
                        self.oracle.gone(&call, "cancelled");
                        if !write(&client, &cancel(id)).await {
                            return self.end(&open, true, "reset");
                        }
                    }
                    Some((call, _)) => drop(open.insert(id, call)),
                    None => return self.end(&open, rested(id, &open), "reset"),
                }
            }
            while !open.is_empty() {
                let due = open.values().map(|call| self.oracle.deadline(call)).min().unwrap_or(0);
                let late = async {
                    crate::sleep_until(due).await;
                    Err(())
                };
                match async { Ok(client.answer().await) }.or(late).await {
                    Ok(Some((id, word, bytes))) => {
                        let call = open.remove(&id);
                        if let Some(call) = call.or_else(|| answered.get(&id).cloned()) {
                            self.answer(&call, word, &bytes);
                            answered.insert(id, call);
                        }
                    }
                    Ok(None) => return self.end(&open, rested(id, &open), "closed"),
                    Err(()) => return self.end(&open, false, "no answer in time"),
                }
            }
            pause(lots.u64(0..200) * MILLISECOND).await;
        }
    }

    /// Sends a request whole; nothing where the connection takes no more.
    async fn send(&self, client: &Client, id: u32, lots: &mut fastrand::Rng) -> Option<(String, Manner)> {
        self.counter.set(self.counter.get() + 1);
        let call = format!("{:04x}{:04x}{:08x}", lots.u16(..), self.number, self.counter.get());
        let (class, ttl) = CLASSES[if lots.bool() { lots.usize(0..3) } else { 0 }].clone();
        let ttl = lots.u64(ttl);
        let manner = match lots.u8(0..20) {
            0 => Manner::Leaves,
            1 => Manner::Cancels,
            2 => Manner::WritesSlowly,
            _ => Manner::Waits,
        };
        let bytes = request(id, class, &call, ttl);
        let (mut first, rest) = (bytes.as_slice(), &bytes[bytes.len() - 1..]);
        first = &first[..first.len() - 1];
        if manner == Manner::WritesSlowly {
            let (head, tail) = first.split_at(first.len() / 2);
            if !write(client, head).await {
                return None;
            }
            pause(lots.u64(1..60) * MILLISECOND).await;
            first = tail;
        }
        if !write(client, first).await {
            return None;
        }
        self.oracle.sent(&call, class, self.number, ttl * MILLISECOND);
        if !write(client, rest).await {
            self.oracle.gone(&call, "could not be written");
            return None;
        }
        Some((call, manner))
    }

    fn answer(&self, call: &str, word: Option<String>, bytes: &[u8]) {
        let right = word.is_some() || bytes == body(call);
        self.oracle.answered(call, word.as_deref().unwrap_or("served"), right);
        self.oracle.ended(call, false, "done");
    }

    fn leave(&self, client: Client, open: &BTreeMap<u32, String>) {
        open.values().for_each(|call| self.oracle.gone(call, "client closed"));
        drop(client);
    }

    /// The connection has ended, or nothing came. `rested`: it had been at rest before.
    fn end(&self, open: &BTreeMap<u32, String>, rested: bool, how: &str) {
        for call in open.values() {
            let sent = self.oracle.sent_at(call);
            let crossed = rested && now() < sent + CROSSING;
            self.oracle.ended(call, crossed || self.proxy.killed_since(sent), how);
        }
    }
}

/// Whether a connection was owed nothing at some time since its first request: then its close may cross a further one.
fn rested(last_id: u32, open: &BTreeMap<u32, String>) -> bool {
    open.len() < last_id as usize
}

async fn write(client: &Client, bytes: &[u8]) -> bool {
    threadward::net::write_all(&client.stream, bytes).await.is_ok()
}

fn request(id: u32, class: &str, call: &str, ttl: u64) -> Vec<u8> {
    let (ttl, group) = (ttl.to_string(), group_of(call).to_string());
    let mut fields = vec![("call", call), ("ttl", &ttl), ("row", call), ("seg", "0"), ("bucket", &group)];
    fields.sort();
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend(id.to_be_bytes());
    put_text(&mut out, class);
    out.extend([0x92, 0x80 | fields.len() as u8]);
    for (name, value) in fields {
        put_text(&mut out, name);
        put_text(&mut out, value);
    }
    out.extend([0xc4, 0]);
    out
}

fn cancel(id: u32) -> Vec<u8> {
    let mut out = vec![0x93, 0x02];
    put_text(&mut out, "cancelRequest");
    out.extend([0x91, 0xce]);
    out.extend(id.to_be_bytes());
    out
}
