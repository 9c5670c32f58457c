//! The listener for signed links over HTTP/1.1. URIs are signed with a JWT (RFC 7515, RFC 7519) as in RFC
//! 9246.
//!
//! A request is handled only after its token has been verified and redeemed here; it then takes the same way
//! through planner, stages and rules as a request of the platform's clients. Tokens and keys are never
//! logged.
//!
//! The verifier reads the clock it is given. `skew` is how far the clocks of signers and proxies may differ,
//! and every rule errs towards refusal by it:
//! - A link has expired once `now + skew >= exp`, so that a slow clock never prolongs it.
//! - `iat` has to lie between the start of this proxy plus `skew` (the register of redeemed tokens is lost in
//!   a restart) and `now + skew`.
//! - A `jti` is redeemed once, at a single front that depends on it, and stays in the register until `exp`.
//!   When the register is full, tokens are refused. If a request is refused without being served, its `jti`
//!   is released, because nothing ran for it.
use crate::admission::ReceiveBuffer;
use crate::calls::{self, AcceptFailure, AcceptRetry};
use crate::client_connection::{ClientConnection, CloseReason};
use crate::link_request::TOKEN_PARAMETER;
pub use crate::link_request::{parse_link_request, LinkRequest};
use crate::net::{now, peer_has_closed, read_some, sleep_until, OutgoingAnswer, Signal};
use crate::node::{Node, UnwrittenAnswer};
pub use crate::operators::SignedLinks as Settings;
use crate::wire;
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

/// Limit on the length of a token.
const MAX_TOKEN_BYTES: usize = 4096;
/// How many refused requests a connection may send before it is closed: each costs a signature check.
const MAX_REFUSED_REQUESTS: u32 = 32;
/// How often a client whose pipelined requests fill the buffer is checked for whether it has closed.
const CLOSE_CHECK_INTERVAL: Micros = 20_000;
/// The least delay that an overloaded proxy asks clients to wait.
const MIN_RETRY_AFTER: Micros = 1_000_000;

/// Why a token was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has no token.
    Missing,
    /// The signature, a claim or the URI is wrong.
    Bad,
    /// The link has expired.
    Expired,
    /// The link is not valid yet (`nbf`).
    Early,
    /// The token was redeemed before.
    Replayed,
    /// The register of redeemed tokens is full.
    Full,
}

/// A token whose signature, times and URI were verified.
#[derive(Clone, Debug, PartialEq)]
pub struct VerifiedToken {
    /// The id of the token.
    pub jti: String,
    /// When the token expires, on the signer's clock.
    pub exp: Micros,
}

/// Verifies tokens and keeps the register of redeemed ones.
pub struct TokenVerifier {
    settings: Settings,
    started: Micros,
    /// The latest time observed: setting the clock back must not revalidate a token that has left the
    /// register.
    latest: Cell<Micros>,
    redeemed_tokens: RefCell<BTreeSet<(String, Micros)>>,
    expiries: RefCell<BTreeMap<(Micros, String), ()>>,
}

/// Decodes unpadded base64url.
fn decode_base64(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text).ok()
}

/// Parses a JSON object.
fn parse_object(bytes: &[u8]) -> Option<Value> {
    serde_json::from_slice::<Value>(bytes).ok().filter(Value::is_object)
}

/// Returns a claim of type NumericDate in microseconds.
fn numeric_date(v: &Value, name: &str) -> Result<Option<Micros>, Denial> {
    match v.get(name) {
        None => Ok(None),
        Some(d) => match d.as_f64() {
            Some(s) if (0.0..=1e11).contains(&s) => Ok(Some((s * 1e6) as Micros)),
            _ => Err(Denial::Bad),
        },
    }
}

impl TokenVerifier {
    /// Creates a verifier with an empty register. Tokens issued before `started` are refused.
    pub fn new(settings: Settings, started: Micros) -> TokenVerifier {
        TokenVerifier {
            settings,
            started,
            latest: Cell::new(started),
            redeemed_tokens: RefCell::default(),
            expiries: RefCell::default(),
        }
    }

    /// Returns the latest time observed, `now` included, and remembers it.
    fn latest_time(&self, now: Micros) -> Micros {
        self.latest.set(self.latest.get().max(now));
        self.latest.get()
    }

    /// Returns whether a token has expired.
    pub fn is_expired(&self, token: &VerifiedToken, now: Micros) -> bool {
        self.latest_time(now) + self.settings.skew >= token.exp
    }

