//! The platform's front: MessagePack-RPC over TCP. It owns the connections of clients, their open message ids and
//! the answers not yet written. It must never hold policy or a view of the caches: it parses, hands over and
//! relays, and one task serves one connection. Once our side of a connection is shut down, nothing of it is handed on.
use crate::calls::{AcceptFailure, AcceptRetry};
use crate::net::{self, now, read_some, sleep_until, OutgoingAnswer, Signal, LISTEN_BACKLOG};
use crate::node::{ConnectionSlot, Node};
use crate::wire::{self, MsgpackValue, Rpc};

use async_io::Async;
use futures_lite::{future, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use threadward_core::{ClientRequest, Counter, FinalAnswer, Micros, RequestPolicy};

/// Requests that may be open on one connection.
const OPEN: usize = 32;
/// Answers that may wait on one connection beside them: a client that cancels may have fewer in its count.
const WAITING: usize = 32;
/// Requests with unusable fields after which a connection is closed: each costs an answer, and nothing is paid for it.
const UNUSABLE: u32 = 8;
/// Messages, and bytes, of one connection in a turn; then the others have theirs.
const TURN: usize = 32;
const TURN_BYTES: usize = 16 * 1024;
/// Further reads of what has come before any of it is taken: so many bytes more a connection may hold.
const AHEAD: usize = 3;
/// A buffer larger than this is given back once it is empty.
const SPARE: usize = 4 * 1024;
/// A client that has not taken an answer by so long after its writing began is closed: it could hold memory for ever.
const STALLED: Micros = 10_000_000;
/// How often a connection that takes nothing more is looked at for what is still owed on it.
const OWED_LOOK: Micros = 5_000;
/// One that sent what cannot be read has so long to take what was answered before.
const REFUSED: Micros = 750_000;

struct Client {
    node: Rc<Node>,
    place: ConnectionSlot,
    /// Message ids that are owed an answer, with the planner's numbers (0: not known yet).
    open: RefCell<HashMap<u32, u64>>,
    out: RefCell<VecDeque<OutgoingAnswer>>,
    signal: Signal,
    last: Cell<u32>,
    writing: Cell<bool>,
    /// It sent what cannot be read: nothing more is taken, and what is already answered goes out.
    refused: Cell<bool>,
    unusable: Cell<u32>,
}

impl Client {
    fn push(&self, answer: impl Into<OutgoingAnswer>) {
        let answer = answer.into();
        self.node.unwritten_answers.set(self.node.unwritten_answers.get() + 1);
        self.node.unwritten_bytes.set(self.node.unwritten_bytes.get() + answer.memory_bytes());

        self.out.borrow_mut().push_back(answer);
        self.touch();
        self.signal.notify();
    }
    /// Keeps its place up to date, after each change of what is owed.
    fn touch(&self) {
        let owed = self.writing.get() || !self.open.borrow().is_empty() || !self.out.borrow().is_empty();
        self.place.1.set_busy(owed);
    }
    /// Nothing that is open is owed any longer.
    fn leave(&self) {
        let open: Vec<u64> = self.open.borrow_mut().drain().map(|(_, id)| id).collect();
        for id in open {
            self.node.plan(|p, now| p.client_left(now, id));
        }
    }
    fn written(&self, answer: &OutgoingAnswer) {
        self.node.unwritten_answers.set(self.node.unwritten_answers.get() - 1);
        self.node.unwritten_bytes.set(self.node.unwritten_bytes.get() - answer.memory_bytes());
    }
}

/// Accepts clients for as long as the program runs, also while it is ending.
pub async fn serve(node: Rc<Node>, listener: Rc<Async<TcpListener>>) {
    // A place that was made for a client, whose connection was then gone, is the next one's where that is taken at once:
    // a client has its time to ask from when its place was made.
    let (mut place, mut retry) = (None, AcceptRetry::default());
    // Also where a panic made this task anew after the sign was heard.
    while !node.handing_over.get() {
        let told = async {
            node.handover_started.wait().await;
            Err(std::io::ErrorKind::NotConnected.into())
        };
        let greeted = match listener.readable().or(told).await {
            Ok(()) => greet(&node, &listener, &mut place).await,
            Err(e) => Err(e),
        };
        let Err(e) = greeted else {
            retry.reset();
            continue;
        };
        if node.handing_over.get() {
            break;
        }
        let failure = AcceptFailure::of(&e);
        if failure == AcceptFailure::RetryAfterBackoff {
            // Out of descriptors, say: the queue waits, nothing is lost by trying again soon.
            net::log(&format!("accept: {e}"));
        }
        if !retry.wait_after(failure).await {
            place = None;
        }
    }
    // Where the successor has a queue of its own, what this one still holds would be reset by the close.
    for _ in 0..LISTEN_BACKLOG {
        let Err(e) = greet(&node, &listener, &mut place).await else { continue };
        let failure = AcceptFailure::of(&e);
        if failure == AcceptFailure::NoneWaiting {
            break;
        }
        if !retry.wait_after(failure).await {
            place = None;
        }
    }
}

/// Accepts one connection and starts its task. A place for it is there before; where there is none it is closed at once.
async fn greet(
    node: &Rc<Node>,
    listener: &Async<TcpListener>,
    place: &mut Option<ConnectionSlot>,
) -> std::io::Result<()> {
    if place.is_none() {
        *place = node.admit_client().await;
    }
    let stream = Async::new(listener.get_ref().accept()?.0)?;
    let Some(place) = place.take() else { return Ok(()) };
    // Before anything is written: what the system held back would be lost with a reset.
    stream.get_ref().set_nodelay(true).ok();
    let n = node.clone();
    node.spawn("client connection", async move { client(n, place, stream).await });
    Ok(())
}

/// Gives back what a connection held, also after a panic.
struct Held(Rc<Client>);

impl Drop for Held {
    fn drop(&mut self) {
        let c = &self.0;
        for answer in c.out.borrow_mut().drain(..) {
            c.written(&answer);
        }
        c.leave();
    }
}

async fn client(node: Rc<Node>, place: ConnectionSlot, stream: Async<TcpStream>) {
    let c = Rc::new(Client {
        node,
        place,
        open: RefCell::default(),
        out: RefCell::default(),
        signal: Signal::default(),
        last: Cell::new(0),
        writing: Cell::new(false),
        refused: Cell::new(false),
        unusable: Cell::new(0),
    });
    let held = Held(c.clone());
    let overdue = async {
        c.place.1.wait_until_due(|| net::has_unread_bytes(&stream)).await;
        let drained = c.node.handing_over.get() || c.node.refuses_new_requests();

        Some(if drained { Counter::ClosedDrained } else { Counter::Overdue })
    };
    let reason = write(&c, &stream).or(read(&c, &stream)).or(overdue).await;
    reason.into_iter().for_each(|counter| c.node.count(counter));
    // Nobody reads or writes here from now on, and what was open has left.
    drop(held);
    c.place.close(&stream).await;
}

/// An answer that is being written. Its bytes are given back however that ends, also when the connection's task is
/// dropped in the middle: else they would count as held for ever, and admission would close.
struct InHand<'a>(&'a Client, OutgoingAnswer);

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        self.0.written(&self.1);
    }
}

