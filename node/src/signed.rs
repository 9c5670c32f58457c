//! The second front: signed links over HTTP/1.1, as RFC 9246 signs URIs with a JWT (RFC 7515, RFC 7519). It owns
//! the gate (keys, the rules on tokens, the register of redeemed ones) and the connections of its clients. It
//! must never write a token or a key to a log, send on a request whose token was not redeemed here, or hold
//! policy of its own: behind the gate stand the same planner, stages and rules as behind the platform's front.
//!
//! The gate reads the clock it is given. `skew` is how far the clocks of signers and proxies may lie apart, and
//! every rule errs towards refusal by it:
//! - expired once `now + skew >= exp`, so that a slow clock never prolongs a link;
//! - `iat` has to lie between the start of this proxy plus `skew` (the register of redeemed tokens did not outlive
//!   the last one) and `now + skew`;
//! - a `jti` is redeemed once, at its home only, and the register holds it until `exp`. When the register is full
//!   the gate fails closed. A request that was refused unserved gives its `jti` back: that try never ran.
use crate::calls::{self, AcceptFailure, AcceptRetry};
use crate::net::{has_unread_bytes, now, read_some, sleep_until, OutgoingAnswer, Signal};
use crate::node::{ClientConnection, Node};
pub use crate::operators::SignedLinks as Settings;
use crate::wire::{self, HttpHead, Malformed};

use async_io::Async;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use futures_lite::FutureExt;
use hmac::{Hmac, KeyInit, Mac};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use threadward_core::{ClientRequest, Counter, FinalAnswer, Micros, Payload, RequestPolicy};

/// The attribute that carries the token (RFC 9246, section 3.3).
const ATTRIBUTE: &str = "URISigningPackage";
/// The longest token that is looked at.
const TOKEN: usize = 4096;
/// The longest body of a write.
const BODY: usize = 48_000;
/// A client that has not taken an answer by so long after its writing began is closed.
const STALLED: Micros = 10_000_000;
/// Refused requests after which a connection is closed: each costs a check of a signature.
const REFUSED: u32 = 32;
/// What a proxy that is full advises.
const PAUSE: Micros = 1_000_000;

/// Why the gate turned a token away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    Missing,
    Bad,
    Expired,
    Early,
    Replayed,
    Full,
}

/// A token whose signature, times and URI hold.
#[derive(Clone, Debug, PartialEq)]
pub struct VerifiedToken {
    pub jti: String,
    /// `exp` on the signer's clock.
    pub exp: Micros,
}

pub struct TokenVerifier {
    s: Settings,
    started: Micros,
    /// The latest time seen: a clock that is set back must not bring a dropped token to life.
    latest: Cell<Micros>,
    redeemed: RefCell<BTreeSet<(String, Micros)>>,
    by_end: RefCell<BTreeMap<(Micros, String), ()>>,
}

fn part(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text).ok()
}

fn object(bytes: &[u8]) -> Option<Value> {
    serde_json::from_slice::<Value>(bytes).ok().filter(Value::is_object)
}

/// A NumericDate in microseconds.
fn date(v: &Value, name: &str) -> Result<Option<Micros>, Denial> {
    match v.get(name) {
        None => Ok(None),
        Some(d) => match d.as_f64() {
            Some(s) if (0.0..=1e11).contains(&s) => Ok(Some((s * 1e6) as Micros)),
            _ => Err(Denial::Bad),
        },
    }
}

impl TokenVerifier {
    pub fn new(s: Settings, started: Micros) -> TokenVerifier {
        TokenVerifier {
            s,
            started,
            latest: Cell::new(started),
            redeemed: RefCell::default(),
            by_end: RefCell::default(),
        }
    }

    fn clock(&self, now: Micros) -> Micros {
        self.latest.set(self.latest.get().max(now));
        self.latest.get()
    }

    pub fn is_expired(&self, pass: &VerifiedToken, now: Micros) -> bool {
        self.clock(now) + self.s.skew >= pass.exp
    }