    /// Verifies a token for the path it was sent with, without redeeming it.
    ///
    /// # Errors
    /// Returns the reason if the token doesn't allow this path now.
    pub fn verify(&self, now: Micros, path: &str, token: Option<&str>) -> Result<VerifiedToken, Denial> {
        let now = self.latest_time(now);
        let token = token.filter(|t| !t.is_empty()).ok_or(Denial::Missing)?;
        let claims = self.verify_signature(token).ok_or(Denial::Bad)?;
        let known_claims = ["iss", "sub", "aud", "exp", "nbf", "iat", "jti", "cdniv", "cdnicrit", "cdniuc"];
        let critical_known = match claims.get("cdnicrit") {
            None => true,
            Some(Value::String(list)) => list.split(',').all(|c| known_claims.contains(&c.trim())),
            Some(_) => false,
        };
        // A link with a claim that restricts its use is refused if this listener can't enforce the
        // restriction.
        let has_restrictions =
            ["cdniip", "cdniets", "cdnistt", "cdnistd"].iter().any(|c| claims.get(c).is_some());
        let version_supported = claims.get("cdniv").is_none_or(|v| v.as_u64() == Some(1));
        let audience_matches = match (claims.get("aud"), &self.settings.audience) {
            (None, _) => true,
            (Some(Value::String(audience)), Some(expected)) => audience == expected,
            (Some(Value::Array(all)), Some(expected)) => {
                all.iter().any(|audience| audience.as_str() == Some(expected))
            }
            _ => false,
        };
        if !critical_known || has_restrictions || !version_supported || !audience_matches {
            return Err(Denial::Bad);
        }
        let (exp, iat) = match (numeric_date(&claims, "exp")?, numeric_date(&claims, "iat")?) {
            (Some(exp), Some(iat)) => (exp, iat),
            _ => return Err(Denial::Bad),
        };
        let jti = claims.get("jti").and_then(Value::as_str).filter(|j| !j.is_empty() && j.len() <= 128);
        let jti = jti.ok_or(Denial::Bad)?.to_owned();
        let uri_container = claims.get("cdniuc").and_then(Value::as_str).ok_or(Denial::Bad)?;
        let uri_digest =
            uri_container.strip_prefix("hash:sha-256;").and_then(decode_base64).ok_or(Denial::Bad)?;
        let mut uri_hash = Sha256::new();
        uri_hash.update(self.settings.base.as_bytes());
        uri_hash.update(path.as_bytes());
        if uri_digest != uri_hash.finalize()[..] {
            return Err(Denial::Bad);
        }
        if now + self.settings.skew >= exp {
            return Err(Denial::Expired);
        }
        if iat < self.started + self.settings.skew || iat > now + self.settings.skew {
            return Err(Denial::Bad);
        }
        if numeric_date(&claims, "nbf")?.is_some_and(|nbf| now < nbf) {
            return Err(Denial::Early);
        }
        Ok(VerifiedToken { jti, exp })
    }

    /// Verifies the signature and returns the claims. The key determines the algorithm, never the token.
    fn verify_signature(&self, token: &str) -> Option<Value> {
        let mut parts = token.split('.');
        let (head, claims, signature) = (parts.next()?, parts.next()?, parts.next()?);
        if token.len() > MAX_TOKEN_BYTES || parts.next().is_some() {
            return None;
        }
        let header = parse_object(&decode_base64(head)?)?;
        let key = self.settings.keys.get(header.get("kid")?.as_str()?)?;
        if header.get("alg")?.as_str()? != "HS256" || header.get("crit").is_some() {
            return None;
        }
        let mut expected = Hmac::<Sha256>::new_from_slice(key).ok()?;
        expected.update(&token.as_bytes()[..head.len() + 1 + claims.len()]);
        // This compares in constant time.
        expected.verify_slice(&decode_base64(signature)?).ok()?;
        parse_object(&decode_base64(claims)?)
    }

    /// Returns the name and URL of the front at which a `jti` is redeemed: the one with the highest
    /// rendezvous hash among the fronts in the settings. All proxies of the tier determine the same one
    /// without communication.
    pub fn redeeming_front(&self, jti: &str) -> Option<&(String, String)> {
        let score = |name: &str| {
            let mut hash = Sha256::new();
            hash.update(name.as_bytes());
            hash.update([0]);
            hash.update(jti.as_bytes());
            <[u8; 32]>::from(hash.finalize())
        };
        self.settings.fronts.iter().max_by_key(|(name, _)| score(name))
    }