/// Writes answers until the connection is to be closed; gives what counts the reason, where it is not counted yet.
async fn write(c: &Rc<Client>, stream: &Async<TcpStream>) -> Option<Counter> {
    loop {
        let Some(answer) = c.out.borrow_mut().pop_front() else {
            if c.refused.get() && c.open.borrow().is_empty() {
                return None;
            }
            c.signal.wait().await;
            continue;
        };
        c.writing.set(true);
        let answer = InHand(c, answer);
        let until = now() + STALLED;
        let done = answer.1.write(stream).or(async { (sleep_until(until).await, false).1 }).await;
        drop(answer);
        if !done {
            return Some(Counter::ClosedStalled);
        }
        c.writing.set(false);
        c.place.1.set_answered();
        c.touch();
    }
}

/// Reads requests until the connection is to be closed, and gives the reason as `write` does.
async fn read(c: &Rc<Client>, stream: &Async<TcpStream>) -> Option<Counter> {
    let mut buf = Vec::new();
    while read_some(stream, &mut buf, TURN_BYTES).await > 0 {
        // One that has gone behind what it sent asks for nothing any more: its end is looked for before that is taken.
        let ahead = (0..AHEAD).map_while(|_| net::try_read(stream, &mut buf, TURN_BYTES));
        if ahead.into_iter().any(|n| n == 0) {
            break;
        }
        c.place.1.set_parsing(true);
        let mut at = 0;
        for n in 1.. {
            match wire::parse_rpc(&buf[at..]) {
                Ok(Some((message, used))) => {
                    if let Err(why) = handle(c, message) {
                        refuse(c, stream, why).await;
                        return None;
                    }
                    at += used;
                }
                Ok(None) => break,
                Err(why) => {
                    refuse(c, stream, why).await;
                    return None;
                }
            }
            if n % TURN == 0 {
                future::yield_now().await;
            }
        }
        buf.drain(..at);
        if at > 0 {
            c.place.1.set_receiving(false);
        }
        c.place.1.set_receiving(!buf.is_empty());
        c.place.1.set_parsing(false);
        if buf.is_empty() && buf.capacity() > SPARE {
            buf = Vec::new();
        }
        // One that sends without pause would else keep its task running for ever.
        future::yield_now().await;
    }
    Some(Counter::ClosedByClient)
}