    /// Checks a token against the path it came with. Nothing is redeemed by it.
    ///
    /// # Errors
    /// Why the token does not open this path now.
    pub fn verify(&self, now: Micros, path: &str, token: Option<&str>) -> Result<VerifiedToken, Denial> {
        let now = self.clock(now);
        let token = token.filter(|t| !t.is_empty()).ok_or(Denial::Missing)?;
        let claims = self.signed(token).ok_or(Denial::Bad)?;
        let known = ["iss", "sub", "aud", "exp", "nbf", "iat", "jti", "cdniv", "cdnicrit", "cdniuc"];
        let critical = match claims.get("cdnicrit") {
            None => true,
            Some(Value::String(list)) => list.split(',').all(|c| known.contains(&c.trim())),
            Some(_) => false,
        };
        // Claims that narrow a link and that this front cannot enforce close it.
        let narrowed = ["cdniip", "cdniets", "cdnistt", "cdnistd"].iter().any(|c| claims.get(c).is_some());
        let version = claims.get("cdniv").is_none_or(|v| v.as_u64() == Some(1));
        let audience = match (claims.get("aud"), &self.s.audience) {
            (None, _) => true,
            (Some(Value::String(a)), Some(own)) => a == own,
            (Some(Value::Array(all)), Some(own)) => all.iter().any(|a| a.as_str() == Some(own)),
            _ => false,
        };
        if !critical || narrowed || !version || !audience {
            return Err(Denial::Bad);
        }
        let (exp, iat) = match (date(&claims, "exp")?, date(&claims, "iat")?) {
            (Some(exp), Some(iat)) => (exp, iat),
            _ => return Err(Denial::Bad),
        };
        let jti = claims.get("jti").and_then(Value::as_str).filter(|j| !j.is_empty() && j.len() <= 128);
        let jti = jti.ok_or(Denial::Bad)?.to_owned();
        let container = claims.get("cdniuc").and_then(Value::as_str).ok_or(Denial::Bad)?;
        let digest = container.strip_prefix("hash:sha-256;").and_then(part).ok_or(Denial::Bad)?;
        let mut uri = Sha256::new();
        uri.update(self.s.base.as_bytes());
        uri.update(path.as_bytes());
        if digest != uri.finalize()[..] {
            return Err(Denial::Bad);
        }
        if now + self.s.skew >= exp {
            return Err(Denial::Expired);
        }
        if iat < self.started + self.s.skew || iat > now + self.s.skew {
            return Err(Denial::Bad);
        }
        if date(&claims, "nbf")?.is_some_and(|nbf| now < nbf) {
            return Err(Denial::Early);
        }
        Ok(VerifiedToken { jti, exp })
    }

    /// The claims, where the signature holds. The key says which algorithm it is for, never the token.
    fn signed(&self, token: &str) -> Option<Value> {
        let mut parts = token.split('.');
        let (head, claims, mac) = (parts.next()?, parts.next()?, parts.next()?);
        if token.len() > TOKEN || parts.next().is_some() {
            return None;
        }
        let header = object(&part(head)?)?;
        let key = self.s.keys.get(header.get("kid")?.as_str()?)?;
        if header.get("alg")?.as_str()? != "HS256" || header.get("crit").is_some() {
            return None;
        }
        let mut own = Hmac::<Sha256>::new_from_slice(key).ok()?;
        own.update(&token.as_bytes()[..head.len() + 1 + claims.len()]);
        // In constant time.
        own.verify_slice(&part(mac)?).ok()?;
        object(&part(claims)?)
    }

    /// The front at which a `jti` is redeemed: the highest rendezvous hash over the fronts in the file. Every proxy
    /// of the tier finds the same one, with no word between them.
    pub fn redeeming_front(&self, jti: &str) -> Option<&(String, String)> {
        let score = |name: &str| {
            let mut h = Sha256::new();
            h.update(name.as_bytes());
            h.update([0]);
            h.update(jti.as_bytes());
            <[u8; 32]>::from(h.finalize())
        };
        self.s.fronts.iter().max_by_key(|(name, _)| score(name))
    }

