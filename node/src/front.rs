//! The listener for the platform's clients, which speak MessagePack-RPC over TCP.
//!
//! One task serves one connection. It parses requests, submits them to the planner and writes the answers;
//! this module has no routing policy and no knowledge of the caches. Once this side of a connection is shut
//! down, nothing that arrives on it is processed.
use crate::admission::{ConnectionSlot, ReceiveBuffer};
use crate::calls::{AcceptFailure, AcceptRetry};
use crate::client_connection::CloseReason;
use crate::net::{self, now, read_some, sleep_until, OutgoingAnswer, Signal, LISTEN_BACKLOG};
use crate::node::{Node, UnwrittenAnswer};
use crate::wire::{self, MsgpackValue, Rpc};
use async_io::Async;
use futures_lite::{future, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use threadward_core::{ClientRequest, Counter, FinalAnswer, Micros, RequestPolicy};

/// Limit on open requests of one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Limit on answers that wait to be written on one connection. Each belongs to a request that the client
/// still counts as open, or to a health check.
const MAX_WAITING_ANSWERS: usize = 2 * MAX_OPEN_REQUESTS;
/// How many requests with unusable fields a connection may send before it is closed. Each of them costs an
/// answer, and none of them passes admission control.
const MAX_UNUSABLE_REQUESTS: u32 = 8;
/// Messages of one connection that are handled before other tasks get a turn.
const MESSAGES_PER_TURN: usize = 32;
/// Limit on the bytes of one read.
const READ_BYTES: usize = 16 * 1024;
/// Further reads after the first one before its messages are handled. They bound how much a connection may
/// buffer.
const MAX_FURTHER_READS: usize = 3;
/// A read buffer larger than this is freed once it is empty.
const MAX_IDLE_BUFFER_BYTES: usize = 4 * 1024;
/// How often a connection from which nothing more is read is checked for requests that are still open.
const OPEN_REQUESTS_POLL_INTERVAL: Micros = 5_000;
/// How long a client that sent a malformed message may take to read the answers to its earlier requests.
const MALFORMED_LINGER: Micros = 750_000;

/// An answer that waits to be written.
struct WaitingAnswer {
    message_id: u32,
    answer: UnwrittenAnswer,
}

/// A client's connection.
struct Client {
    node: Rc<Node>,
    slot: ConnectionSlot,
    /// Message ids that are still to be answered, with the planner's request ids (0: not known yet).
    open_requests: RefCell<HashMap<u32, u64>>,
    waiting_answers: RefCell<VecDeque<WaitingAnswer>>,
    signal: Signal,
    last_message_id: Cell<u32>,
    writing: Cell<bool>,
    /// The client sent a malformed message: nothing more is read, and the answers to its earlier requests are
    /// written.
    malformed: Cell<bool>,
    unusable_requests: Cell<u32>,
}

impl Client {
    /// Queues the answer to a message for writing.
    fn push(&self, message_id: u32, answer: impl Into<OutgoingAnswer>) {
        let answer = UnwrittenAnswer::new(&self.node, answer.into());
        self.waiting_answers.borrow_mut().push_back(WaitingAnswer { message_id, answer });
        self.update_busy();
        self.signal.notify();
    }
    /// Drops a request that its client has cancelled. If it was answered already, the answer is dropped as
    /// long as none of it has been written: the client no longer counts it.
    fn cancel(&self, message_id: u32) {
        let request_id = self.open_requests.borrow_mut().remove(&message_id);
        match request_id {
            Some(request_id) => self.node.plan(|p, now| p.client_left(now, request_id)),
            None => self.waiting_answers.borrow_mut().retain(|waiting| waiting.message_id != message_id),
        }
        self.update_busy();
    }
    /// Updates whether the connection counts as busy, after each change of its open requests and unwritten
    /// answers.
    fn update_busy(&self) {
        let busy = self.writing.get()
            || !self.open_requests.borrow().is_empty()
            || !self.waiting_answers.borrow().is_empty();
        self.slot.1.set_busy(busy);
    }
    /// Tells the planner that the client no longer waits for any of its open requests.
    fn cancel_open_requests(&self) {
        let open: Vec<u64> = self.open_requests.borrow_mut().drain().map(|(_, id)| id).collect();
        for id in open {
            self.node.plan(|p, now| p.client_left(now, id));
        }
    }
}

/// Accepts clients for as long as the program runs, also while it is shutting down, until it hands over to
/// another process.
pub async fn serve(node: Rc<Node>, listener: Rc<Async<TcpListener>>) {
    // A slot prepared for a client whose connection turned out to be gone is kept for the next client if
    // that one is accepted at once. A client's time to send its first request runs from when its slot was
    // made.
    let (mut slot, mut retry) = (None, AcceptRetry::default());
    // This also ends a task that was restarted after a panic when the process had given way already.
    while !node.handing_over.get() {
        let gave_way = async {
            node.handover_started.wait().await;
            Err(std::io::ErrorKind::NotConnected.into())
        };
        let accepted = match listener.readable().or(gave_way).await {
            Ok(()) => accept_client(&node, &listener, &mut slot).await,
            Err(e) => Err(e),
        };
        let Err(e) = accepted else {
            retry.reset();
            continue;
        };
        if node.handing_over.get() {
            break;
        }
        let failure = AcceptFailure::of(&e);
        if failure == AcceptFailure::RetryAfterBackoff {
            // For example a shortage of descriptors. The connections wait in the backlog, and nothing is lost
            // by a retry.
            net::log(&format!("accept: {e}"));
        }
        if !retry.wait_after(failure).await {
            slot = None;
        }
    }
    // If the successor has a backlog of its own, closing this socket would reset the connections still in
    // this one.
    for _ in 0..LISTEN_BACKLOG {
        let Err(e) = accept_client(&node, &listener, &mut slot).await else { continue };
        let failure = AcceptFailure::of(&e);
        if failure == AcceptFailure::NoneWaiting {
            break;
        }
        if !retry.wait_after(failure).await {
            slot = None;
        }
    }
}

/// Accepts one connection and starts its task. Its slot is reserved before; if there is none, the connection
/// is closed at once.
async fn accept_client(
    node: &Rc<Node>,
    listener: &Async<TcpListener>,
    slot: &mut Option<ConnectionSlot>,
) -> std::io::Result<()> {
    if slot.is_none() {
        *slot = node.admit_client().await;
    }
    let stream = Async::new(listener.get_ref().accept()?.0)?;
    let Some(slot) = slot.take() else { return Ok(()) };
    // Set before anything is written: data that the system holds back would be lost in a reset.
    stream.get_ref().set_nodelay(true).ok();
    let n = node.clone();
    node.spawn("client connection", async move { run_client(n, slot, stream).await });
    Ok(())
}

/// Releases what a connection held, also after a panic.
struct ClientGuard(Rc<Client>);

impl Drop for ClientGuard {
    fn drop(&mut self) {
        let client = &self.0;
        client.waiting_answers.borrow_mut().clear();
        client.cancel_open_requests();
    }
}

/// Serves a client's connection to its end.
async fn run_client(node: Rc<Node>, slot: ConnectionSlot, stream: Async<TcpStream>) {
    let client = Rc::new(Client {
        node,
        slot,
        open_requests: RefCell::default(),
        waiting_answers: RefCell::default(),
        signal: Signal::default(),
        last_message_id: Cell::new(0),
        writing: Cell::new(false),
        malformed: Cell::new(false),
        unusable_requests: Cell::new(0),
    });
    let held = ClientGuard(client.clone());
    let overdue = async {
        let reason = client.slot.1.wait_until_due(&stream).await;
        let drained = client.node.handing_over.get() || client.node.refuses_new_requests();
        Some(match reason {
            CloseReason::Stalled => Counter::ClosedStalled,
            CloseReason::Due if drained => Counter::ClosedDrained,
            CloseReason::Due => Counter::Overdue,
        })
    };
    let reason = write(&client, &stream).or(read(&client, &stream)).or(overdue).await;
    reason.into_iter().for_each(|counter| client.node.count(counter));
    // Nothing is read or written from here on, and the open requests are cancelled.
    drop(held);
    client.slot.close(&stream).await;
}

/// Writes answers until the connection is to be closed. Returns the counter for the reason unless it is
/// counted already.
async fn write(client: &Rc<Client>, stream: &Async<TcpStream>) -> Option<Counter> {
    loop {
        let Some(WaitingAnswer { answer, .. }) = client.waiting_answers.borrow_mut().pop_front() else {
            if client.malformed.get() && client.open_requests.borrow().is_empty() {
                return None;
            }
            client.signal.wait().await;
            continue;
        };
        client.writing.set(true);
        if !answer.write(&client.slot.1, stream).await {
            return Some(Counter::ClosedStalled);
        }
        client.writing.set(false);
        client.slot.1.set_answered();
        client.update_busy();
    }
}

/// Reads requests until the connection is to be closed. Returns the counter for the reason as [`write`] does.
async fn read(client: &Rc<Client>, stream: &Async<TcpStream>) -> Option<Counter> {
    let mut buf = ReceiveBuffer::new(&client.node);
    while read_some(stream, &mut buf, READ_BYTES).await > 0 {
        // A client that has closed its connection no longer wants what it sent: the end of the stream is
        // looked for before the messages are handled, also behind more than is read at once.
        let further_reads = (0..MAX_FURTHER_READS).map_while(|_| net::try_read(stream, &mut buf, READ_BYTES));
        let (mut read_count, mut ended) = (0, false);
        for bytes in further_reads {
            read_count += 1;
            ended |= bytes == 0;
        }
        if ended || read_count == MAX_FURTHER_READS && net::peer_has_closed(stream) {
            break;
        }
        client.slot.1.set_receiving(true);
        buf.update_total();
        client.slot.1.set_parsing(true);
        let mut parsed = 0;
        for n in 1.. {
            match wire::parse_rpc(&buf[parsed..]) {
                Ok(Some((message, length))) => {
                    if let Err(reason) = handle_message(client, message) {
                        stop_reading(client, stream, reason).await;
                        return None;
                    }
                    parsed += length;
                }
                Ok(None) => break,
                Err(reason) => {
                    stop_reading(client, stream, reason).await;
                    return None;
                }
            }
            if n % MESSAGES_PER_TURN == 0 {
                future::yield_now().await;
            }
        }
        buf.drain(..parsed);
        if parsed > 0 {
            client.slot.1.set_receiving(false);
        }
        client.slot.1.set_receiving(!buf.is_empty());
        client.slot.1.set_parsing(false);
        if buf.is_empty() && buf.capacity() > MAX_IDLE_BUFFER_BYTES {
            *buf = Vec::new();
            buf.update_total();
        }
        // Otherwise a client that sends without pause would keep this task running for ever.
        future::yield_now().await;
    }
    Some(Counter::ClosedByClient)
}

/// Stops reading messages after a malformed one. Requests accepted before are still answered, as far as the
/// client stays and reads the answers soon.
async fn stop_reading(client: &Rc<Client>, stream: &Async<TcpStream>, reason: wire::Malformed) {
    client.node.count(Counter::Malformed);
    net::log(&format!("client: malformed frame ({}), connection closed", reason.0));
    client.malformed.set(true);
    client.signal.notify();
    let answered = async {
        // Every request is answered by its deadline at the latest.
        while !client.open_requests.borrow().is_empty() {
            sleep_until(now() + OPEN_REQUESTS_POLL_INTERVAL).await;
        }
        client.signal.notify();
        sleep_until(now() + MALFORMED_LINGER).await;
    };
    answered.or(net::discard(stream)).await;
}

/// Handles a message: submits a request, cancels one or answers a health check.
///
/// # Errors
/// Returns an error if the connection is to be closed.
fn handle_message(client: &Rc<Client>, message: Rpc<'_>) -> Result<(), wire::Malformed> {
    let received_at = now();
    match message {
        Rpc::Notification { method: b"cancelRequest", params } => {
            if let [MsgpackValue::Int(id)] = params.as_slice() {
                if let Ok(message_id) = u32::try_from(*id) {
                    client.cancel(message_id);
                }
            }
            Ok(())
        }
        Rpc::Notification { .. } => Ok(()),
        Rpc::Request { id, method, params } => {
            // Ids have to increase: a reused one could not be distinguished from its first use.
            if id <= client.last_message_id.get() {
                return Err(wire::Malformed("message id"));
            }
            client.last_message_id.set(id);
            if client.waiting_answers.borrow().len() >= MAX_WAITING_ANSWERS {
                return Err(wire::Malformed("too many unread answers"));
            }
            if method == b"alive" {
                // If a successor takes over, the proxy goes on although this process ends.
                let accepting = client.node.stopping.get().is_none() || client.node.handing_over.get();
                let ready = accepting && client.node.plan(|p, _| p.ready());
                client.push(id, wire::encode_alive(id, ready));
                return Ok(());
            }
            if client.open_requests.borrow().len() >= MAX_OPEN_REQUESTS {
                return Err(wire::Malformed("too many open requests"));
            }
            match parse_request(
                &client.node.config.names.classes,
                &client.node.config.settings,
                method,
                &params,
                received_at,
            ) {
                Some(mut request) => {
                    request.expires_at = request.expires_at.min(client.node.latest_answer_time());
                    submit(client, id, request);
                }
                None => {
                    client.node.count(Counter::Unusable);
                    client.unusable_requests.set(client.unusable_requests.get() + 1);
                    if client.unusable_requests.get() > MAX_UNUSABLE_REQUESTS {
                        return Err(wire::Malformed("too many unusable requests"));
                    }
                    client.push(id, wire::encode_error(id, "Error", &[]));
                }
            }
            Ok(())
        }
    }
}

/// Submits a request to the planner, or refuses it while the program is shutting down.
fn submit(client: &Rc<Client>, id: u32, request: ClientRequest) {
    if client.node.refuses_new_requests() {
        client.node.count(Counter::RefusedClosing);
        return client.push(id, wire::encode_error(id, "Full", &[]));
    }
    client.open_requests.borrow_mut().insert(id, 0);
    let weak_client = Rc::downgrade(client);
    let reply = Box::new(move |answer: FinalAnswer| {
        let Some(client) = weak_client.upgrade() else { return };
        if client.open_requests.borrow_mut().remove(&id).is_none() {
            return;
        }
        let answer = match answer {
            FinalAnswer::Served(p) => {
                let (unchanged, etag) = (("notmod", "1"), ("etag", &*p.tag));
                let tail = wire::encode_fields(&[unchanged, etag][usize::from(!p.unchanged)..]);
                OutgoingAnswer { head: wire::encode_served_head(id, p.body.len()), body: p.body, tail }
            }
            FinalAnswer::Refused { retry_after: 0 } => wire::encode_error(id, "Full", &[]).into(),
            FinalAnswer::Refused { retry_after: delay } => {
                wire::encode_error(id, "Full", &[("pushback", &delay.div_ceil(1000).to_string())]).into()
            }
            FinalAnswer::Failed => wire::encode_error(id, "Error", &[]).into(),
        };
        client.push(id, answer);
    });
    let request_id =
        client.node.plan(|p, now| p.accept_request(now, client.node.held_bytes(), request, reply));
    if let (Some(planner_id), Some(entry)) = (request_id, client.open_requests.borrow_mut().get_mut(&id)) {
        *entry = planner_id;
    }
    client.update_busy();
}

/// Parses a request from a method and its parameters. Returns nothing if a field is unusable.
pub fn parse_request(
    classes: &[String],
    settings: &threadward_core::Settings,
    method: &[u8],
    params: &[MsgpackValue<'_>],
    received_at: Micros,
) -> Option<ClientRequest> {
    let class = classes.iter().position(|c| c.as_bytes() == method)?;
    let [MsgpackValue::Map(fields), MsgpackValue::Bin(body)] = params else { return None };
    let mut fields_by_name: HashMap<&str, &str> = HashMap::new();
    for (name, value) in fields {
        let (MsgpackValue::Str(name), MsgpackValue::Str(value)) = (name, value) else { return None };
        let previous =
            fields_by_name.insert(std::str::from_utf8(name).ok()?, std::str::from_utf8(value).ok()?);
        if previous.is_some() {
            return None;
        }
    }
    let is_hex_id =
        |text: &&str| text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let parse_number = |name: &str, max: u64| -> Option<u64> {
        let text = fields_by_name.get(name)?;
        let digits = !text.is_empty() && text.len() <= 10 && text.bytes().all(|b| b.is_ascii_digit());
        text.parse().ok().filter(|n| digits && *n <= max && (text.len() == 1 || !text.starts_with('0')))
    };
    let optional_text = |name: &str| match fields_by_name.get(name) {
        Some(text) => wire::is_plain_text(text, 128).then(|| Some(Box::from(*text))),
        None => Some(None),
    };
    let call_id = fields_by_name.get("call").copied().filter(|text| is_hex_id(text))?;
    let object_name = fields_by_name.get("row").copied().filter(|text| is_hex_id(text))?;
    let idempotency_key = optional_text("dedupe")?;
    // No client waits for longer than the deadline of its class: such a request would only take up memory.
    let max_wait = settings.classes.get(class)?.deadline;
    let needs_key = settings.classes.get(class)?.effect == nickelgate::Effect::Dedup;
    if needs_key && idempotency_key.is_none() || body.len() > 48_000 {
        return None;
    }
    Some(ClientRequest {
        call_id: call_id.into(),
        class: u8::try_from(class).ok()?,
        object: u64::from_str_radix(object_name, 16).ok()?,
        object_name: object_name.into(),
        part: parse_number("seg", u64::from(u32::MAX))? as u32,
        group: parse_number("bucket", 255)? as u16,
        size_kb: parse_size_kb(fields_by_name.get("heap").copied()),
        expires_at: received_at + parse_number("ttl", max_wait.div_ceil(1000))? * 1000,
        marked_retry: fields_by_name.get("rep") == Some(&"1"),
        idempotency_key,
        tag: optional_text("etag")?,
        body: body.to_vec(),
        policy: RequestPolicy::default(),
    })
}

/// Parses the size in KB that a client states in `heap`: a plain decimal number up to `MAX_KB`. The router
/// takes it as a hint only, so an unusable value counts as absent and the request goes on.
fn parse_size_kb(text: Option<&str>) -> f32 {
    /// Far beyond the largest object that the protocol allows, even as the simulator counts bytes.
    const MAX_KB: f32 = 1e7;
    let plain =
        |t: &str| !t.is_empty() && t.len() <= 16 && t.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let kb = text.filter(|t| plain(t)).and_then(|t| t.parse::<f32>().ok());
    kb.filter(|k| (0.0..=MAX_KB).contains(k)).unwrap_or(0.0)
}