/// Takes nothing more. What was taken before still gets its answers, as far as the client stays and takes them soon.
async fn refuse(c: &Rc<Client>, stream: &Async<TcpStream>, why: wire::Malformed) {
    c.node.count(Counter::Malformed);
    net::log(&format!("client: malformed frame ({}), connection closed", why.0));
    c.refused.set(true);
    c.signal.notify();
    let answered = async {
        // Each is answered by its deadline at the latest.
        while !c.open.borrow().is_empty() {
            sleep_until(now() + OWED_LOOK).await;
        }
        c.signal.notify();
        sleep_until(now() + REFUSED).await;
    };
    answered.or(net::discard(stream)).await;
}

fn handle(c: &Rc<Client>, message: Rpc<'_>) -> Result<(), wire::Malformed> {
    let at = now();
    match message {
        Rpc::Notification { method: b"cancelRequest", params } => {
            if let [MsgpackValue::Int(id)] = params.as_slice() {
                let id = u32::try_from(*id).ok().and_then(|id| c.open.borrow_mut().remove(&id));
                if let Some(id) = id {
                    c.node.plan(|p, now| p.client_left(now, id));
                    c.touch();
                }
            }
            Ok(())
        }
        Rpc::Notification { .. } => Ok(()),
        Rpc::Request { id, method, params } => {
            // Ids count up; one that comes again could not be told from the first.
            if id <= c.last.get() {
                return Err(wire::Malformed("message id"));
            }
            c.last.set(id);
            if method == b"alive" {
                // With a successor there the proxy lives on, though this process ends.
                let stays = c.node.stopping.get().is_none() || c.node.handing_over.get();
                let yes = stays && c.node.plan(|p, _| p.ready());
                c.push(wire::encode_alive(id, yes));
                return Ok(());
            }
            if c.open.borrow().len() >= OPEN || c.out.borrow().len() >= OPEN + WAITING {
                return Err(wire::Malformed("too many open requests"));
            }
            match parse_request(&c.node.config.names.classes, &c.node.config.settings, method, &params, at) {
                Some(mut ask) => {
                    ask.expires_at = ask.expires_at.min(c.node.latest_answer_time());
                    take(c, id, ask);
                }
                None => {
                    c.node.count(Counter::Unusable);
                    c.unusable.set(c.unusable.get() + 1);
                    if c.unusable.get() > UNUSABLE {
                        return Err(wire::Malformed("too many unusable requests"));
                    }
                    c.push(wire::encode_error(id, "Error", &[]));
                }
            }
            Ok(())
        }
    }
}