    /// Where a client is to go with a token whose home is another front.
    pub fn redirect_target(&self, pass: &VerifiedToken) -> Option<&str> {
        self.redeeming_front(&pass.jti).filter(|(name, _)| *name != self.s.name).map(|(_, url)| url.as_str())
    }

    /// Redeems a token: once, and only while the register has room.
    ///
    /// # Errors
    /// When it was redeemed before, or the register is full.
    pub fn redeem(&self, pass: &VerifiedToken, now: Micros) -> Result<(), Denial> {
        let now = self.clock(now);
        let (mut redeemed, mut by_end) = (self.redeemed.borrow_mut(), self.by_end.borrow_mut());
        while by_end.first_key_value().is_some_and(|((end, _), ())| *end <= now) {
            if let Some(((end, jti), ())) = by_end.pop_first() {
                redeemed.remove(&(jti, end));
            }
        }
        // The same jti under another end is the same jti.
        let from = (pass.jti.clone(), 0);
        if redeemed.range(from..).next().is_some_and(|(jti, _)| *jti == pass.jti) {
            return Err(Denial::Replayed);
        }
        if redeemed.len() >= self.s.register {
            return Err(Denial::Full);
        }
        redeemed.insert((pass.jti.clone(), pass.exp));
        by_end.insert((pass.exp, pass.jti.clone()), ());
        Ok(())
    }

    /// Gives a `jti` back after a refusal: nothing was served for it and nothing ran.
    pub fn release(&self, pass: &VerifiedToken) {
        self.redeemed.borrow_mut().remove(&(pass.jti.clone(), pass.exp));
        self.by_end.borrow_mut().remove(&(pass.exp, pass.jti.clone()));
    }
}

/// What a request line and its headers ask for.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkRequest {
    pub path: String,
    pub token: Option<String>,
    pub class: String,
    pub group: u16,
    pub object: u64,
    pub object_name: String,
    pub part: u32,
    pub is_write: bool,
    pub body_bytes: usize,
    pub close_connection: bool,
    pub idempotency_key: Option<String>,
    pub held_tag: Option<String>,
}

/// Reads a head. The error is the status that answers it.
///
/// # Errors
/// The status for what is malformed or not allowed.
pub fn parse_link_request(head: &HttpHead) -> Result<LinkRequest, u16> {
    let malformed = |_: Malformed| 400u16;
    let [method, target, version] = &head.start_line;
    if version != "HTTP/1.1" || head.single_header("host").map_err(malformed)?.is_none() {
        return Err(400);
    }
    let write = match method.as_str() {
        "GET" => false,
        "POST" => true,
        _ => return Err(405),
    };
    let (path, query) = target.split_once('?').map_or((target.as_str(), None), |(p, q)| (p, Some(q)));
    let token = match query {
        None => None,
        Some(q) => match q.split_once('=') {
            Some((ATTRIBUTE, token)) if !token.contains('&') => Some(token.to_owned()),
            _ => return Err(400),
        },
    };
    let mut parts = path.strip_prefix('/').ok_or(400u16)?.split('/');
    let (Some(class), Some(group), Some(row), Some(part), None) =
        (parts.next(), parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(400);
    };
    let number = |t: &str, most: u64| {
        let digits =
            t.len() <= 10 && t.bytes().all(|b| b.is_ascii_digit()) && (t.len() == 1 || !t.starts_with('0'));
        t.parse::<u64>().ok().filter(|n| digits && *n <= most).ok_or(400u16)
    };
    let hex = row.len() == 16 && row.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if !hex || !wire::is_plain_text(class, 64) {
        return Err(400);
    }
    let length = match head.single_header("content-length").map_err(malformed)? {
        Some(n) => number(n, u64::from(u32::MAX))? as usize,
        None if write => return Err(411),
        None => 0,
    };
    // A body whose length two headers tell differently is how requests are smuggled.
    if head.header("transfer-encoding").is_some() || !write && length > 0 {
        return Err(400);
    }
    if length > BODY {
        return Err(413);
    }
    let key = head.single_header("idempotency-key").map_err(malformed)?;
    let key = key.map(|k| k.trim_matches('"').to_owned());
    if key.as_ref().is_some_and(|k| !wire::is_plain_text(k, 128)) || write && key.is_none() {
        return Err(400);
    }
    // One strong or weak tag; of a list or `*` nothing is passed on, and the answer is whole.
    let tag = head.header("if-none-match").map(|t| t.trim().trim_start_matches("W/"));
    let tag =
        tag.and_then(|t| t.strip_prefix('"')?.strip_suffix('"')).filter(|t| wire::is_plain_text(t, 128));
    Ok(LinkRequest {
        token,
        class: class.to_owned(),
        group: number(group, 255)? as u16,
        object: u64::from_str_radix(row, 16).map_err(|_| 400u16)?,
        object_name: row.to_owned(),
        part: number(part, u64::from(u32::MAX))? as u32,
        path: path.to_owned(),
        is_write: write,
        body_bytes: length,
        close_connection: head.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")),
        idempotency_key: key,
        held_tag: tag.map(str::to_owned),
    })
}

