//! Stand-in clients: most wait for their answers, some write slowly, cancel, or disconnect.
use crate::common::{cancel, put_text, Client};
use crate::oracle::Oracle;
use crate::proxies::{Fleet, Proxy};
use crate::servers::{body, group_of, Environment, LARGE_OBJECT_BIT};
use crate::slow_clients::{has_slow_client, SlowClient};
use crate::{pause, rng_for, MILLISECOND, SECOND};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;
use threadward::net::now;
use threadward_core::Micros;

/// How many clients send requests to each proxy.
const CLIENTS_PER_PROXY: usize = 4;
/// When a proxy closes an idle connection and a request was sent on it less than this before, the two crossed
/// on the way, and it is for the client to send the request again.
pub const CLOSE_CROSSING_WINDOW: Micros = 80 * MILLISECOND;
/// Classes, and the range of milliseconds from which a client draws how long it waits.
const CLASSES: [(&str, std::ops::Range<u64>); 3] =
    [("media", 300..3_000), ("booking", 300..2_500), ("quick", 60..150)];

/// What a client does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientBehavior {
    Waits,
    WritesSlowly,
    Cancels,
    Disconnects,
}

/// Makes the ids of requests, which say to which proxy a request is sent and whether its object is large.
#[derive(Default)]
pub struct CallIds {
    count: Cell<u64>,
}

impl CallIds {
    /// Returns a new id for a request for an object of up to 40,000 bytes.
    fn next(&self, proxy: usize, rng: &mut fastrand::Rng) -> String {
        self.count.set(self.count.get() + 1);
        format!("{:04x}{proxy:04x}{:08x}", rng.u16(..), self.count.get())
    }

    /// Returns a new id for a request for an object of nearly the largest size.
    pub fn next_large(&self, proxy: usize, rng: &mut fastrand::Rng) -> String {
        self.count.set(self.count.get() + 1);
        format!("{:04x}{proxy:04x}{:08x}", rng.u16(..), LARGE_OBJECT_BIT | self.count.get())
    }
}

/// Returns whether an answer is a refusal, or has the bytes of the object that was asked for.
pub fn answer_is_correct(call_id: &str, refusal: Option<&str>, bytes: &[u8]) -> bool {
    refusal.is_some() || bytes == body(call_id)
}

/// The clients of a run.
pub struct Clients {
    /// How many client tasks have not ended yet.
    running: Rc<Cell<usize>>,
}

/// Returns the number of the proxy that a request is sent to, which its id contains.
pub fn proxy_of(call_id: &str) -> usize {
    usize::from_str_radix(&call_id[4..8], 16).unwrap_or(0)
}

/// Starts the clients of all proxies. Each opens connections one after the other until `until`.
pub fn start(
    executor: &'static LocalExecutor<'static>,
    environment: &Rc<Environment>,
    fleet: &Fleet,
    seed: u64,
    until: Micros,
) -> Clients {
    let running = Rc::new(Cell::new(0));
    let call_ids = Rc::new(CallIds::default());
    for (number, proxy) in fleet.proxies.iter().enumerate() {
        for n in 0..CLIENTS_PER_PROXY {
            let seed_part = 10_000 + (number * CLIENTS_PER_PROXY + n) as u64;
            let client_task = ClientTask {
                oracle: environment.oracle.clone(),
                proxy: proxy.clone(),
                number,
                call_ids: call_ids.clone(),
            };
            let (running, mut rng) = (running.clone(), rng_for(seed, seed_part));
            running.set(running.get() + 1);
            let task = async move {
                while now() < until {
                    if !client_task.proxy.takes_connections() {
                        pause(20 * MILLISECOND).await;
                        continue;
                    }
                    client_task.connection(&mut rng).await;
                    pause(rng.u64(0..60) * MILLISECOND).await;
                }
                running.set(running.get() - 1);
            };
            executor.spawn(task).detach();
        }
        if has_slow_client(number, seed) {
            let slow_client = SlowClient {
                oracle: environment.oracle.clone(),
                proxy: proxy.clone(),
                number,
                call_ids: call_ids.clone(),
            };
            let (running, mut rng) = (running.clone(), rng_for(seed, 20_000 + number as u64));
            running.set(running.get() + 1);
            let task = async move {
                while now() < until {
                    if slow_client.proxy.takes_connections() {
                        slow_client.connection(&mut rng, until).await;
                    }
                    pause(20 * MILLISECOND).await;
                }
                running.set(running.get() - 1);
            };
            executor.spawn(task).detach();
        }
    }
    Clients { running }
}

/// Waits until all clients have ended, for 20 s at most.
pub async fn wait_for_end(clients: &Clients) {
    let end = now() + 20 * SECOND;
    while clients.running.get() > 0 && now() < end {
        pause(20 * MILLISECOND).await;
    }
}

/// One client, which sends requests to one proxy.
struct ClientTask {
    oracle: Rc<Oracle>,
    proxy: Rc<Proxy>,
    number: usize,
    call_ids: Rc<CallIds>,
}