    /// Returns the URL of the front at which a token has to be redeemed, if that is not this one.
    pub fn redirect_target(&self, token: &VerifiedToken) -> Option<&str> {
        self.redeeming_front(&token.jti)
            .filter(|(name, _)| *name != self.settings.name)
            .map(|(_, url)| url.as_str())
    }

    /// Redeems a token and records it in the register until it expires.
    ///
    /// # Errors
    /// Returns the reason if the token was redeemed before or the register is full.
    pub fn redeem(&self, token: &VerifiedToken, now: Micros) -> Result<(), Denial> {
        let now = self.latest_time(now);
        let (mut redeemed_tokens, mut expiries) =
            (self.redeemed_tokens.borrow_mut(), self.expiries.borrow_mut());
        while expiries.first_key_value().is_some_and(|((expires_at, _), ())| *expires_at <= now) {
            if let Some(((expires_at, jti), ())) = expiries.pop_first() {
                redeemed_tokens.remove(&(jti, expires_at));
            }
        }
        // A token with the same jti and another expiry counts as the same token.
        let first_with_jti = (token.jti.clone(), 0);
        if redeemed_tokens.range(first_with_jti..).next().is_some_and(|(jti, _)| *jti == token.jti) {
            return Err(Denial::Replayed);
        }
        if redeemed_tokens.len() >= self.settings.register {
            return Err(Denial::Full);
        }
        redeemed_tokens.insert((token.jti.clone(), token.exp));
        expiries.insert((token.exp, token.jti.clone()), ());
        Ok(())
    }

    /// Removes a `jti` from the register after its request was refused: nothing was served for it and nothing
    /// ran.
    pub fn release(&self, token: &VerifiedToken) {
        self.redeemed_tokens.borrow_mut().remove(&(token.jti.clone(), token.exp));
        self.expiries.borrow_mut().remove(&(token.exp, token.jti.clone()));
    }
}

/// Encodes the head of an answer with a body of `body_bytes`. Shared caches must not store it, as each link
/// is valid only once.
pub fn response(status: u16, headers: &[(&str, &str)], body_bytes: usize) -> Vec<u8> {
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
        out.push_str(&format!("Content-Length: {body_bytes}\r\n"));
    }
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    out.into_bytes()
}

/// The listener's state: the token verifier in front of the node's planner, and the verifier's clock.
pub struct SignedFront {
    pub node: Rc<Node>,
    pub verifier: TokenVerifier,
    pub clock: Box<dyn Fn() -> Micros>,
    request_count: Cell<u64>,
}

impl SignedFront {
    /// Creates the state; tokens issued before now are refused.
    pub fn new(node: Rc<Node>, settings: Settings, clock: Box<dyn Fn() -> Micros>) -> Rc<SignedFront> {
        let verifier = TokenVerifier::new(settings, clock());
        Rc::new(SignedFront { node, verifier, clock, request_count: Cell::new(0) })
    }

    /// Returns a new call id of 16 hex digits. It is not reused in the tier, as every start has a new seed.
    fn next_call_id(&self) -> Box<str> {
        self.request_count.set(self.request_count.get() + 1);
        let mut x = self.node.config.seed ^ self.request_count.get().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", x ^ (x >> 31)).into()
    }
}

/// Accepts clients for as long as the program runs.
pub async fn serve(front: Rc<SignedFront>, listener: Rc<Async<TcpListener>>) {
    let (mut reserved_slot, mut retry) = (None, AcceptRetry::default());
    loop {
        calls::readable(&listener).await;
        // The slot is reserved before the connection is accepted; if there is none, the connection is closed
        // at once.
        if reserved_slot.is_none() {
            reserved_slot = front.node.admit_client().await;
        }
        let stream = match listener.get_ref().accept().and_then(|accepted| Async::new(accepted.0)) {
            Ok(stream) => stream,
            Err(e) => {
                if !retry.wait_after(AcceptFailure::of(&e)).await {
                    reserved_slot = None;
                }
                continue;
            }
        };
        retry.reset();
        let Some(connection_slot) = reserved_slot.take() else { continue };
        stream.get_ref().set_nodelay(true).ok();
        let connection_front = front.clone();
        front.node.spawn("signed connection", async move {
            let overdue = async {
                let reason = connection_slot.1.wait_until_due(&stream).await;
                connection_front.node.count(match reason {
                    CloseReason::Due => Counter::Overdue,
                    CloseReason::Stalled => Counter::ClosedStalled,
                });
            };
            run_connection(&connection_front, &connection_slot.1, &stream).or(overdue).await;
            connection_slot.close(&stream).await;
        });
    }
}