/// The head of an answer with a body of so many bytes. None of these may be stored by others: each link is good once.
pub fn response(status: u16, headers: &[(&str, &str)], body: usize) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        411 => "Length Required",
        413 => "Content Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    };
    let mut out = format!("HTTP/1.1 {status} {reason}\r\nCache-Control: private, no-store\r\n");
    if status != 304 {
        out.push_str(&format!("Content-Length: {body}\r\n"));
    }
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    out.into_bytes()
}

/// The front: a gate before the node's planner, and the clock the gate is given.
pub struct SignedFront {
    pub node: Rc<Node>,
    pub verifier: TokenVerifier,
    pub clock: Box<dyn Fn() -> Micros>,
    calls: Cell<u64>,
}

impl SignedFront {
    pub fn new(node: Rc<Node>, s: Settings, clock: Box<dyn Fn() -> Micros>) -> Rc<SignedFront> {
        let gate = TokenVerifier::new(s, clock());
        Rc::new(SignedFront { node, verifier: gate, clock, calls: Cell::new(0) })
    }

    /// A new id for a try: 16 hex digits, not again in this tier (the seed is new with each start).
    fn call(&self) -> Box<str> {
        self.calls.set(self.calls.get() + 1);
        let mut x = self.node.config.seed ^ self.calls.get().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", x ^ (x >> 31)).into()
    }
}

/// Accepts clients for as long as the program runs.
pub async fn serve(front: Rc<SignedFront>, listener: Rc<Async<TcpListener>>) {
    let (mut seat, mut retry) = (None, AcceptRetry::default());
    loop {
        calls::readable(&listener).await;
        // A place for it is there before; where there is none it is closed at once.
        if seat.is_none() {
            seat = front.node.admit_client().await;
        }
        let stream = match listener.get_ref().accept().and_then(|accepted| Async::new(accepted.0)) {
            Ok(stream) => stream,
            Err(e) => {
                if !retry.wait_after(AcceptFailure::of(&e)).await {
                    seat = None;
                }
                continue;
            }
        };
        retry.reset();
        let Some(place) = seat.take() else { continue };
        stream.get_ref().set_nodelay(true).ok();
        let f = front.clone();
        front.node.spawn("signed connection", async move {
            let overdue = async {
                place.1.wait_until_due(|| has_unread_bytes(&stream)).await;

                f.node.count(Counter::Overdue);
            };
            connection(&f, &place.1, &stream).or(overdue).await;
            place.close(&stream).await;
        });
    }
}

/// An answer that is being written counts as unwritten, so that an ending program waits for it.
async fn send(node: &Node, stream: &Async<TcpStream>, answer: OutgoingAnswer) -> bool {
    struct InHand<'a>(&'a Node, OutgoingAnswer);
    // Given back however the writing ends, also when the task is dropped in the middle.
    impl Drop for InHand<'_> {
        fn drop(&mut self) {
            self.0.unwritten_answers.set(self.0.unwritten_answers.get() - 1);
            self.0.unwritten_bytes.set(self.0.unwritten_bytes.get() - self.1.memory_bytes());
        }
    }
    let until = now() + STALLED;
    node.unwritten_answers.set(node.unwritten_answers.get() + 1);
    node.unwritten_bytes.set(node.unwritten_bytes.get() + answer.memory_bytes());

    let answer = InHand(node, answer);
    answer.1.write(stream).or(async { (sleep_until(until).await, false).1 }).await
}