impl ClientTask {
    /// Opens a connection, sends requests on it in a few turns, and reports each answer and each loss to the
    /// oracle.
    async fn connection(&self, rng: &mut fastrand::Rng) {
        let timeout = async {
            pause(SECOND).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let Ok(stream) = Async::<TcpStream>::connect(self.proxy.front).or(timeout).await else { return };
        // Without this the system may delay a small write, and the oracle would count it as sent before it
        // was.
        stream.get_ref().set_nodelay(true).ok();
        let (mut client, connected_at) = (Client::from_stream(stream), now());
        let (mut in_flight, mut answered, mut id) = (BTreeMap::new(), BTreeMap::new(), 0);
        for turn in 0..rng.u32(1..5) {
            if !self.proxy.takes_requests() {
                return;
            }
            for _ in 0..rng.u32(1..4) {
                id += 1;
                let sent = self.send(&client, id, rng).await;
                if let Some((call_id, _)) = &sent {
                    let port = client.stream.get_ref().local_addr().map_or(0, |at| at.port());
                    let age = now() - connected_at;
                    self.oracle
                        .note(call_id, &format!("from port {port}, connected {age} us before, turn {turn}"));
                }
                match sent {
                    Some((call_id, ClientBehavior::Disconnects)) => {
                        in_flight.insert(id, call_id);
                        pause(rng.u64(0..40) * MILLISECOND).await;
                        return self.disconnect(client, &in_flight);
                    }
                    Some((call_id, ClientBehavior::Cancels)) => {
                        pause(rng.u64(0..40) * MILLISECOND).await;
                        self.oracle.record_client_gone(&call_id, "cancelled");
                        if !write(&client, &cancel(id)).await {
                            return self.end_connection(&in_flight, true, "reset");
                        }
                    }
                    Some((call_id, _)) => drop(in_flight.insert(id, call_id)),
                    None => return self.end_connection(&in_flight, was_idle(id, &in_flight), "reset"),
                }
            }
            while !in_flight.is_empty() {
                let due = in_flight.values().map(|call_id| self.oracle.deadline(call_id)).min().unwrap_or(0);
                let timeout = async {
                    crate::sleep_until(due).await;
                    Err(())
                };
                match async { Ok(client.answer().await) }.or(timeout).await {
                    Ok(Some((id, refusal, bytes))) => {
                        let call_id = in_flight.remove(&id);
                        if let Some(call_id) = call_id.or_else(|| answered.get(&id).cloned()) {
                            self.answer(&call_id, refusal, &bytes);
                            answered.insert(id, call_id);
                        }
                    }
                    Ok(None) => return self.end_connection(&in_flight, was_idle(id, &in_flight), "closed"),
                    Err(()) => return self.end_connection(&in_flight, false, "no answer in time"),
                }
            }
            pause(rng.u64(0..200) * MILLISECOND).await;
        }
    }

    /// Sends one request as a client of random behavior; returns its id and the behavior, or nothing where
    /// the connection takes no more.
    async fn send(
        &self,
        client: &Client,
        id: u32,
        rng: &mut fastrand::Rng,
    ) -> Option<(String, ClientBehavior)> {
        let call_id = self.call_ids.next(self.number, rng);
        let (class, ttl) = CLASSES[if rng.bool() { rng.usize(0..3) } else { 0 }].clone();
        let ttl = rng.u64(ttl);
        let behavior = match rng.u8(0..20) {
            0 => ClientBehavior::Disconnects,
            1 => ClientBehavior::Cancels,
            2 => ClientBehavior::WritesSlowly,
            _ => ClientBehavior::Waits,
        };
        let bytes = request(id, class, &call_id, ttl);
        let (mut first, rest) = (bytes.as_slice(), &bytes[bytes.len() - 1..]);
        first = &first[..first.len() - 1];
        if behavior == ClientBehavior::WritesSlowly {
            let (head, tail) = first.split_at(first.len() / 2);
            if !write(client, head).await {
                return None;
            }
            pause(rng.u64(1..60) * MILLISECOND).await;
            first = tail;
        }
        if !write(client, first).await {
            return None;
        }
        self.oracle.record_sent(&call_id, class, self.number, ttl * MILLISECOND);
        if !write(client, rest).await {
            self.oracle.record_client_gone(&call_id, "could not be written");
            return None;
        }
        Some((call_id, behavior))
    }

    /// Reports an answer to the oracle, which judges whether it is correct.
    fn answer(&self, call_id: &str, refusal: Option<String>, bytes: &[u8]) {
        let correct = answer_is_correct(call_id, refusal.as_deref(), bytes);
        self.oracle.record_answer(call_id, refusal.as_deref().unwrap_or("served"), correct);
        self.oracle.record_end(call_id, false, "done");
    }

    /// Closes the connection with requests in flight, and reports each as given up by the client.
    fn disconnect(&self, client: Client, in_flight: &BTreeMap<u32, String>) {
        in_flight.values().for_each(|call_id| self.oracle.record_client_gone(call_id, "client closed"));
        drop(client);
    }

    /// Reports the requests in flight after the connection has ended or no answer came in time. `was_idle`:
    /// it had been idle before.
    fn end_connection(&self, in_flight: &BTreeMap<u32, String>, was_idle: bool, how: &str) {
        for call_id in in_flight.values() {
            let sent = self.oracle.sent_at(call_id);
            let crossed_close = was_idle && now() < sent + CLOSE_CROSSING_WINDOW;
            self.oracle.record_end(call_id, crossed_close || self.proxy.killed_since(sent), how);
        }
    }
}

/// Returns whether the connection had no unanswered request at some time since its first one: then the proxy
/// may have closed it as idle while a further request was on its way.
fn was_idle(last_id: u32, in_flight: &BTreeMap<u32, String>) -> bool {
    in_flight.len() < last_id as usize
}

/// Writes all bytes to the connection; false where it takes no more.
pub async fn write(client: &Client, bytes: &[u8]) -> bool {
    threadward::net::write_all(&client.stream, bytes).await.is_ok()
}

/// Encodes a request of a class with its call id and how many milliseconds its client waits.
pub fn request(id: u32, class: &str, call_id: &str, ttl: u64) -> Vec<u8> {
    let (ttl, group) = (ttl.to_string(), group_of(call_id).to_string());
    let mut fields =
        vec![("call", call_id), ("ttl", &ttl), ("row", call_id), ("seg", "0"), ("bucket", &group)];
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