/// Yields to other tasks, then reads more. Returns false at the end of the connection.
async fn read_more(stream: &Async<TcpStream>, buf: &mut ReceiveBuffer) -> bool {
    futures_lite::future::yield_now().await;
    let received = read_some(stream, buf, 8 * 1024).await;
    buf.update_total();
    received > 0
}

/// Serves a client's connection until it is to be closed.
async fn run_connection(front: &Rc<SignedFront>, client: &ClientConnection, stream: &Async<TcpStream>) {
    let (mut buf, mut refused) = (ReceiveBuffer::new(&front.node), 0);
    loop {
        let (head, length) = loop {
            client.set_receiving(!buf.is_empty());
            match wire::parse_http_head(&buf) {
                Ok(Some(found)) => break found,
                Ok(None) => {
                    if !read_more(stream, &mut buf).await {
                        return;
                    }
                }
                Err(_) => return answer_malformed(front, client, stream, 400).await,
            }
        };
        buf.drain(..length);
        let request = match parse_link_request(&head) {
            Ok(request) => request,
            Err(status) => return answer_malformed(front, client, stream, status).await,
        };
        while buf.len() < request.body_bytes {
            if !read_more(stream, &mut buf).await {
                return;
            }
        }
        // A pipelined request may have been read long before its turn.
        if peer_has_closed(stream) {
            return;
        }
        client.set_receiving(false);
        client.set_busy(true);
        let body: Vec<u8> = buf.drain(..request.body_bytes).collect();
        let close_after = request.close_connection;
        let Some(answer) = answer_request(front, stream, &mut buf, request, body).await else { return };
        refused += u32::from(answer.head.starts_with(b"HTTP/1.1 4"));
        if !UnwrittenAnswer::new(&front.node, answer).write(client, stream).await
            || close_after
            || refused > MAX_REFUSED_REQUESTS
        {
            return;
        }
        client.set_answered();
        client.set_busy(false);
    }
}

/// Answers a malformed request. The connection is then closed, as the start of the next request is unknown.
async fn answer_malformed(
    front: &Rc<SignedFront>,
    client: &ClientConnection,
    stream: &Async<TcpStream>,
    status: u16,
) {
    front.node.count(Counter::Malformed);
    let allow = if status == 405 { ("Allow", "GET, POST") } else { ("Connection", "close") };
    let headers = &[("Connection", "close"), allow][..if status == 405 { 2 } else { 1 }];
    let answer = response(status, headers, 0).into();
    UnwrittenAnswer::new(&front.node, answer).write(client, stream).await;
}

/// Counts a refused token and returns the answer to it.
fn denial_response(node: &Node, why: Denial) -> Vec<u8> {
    let (counter, status) = match why {
        Denial::Missing => (Counter::LinksBad, 401),
        Denial::Bad | Denial::Early => (Counter::LinksBad, 403),
        Denial::Expired => (Counter::LinksExpired, 403),
        Denial::Replayed => (Counter::LinksReplayed, 403),
        Denial::Full => (Counter::LinksRegisterFull, 503),
    };
    node.count(counter);
    match status {
        401 => response(401, &[("WWW-Authenticate", TOKEN_PARAMETER)], 0),
        503 => response(503, &[("Retry-After", "1")], 0),
        _ => response(status, &[], 0),
    }
}