/// Reads more; false at the end of the connection. The others have their turn in between.
async fn more(stream: &Async<TcpStream>, buf: &mut Vec<u8>) -> bool {
    futures_lite::future::yield_now().await;
    read_some(stream, buf, 8 * 1024).await > 0
}

async fn connection(f: &Rc<SignedFront>, guest: &ClientConnection, stream: &Async<TcpStream>) {
    let (mut buf, mut refused) = (Vec::new(), 0);
    loop {
        let (head, used) = loop {
            guest.set_receiving(!buf.is_empty());
            match wire::parse_http_head(&buf) {
                Ok(Some(found)) => break found,
                Ok(None) => {
                    if !more(stream, &mut buf).await {
                        return;
                    }
                }
                Err(_) => return malformed(f, stream, 400).await,
            }
        };
        buf.drain(..used);
        let w = match parse_link_request(&head) {
            Ok(w) => w,
            Err(status) => return malformed(f, stream, status).await,
        };
        while buf.len() < w.body_bytes {
            if !more(stream, &mut buf).await {
                return;
            }
        }
        guest.set_receiving(false);
        guest.set_busy(true);
        let body: Vec<u8> = buf.drain(..w.body_bytes).collect();
        let close = w.close_connection;

        let Some(answer) = answer(f, stream, &mut buf, w, body).await else { return };
        refused += u32::from(answer.head.starts_with(b"HTTP/1.1 4"));
        if !send(&f.node, stream, answer).await || close || refused > REFUSED {
            return;
        }
        guest.set_answered();
        guest.set_busy(false);
    }
}

/// What cannot be read is answered once; the connection ends, for what follows cannot be told apart.
async fn malformed(f: &Rc<SignedFront>, stream: &Async<TcpStream>, status: u16) {
    f.node.count(Counter::Malformed);
    let allow = if status == 405 { ("Allow", "GET, POST") } else { ("Connection", "close") };
    let headers = &[("Connection", "close"), allow][..if status == 405 { 2 } else { 1 }];
    send(&f.node, stream, response(status, headers, 0).into()).await;
}

fn denied(node: &Node, why: Denial) -> Vec<u8> {
    let (counter, status) = match why {
        Denial::Missing => (Counter::LinksBad, 401),
        Denial::Bad | Denial::Early => (Counter::LinksBad, 403),
        Denial::Expired => (Counter::LinksExpired, 403),
        Denial::Replayed => (Counter::LinksReplayed, 403),
        Denial::Full => (Counter::LinksRegisterFull, 503),
    };
    node.count(counter);
    match status {
        401 => response(401, &[("WWW-Authenticate", ATTRIBUTE)], 0),
        503 => response(503, &[("Retry-After", "1")], 0),
        _ => response(status, &[], 0),
    }
}