fn take(c: &Rc<Client>, id: u32, ask: ClientRequest) {
    if c.node.refuses_new_requests() {
        c.node.count(Counter::RefusedClosing);
        return c.push(wire::encode_error(id, "Full", &[]));
    }
    c.open.borrow_mut().insert(id, 0);
    let client = Rc::downgrade(c);
    let reply = Box::new(move |last: FinalAnswer| {
        let Some(c) = client.upgrade() else { return };
        if c.open.borrow_mut().remove(&id).is_none() {
            return;
        }
        c.push(match last {
            FinalAnswer::Served(p) => {
                let (unchanged, etag) = (("notmod", "1"), ("etag", &*p.tag));
                let tail = wire::encode_fields(&[unchanged, etag][usize::from(!p.unchanged)..]);
                OutgoingAnswer { head: wire::encode_served_head(id, p.body.len()), body: p.body, tail }
            }
            FinalAnswer::Refused { retry_after: 0 } => wire::encode_error(id, "Full", &[]).into(),
            FinalAnswer::Refused { retry_after: after } => {
                wire::encode_error(id, "Full", &[("pushback", &after.div_ceil(1000).to_string())]).into()
            }
            FinalAnswer::Failed => wire::encode_error(id, "Error", &[]).into(),
        });
    });
    let number = c.node.plan(|p, now| p.accept_request(now, c.node.held_bytes(), ask, reply));
    if let (Some(n), Some(open)) = (number, c.open.borrow_mut().get_mut(&id)) {
        *open = n;
    }
    c.touch();
}

/// A request from a method and its parameters; nothing where a field is unusable.
pub fn parse_request(
    classes: &[String],
    settings: &threadward_core::Settings,
    method: &[u8],
    params: &[MsgpackValue<'_>],
    at: Micros,
) -> Option<ClientRequest> {
    let class = classes.iter().position(|c| c.as_bytes() == method)?;
    let [MsgpackValue::Map(fields), MsgpackValue::Bin(body)] = params else { return None };
    let mut texts: HashMap<&str, &str> = HashMap::new();
    for (name, value) in fields {
        let (MsgpackValue::Str(name), MsgpackValue::Str(value)) = (name, value) else { return None };
        let old = texts.insert(std::str::from_utf8(name).ok()?, std::str::from_utf8(value).ok()?);
        if old.is_some() {
            return None;
        }
    }
    let hex = |t: &&str| t.len() == 16 && t.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let number = |name: &str, most: u64| -> Option<u64> {
        let t = texts.get(name)?;
        let digits = !t.is_empty() && t.len() <= 10 && t.bytes().all(|b| b.is_ascii_digit());
        t.parse().ok().filter(|n| digits && *n <= most && (t.len() == 1 || !t.starts_with('0')))
    };
    let plain = |name: &str| match texts.get(name) {
        Some(t) => wire::is_plain_text(t, 128).then(|| Some(Box::from(*t))),
        None => Some(None),
    };
    let call = texts.get("call").copied().filter(|t| hex(t))?;
    let row = texts.get("row").copied().filter(|t| hex(t))?;
    let key = plain("dedupe")?;
    // No client waits for longer than its class has it: such a request would only be held.
    let patience = settings.classes.get(class)?.deadline;
    let keyed = settings.classes.get(class)?.effect == nickelgate::Effect::Dedup;
    if keyed && key.is_none() || body.len() > 48_000 {
        return None;
    }
    Some(ClientRequest {
        call_id: call.into(),
        class: u8::try_from(class).ok()?,
        object: u64::from_str_radix(row, 16).ok()?,
        object_name: row.into(),
        part: number("seg", u64::from(u32::MAX))? as u32,
        group: number("bucket", 255)? as u16,
        size_kb: size(texts.get("heap").copied()),
        expires_at: at + number("ttl", patience.div_ceil(1000))? * 1000,
        marked_retry: texts.get("rep") == Some(&"1"),
        idempotency_key: key,
        tag: plain("etag")?,
        body: body.to_vec(),
        policy: RequestPolicy::default(),
    })
}

/// The size that a client states in `heap`, in KB: a plain decimal up to `MOST_KB`. It only informs the router, so
/// one that cannot be read is taken as not told, and the request goes on.
fn size(text: Option<&str>) -> f32 {
    /// Far beyond the largest object the protocol allows, with the simulator's count of bytes.
    const MOST_KB: f32 = 1e7;
    let plain =
        |t: &str| !t.is_empty() && t.len() <= 16 && t.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let kb = text.filter(|t| plain(t)).and_then(|t| t.parse::<f32>().ok());
    kb.filter(|k| (0.0..=MOST_KB).contains(k)).unwrap_or(0.0)
}