/// Handles a request and returns its answer, or nothing if the client has left.
async fn answer_request(
    front: &Rc<SignedFront>,
    stream: &Async<TcpStream>,
    buf: &mut ReceiveBuffer,
    request: LinkRequest,
    body: Vec<u8>,
) -> Option<OutgoingAnswer> {
    let node = &front.node;
    if node.refuses_new_requests() {
        return Some(response(503, &[("Retry-After", "1")], 0).into());
    }
    let token = match front.verifier.verify((front.clock)(), &request.path, request.token.as_deref()) {
        Ok(token) => token,
        Err(why) => return Some(denial_response(node, why).into()),
    };
    let names = &node.config.names.classes;
    let class = names.iter().position(|name| *name == request.class);
    let Some((class, policy)) = class.and_then(|i| Some((i, node.config.settings.classes.get(i)?))) else {
        return Some(response(404, &[], 0).into());
    };
    if policy.pass_through != request.is_write {
        return Some(response(405, &[("Allow", if policy.pass_through { "POST" } else { "GET" })], 0).into());
    }
    if let Some(url) = front.verifier.redirect_target(&token) {
        node.count(Counter::LinksElsewhere);
        let location =
            format!("{url}{}?{TOKEN_PARAMETER}={}", request.path, request.token.as_deref().unwrap_or(""));
        return Some(response(307, &[("Location", &location)], 0).into());
    }
    if let Err(why) = front.verifier.redeem(&token, (front.clock)()) {
        return Some(denial_response(node, why).into());
    }
    // The link's expiry is converted to the planner's clock, on which deadlines are given.
    let link_ends_at = now() + token.exp.saturating_sub((front.clock)() + front.verifier.settings.skew);
    let expires_at = link_ends_at.min(now() + policy.deadline);
    let client_request = ClientRequest {
        call_id: front.next_call_id(),
        class: class as u8,
        object: request.object,
        object_name: request.object_name.into(),
        part: request.part,
        group: request.group,
        size_kb: 0.0,
        expires_at,
        marked_retry: false,
        idempotency_key: request.idempotency_key.map(Into::into),
        tag: request.held_tag.map(Into::into),
        body,
        policy: RequestPolicy::default(),
    };
    let (slot, signal) = (Rc::new(RefCell::new(None)), Rc::new(Signal::default()));
    let (reply_slot, reply_signal) = (slot.clone(), signal.clone());
    let reply = Box::new(move |final_answer: FinalAnswer| {
        *reply_slot.borrow_mut() = Some(final_answer);
        reply_signal.notify();
    });
    let request_id = node.plan(|p, now| p.accept_request(now, node.held_bytes(), client_request, reply));
    let cancel_guard = CancelOnDrop { node: node.clone(), request_id: Cell::new(request_id) };
    let client_leaves = async {
        // Pipelined requests are buffered for later, up to a limit.
        while buf.len() < wire::MAX_CLIENT_FRAME_BYTES {
            if !read_more(stream, buf).await {
                return true;
            }
        }
        while !peer_has_closed(stream) {
            sleep_until(now() + CLOSE_CHECK_INTERVAL).await;
        }
        true
    };
    let client_left = async { (signal.wait().await, false).1 }.or(client_leaves).await;
    if client_left && slot.borrow().is_none() {
        return None;
    }
    cancel_guard.request_id.set(None);
    let final_answer = slot.borrow_mut().take()?;
    // Whatever the result, nothing of it is sent once the link has expired.
    let tick = 2 * node.config.settings.min_event_interval.max(1_000);
    if front.verifier.is_expired(
        &token,
        (front.clock)() + if matches!(final_answer, FinalAnswer::Served(_)) { 0 } else { tick },
    ) {
        return Some(denial_response(node, Denial::Expired).into());
    }
    let past_deadline = now() + tick >= expires_at;
    Some(match final_answer {
        FinalAnswer::Served(p) => served_answer(p),
        FinalAnswer::Refused { .. } | FinalAnswer::Failed if past_deadline => response(504, &[], 0).into(),
        FinalAnswer::Refused { retry_after: delay } => {
            front.verifier.release(&token);
            let seconds = delay.max(MIN_RETRY_AFTER).div_ceil(1_000_000).to_string();
            response(503, &[("Retry-After", &seconds)], 0).into()
        }
        FinalAnswer::Failed => response(502, &[], 0).into(),
    })
}

/// Encodes the answer with an object, or that the client's copy is unchanged.
fn served_answer(p: Payload) -> OutgoingAnswer {
    let tag = format!("\"{}\"", p.tag);
    let headers = [("ETag", tag.as_str()), ("Content-Type", "application/octet-stream")];
    let head = match (p.unchanged, p.tag.is_empty()) {
        (true, _) => return response(304, &headers[..1], 0).into(),
        (false, true) => response(200, &headers[1..], p.body.len()),
        (false, false) => response(200, &headers, p.body.len()),
    };
    OutgoingAnswer { head, body: p.body, ..OutgoingAnswer::default() }
}

/// Tells the planner that the client has left if the task ends before the answer, however it ends.
struct CancelOnDrop {
    node: Rc<Node>,
    request_id: Cell<Option<u64>>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(id) = self.request_id.take() {
            self.node.plan(|p, now| p.client_left(now, id));
        }
    }
}