/// The one answer to a request; nothing where the client has left.
async fn answer(
    f: &Rc<SignedFront>,
    stream: &Async<TcpStream>,
    buf: &mut Vec<u8>,
    w: LinkRequest,
    body: Vec<u8>,
) -> Option<OutgoingAnswer> {
    let node = &f.node;
    if node.refuses_new_requests() {
        return Some(response(503, &[("Retry-After", "1")], 0).into());
    }
    let pass = match f.verifier.verify((f.clock)(), &w.path, w.token.as_deref()) {
        Ok(pass) => pass,
        Err(why) => return Some(denied(node, why).into()),
    };
    let names = &node.config.names.classes;
    let class = names.iter().position(|c| *c == w.class);
    let Some((class, c)) = class.and_then(|i| Some((i, node.config.settings.classes.get(i)?))) else {
        return Some(response(404, &[], 0).into());
    };
    if c.pass_through != w.is_write {
        return Some(response(405, &[("Allow", if c.pass_through { "POST" } else { "GET" })], 0).into());
    }
    if let Some(url) = f.verifier.redirect_target(&pass) {
        node.count(Counter::LinksElsewhere);
        let to = format!("{url}{}?{ATTRIBUTE}={}", w.path, w.token.as_deref().unwrap_or(""));
        return Some(response(307, &[("Location", &to)], 0).into());
    }
    if let Err(why) = f.verifier.redeem(&pass, (f.clock)()) {
        return Some(denied(node, why).into());
    }
    // The end of the link on the planner's clock: a deadline is a point on the clock that it travels by.
    let ends = now() + pass.exp.saturating_sub((f.clock)() + f.verifier.s.skew);
    let due = ends.min(now() + c.deadline);
    let ask = ClientRequest {
        call_id: f.call(),
        class: class as u8,
        object: w.object,
        object_name: w.object_name.into(),
        part: w.part,
        group: w.group,
        size_kb: 0.0,
        expires_at: due,
        marked_retry: false,
        idempotency_key: w.idempotency_key.map(Into::into),
        tag: w.held_tag.map(Into::into),
        body,
        policy: RequestPolicy::default(),
    };
    let (slot, signal) = (Rc::new(RefCell::new(None)), Rc::new(Signal::default()));
    let (s, g) = (slot.clone(), signal.clone());
    let reply = Box::new(move |last: FinalAnswer| {
        *s.borrow_mut() = Some(last);
        g.notify();
    });
    let number = node.plan(|p, now| p.accept_request(now, node.held_bytes(), ask, reply));
    let leaving = Leaving { node: node.clone(), number: Cell::new(number) };
    let gone = async {
        // What a client sends ahead is kept for its turn, within a bound.
        while buf.len() < wire::MAX_CLIENT_FRAME_BYTES {
            if !more(stream, buf).await {
                return true;
            }
        }
        futures_lite::future::pending().await
    };
    let left = async { (signal.wait().await, false).1 }.or(gone).await;
    if left && slot.borrow().is_none() {
        return None;
    }
    leaving.number.set(None);
    let last = slot.borrow_mut().take()?;
    // Whatever came: not a byte of it goes out once the link has ended.
    let tick = 2 * node.config.settings.min_event_interval.max(1_000);
    if f.verifier
        .is_expired(&pass, (f.clock)() + if matches!(last, FinalAnswer::Served(_)) { 0 } else { tick })
    {
        return Some(denied(node, Denial::Expired).into());
    }
    let late = now() + tick >= due;
    Some(match last {
        FinalAnswer::Served(p) => served(p),
        FinalAnswer::Refused { .. } | FinalAnswer::Failed if late => response(504, &[], 0).into(),
        FinalAnswer::Refused { retry_after: after } => {
            f.verifier.release(&pass);
            let secs = after.max(PAUSE).div_ceil(1_000_000).to_string();
            response(503, &[("Retry-After", &secs)], 0).into()
        }
        FinalAnswer::Failed => response(502, &[], 0).into(),
    })
}

fn served(p: Payload) -> OutgoingAnswer {
    let tag = format!("\"{}\"", p.tag);
    let headers = [("ETag", tag.as_str()), ("Content-Type", "application/octet-stream")];
    let head = match (p.unchanged, p.tag.is_empty()) {
        (true, _) => return response(304, &headers[..1], 0).into(),
        (false, true) => response(200, &headers[1..], p.body.len()),
        (false, false) => response(200, &headers, p.body.len()),
    };
    OutgoingAnswer { head, body: p.body, ..OutgoingAnswer::default() }
}

/// Tells the planner when a client leaves before its answer, however the task ends.
struct Leaving {
    node: Rc<Node>,
    number: Cell<Option<u64>>,
}

impl Drop for Leaving {
    fn drop(&mut self) {
        if let Some(id) = self.number.take() {
            self.node.plan(|p, now| p.client_left(now, id));
        }
    }
}
