//! The front for signed links and the SNMP agent on loopback, with a stand-in for the signer, the cache and
//! the manager.
mod common;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as B64;
use base64::Engine;
use common::*;
use hmac::{Hmac, KeyInit, Mac};
use rstest::rstest;
use sha2::{Digest, Sha256};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use threadward::clock::unix_now;
use threadward::signed::{self, Settings, SignedFront};
use threadward::snmp::{self, Packet, Value};
use threadward_core::{Counter, Micros};

/// Returns the Unix time in microseconds; tokens carry times on this clock.
fn now() -> Micros {
    unix_now().micros()
}

const KEY: &[u8] = b"0123456789abcdef0123456789abcdef";
const BASE: &str = "https://media.benga.example";
const PATH: &str = "/media/17/7f3a9c21e0b4d655/3";
/// The clock skew that the front allows for, in seconds.
const SKEW: f64 = 2.0;

/// Signs a token as an issuer does.
fn sign_token(header: &str, claims: &str, key: &[u8]) -> String {
    let text = format!("{}.{}", B64.encode(header), B64.encode(claims));
    let mut mac = Hmac::<Sha256>::new_from_slice(key).unwrap();
    mac.update(text.as_bytes());
    format!("{text}.{}", B64.encode(mac.finalize().into_bytes()))
}

/// Returns the container claim that binds a token to one path.
fn uri_container(path: &str) -> String {
    format!("hash:sha-256;{}", B64.encode(Sha256::digest(format!("{BASE}{path}"))))
}

const JWT_HEADER: &str = r#"{"alg":"HS256","kid":"k1"}"#;

/// Returns the claims of a token; times are Unix times in seconds.
fn claims(path: &str, iat: f64, exp: f64, jti: &str) -> String {
    format!(r#"{{"exp":{exp},"iat":{iat},"jti":"{jti}","cdniuc":"{}"}}"#, uri_container(path))
}

/// Returns a good link that is issued at a time and valid for a minute.
fn link(path: &str, at: Micros, jti: &str) -> String {
    let at = at as f64 / 1e6;
    format!("{path}?URISigningPackage={}", sign_token(JWT_HEADER, &claims(path, at, at + 60.0, jti), KEY))
}

fn get(target: &str) -> Vec<u8> {
    format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n").into_bytes()
}

fn settings(name: &str, listen: SocketAddr, fronts: &[(&str, SocketAddr)], register: usize) -> Settings {
    Settings {
        name: name.into(),
        listen,
        base: BASE.into(),
        skew: (SKEW * 1e6) as Micros,
        register,
        keys: [("k1".to_owned(), KEY.to_vec())].into(),
        fronts: fronts.iter().map(|(n, a)| ((*n).to_owned(), format!("http://{a}"))).collect(),
        audience: None,
    }
}

/// Starts a front for signed links on a testbed. Its clock is the system's shifted by `drift`, and the front
/// takes itself to have started a minute ago.
fn start_front(testbed: &Testbed, drift: Rc<Cell<i64>>, register: usize) -> SocketAddr {
    let (l, at) = listen();
    let s = settings("n0", at, &[("n0", at)], register);
    start_front_with(testbed, drift, s, l);
    at
}

/// As `start_front`, with settings and a listener of its own.
fn start_front_with(
    testbed: &Testbed,
    drift: Rc<Cell<i64>>,
    s: Settings,
    l: Rc<async_io::Async<std::net::TcpListener>>,
) {
    let (d, off) = (drift.clone(), drift.get());
    drift.set(off - 60_000_000);
    let f = SignedFront::new(testbed.node.clone(), s, Box::new(move || now().saturating_add_signed(d.get())));
    drift.set(off);
    testbed.node.spawn("signed", signed::serve(f, l));
}

fn cache_hit() -> CacheBehavior {
    CacheBehavior::Answer("served", "version=4be0c1927d55a6f3,stamp=1,detail=HIT", b"whole".to_vec())
}

#[test]
fn one_request_is_served_whole() {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        testbed.set_behavior(cache_hit());
        let at = start_front(&testbed, Rc::default(), 10);
        let mut c = Client::connect(at).await;
        c.send(&get(&link(PATH, now(), "a"))).await;
        let (status, head, body) = c.http().await.unwrap();
        assert_eq!((status, body.as_slice()), (200, &b"whole"[..]));
        assert!(head.contains("ETag: \"4be0c1927d55a6f3\"\r\n") && head.contains("no-store"), "{head}");
        let sent = testbed.received_requests().remove(0);
        assert!(sent[2].starts_with("queue=media,path=7f3a9c21e0b4d655,blk=3,"), "{sent:?}");
        // On the same connection, for a copy that the client has already.
        testbed.set_behavior(CacheBehavior::Answer(
            "still_good",
            "version=4be0c1927d55a6f3,stamp=1,detail=HIT",
            vec![],
        ));
        let held = "GET {} HTTP/1.1\r\nHost: x\r\nIf-None-Match: \"4be0c1927d55a6f3\"\r\n\r\n";
        c.send(held.replace("{}", &link(PATH, now(), "b")).as_bytes()).await;
        assert_eq!(c.http().await.unwrap().0, 304);
        assert!(testbed.received_requests()[1][2].contains("holds=4be0c1927d55a6f3"));
    });
}

/// Each bad token is refused exactly once, and no request is sent for it.
#[rstest]
#[case::missing("", 401)]
#[case::empty("?URISigningPackage=", 401)]
#[case::no_jwt("?URISigningPackage=abc", 403)]
#[case::other_query("?x=1", 400)]
fn a_missing_token_is_refused(#[case] query: &str, #[case] status: u16) {
    assert_refused(&format!("{PATH}{query}"), status);
}

#[rstest]
#[case::expired(JWT_HEADER, claims(PATH, in_seconds(-30.0), in_seconds(-1.0), "j"), KEY, 403)]
#[case::within_skew(JWT_HEADER, claims(PATH, in_seconds(0.0), in_seconds(SKEW - 0.5), "j"), KEY, 403)]
#[case::before_the_start(JWT_HEADER, claims(PATH, in_seconds(-61.0), in_seconds(60.0), "j"), KEY, 403)]
#[case::issued_ahead(JWT_HEADER, claims(PATH, in_seconds(30.0), in_seconds(60.0), "j"), KEY, 403)]
#[case::not_yet(JWT_HEADER, claims(PATH, in_seconds(0.0), in_seconds(60.0), "j").replace('{', &format!("{{\"nbf\":{},", in_seconds(30.0))), KEY, 403)]
#[case::another_key(
    JWT_HEADER,
    claims(PATH, in_seconds(0.0), in_seconds(60.0), "j"),
    b"another key of thirty-two bytes!",
    403
)]
#[case::another_path(
    JWT_HEADER,
    claims("/media/17/7f3a9c21e0b4d655/4", in_seconds(0.0), in_seconds(60.0), "j"),
    KEY,
    403
)]
#[case::regex(JWT_HEADER, claims(PATH, in_seconds(0.0), in_seconds(60.0), "j").replace("hash:", "regex:"), KEY, 403)]
#[case::alg_none(
    r#"{"alg":"none","kid":"k1"}"#,
    claims(PATH, in_seconds(0.0), in_seconds(60.0), "j"),
    KEY,
    403
)]
#[case::alg_other(
    r#"{"alg":"HS512","kid":"k1"}"#,
    claims(PATH, in_seconds(0.0), in_seconds(60.0), "j"),
    KEY,
    403
)]
#[case::unknown_kid(
    r#"{"alg":"HS256","kid":"k2"}"#,
    claims(PATH, in_seconds(0.0), in_seconds(60.0), "j"),
    KEY,
    403
)]
#[case::no_jti(JWT_HEADER, claims(PATH, in_seconds(0.0), in_seconds(60.0), ""), KEY, 403)]
#[case::no_exp(JWT_HEADER, claims(PATH, in_seconds(0.0), in_seconds(60.0), "j").replace("exp", "exq"), KEY, 403)]
#[case::narrowed(JWT_HEADER, claims(PATH, in_seconds(0.0), in_seconds(60.0), "j").replace('{', r#"{"cdniip":"x","#), KEY, 403)]
#[case::unknown_critical(JWT_HEADER, claims(PATH, in_seconds(0.0), in_seconds(60.0), "j").replace('{', r#"{"cdnicrit":"x","#), KEY, 403)]
fn a_bad_token_is_refused(
    #[case] head: &str,
    #[case] claims: String,
    #[case] key: &[u8],
    #[case] status: u16,
) {
    assert_refused(&format!("{PATH}?URISigningPackage={}", sign_token(head, &claims, key)), status);
}

/// Returns the Unix time in seconds that is so many seconds from now.
fn in_seconds(from_now: f64) -> f64 {
    now() as f64 / 1e6 + from_now
}

/// Sends a request that has to be refused with a status, and a good one behind it.
fn assert_refused(target: &str, status: u16) {
    let target = target.to_owned();
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        testbed.set_behavior(cache_hit());
        let at = start_front(&testbed, Rc::default(), 10);
        let mut c = Client::connect(at).await;
        c.send(&[get(&target), get(&link(PATH, now(), "good"))].concat()).await;
        let (got, _, body) = c.http().await.unwrap();
        assert_eq!((got, body.len()), (status, 0));
        if status == 400 {
            assert!(c.http().await.is_none());
        } else {
            // There is one answer for it: the next one on the connection is the good link's.
            assert_eq!(c.http().await.unwrap().0, 200);
            assert_eq!(testbed.received_requests().len(), 1);
        }
    });
}

/// A token that is changed anywhere is refused, and does not redeem the unchanged one, which still works
/// afterwards.
#[test]
fn tampered_tokens_are_refused_and_redeem_nothing() {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        testbed.set_behavior(cache_hit());
        let at = start_front(&testbed, Rc::default(), 10);
        let whole = link(PATH, now(), "a");
        let token_start = whole.find('=').unwrap() + 1;
        for i in (token_start..whole.len()).step_by(7) {
            let mut bytes = whole.clone().into_bytes();
            bytes[i] = if bytes[i] == b'A' { b'B' } else { b'A' };
            let mut c = Client::connect(at).await;
            c.send(&get(&String::from_utf8(bytes).unwrap())).await;
            assert_eq!(c.http().await.unwrap().0, 403, "at {i}");
        }
        assert!(testbed.received_requests().is_empty());
        let mut c = Client::connect(at).await;
        c.send(&get(&whole)).await;
        assert_eq!(c.http().await.unwrap().0, 200);
    });
}

#[test]
fn a_token_is_redeemed_once_and_a_full_register_fails_closed() {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        testbed.set_behavior(cache_hit());
        let at = start_front(&testbed, Rc::default(), 2);
        let mut c = Client::connect(at).await;
        let (a, b, d) = (link(PATH, now(), "a"), link(PATH, now(), "b"), link(PATH, now(), "d"));
        for (target, status) in [(&a, 200), (&a, 403), (&b, 200), (&a, 403), (&d, 503), (&b, 403)] {
            c.send(&get(target)).await;
            assert_eq!(c.http().await.unwrap().0, status);
        }
        assert_eq!(testbed.received_requests().len(), 2);
        let count = |c| testbed.node.plan(|p, _| p.counters.get(c));
        assert_eq!((count(Counter::LinksReplayed), count(Counter::LinksRegisterFull)), (3, 1));
    });
}

/// The same token at two proxies: exactly one of them redeems it, and the other redirects the client there.
#[test]
fn a_token_is_redeemed_at_one_of_two_proxies() {
    run(|ex| async move {
        let (testbed, other_testbed) = (start_testbed(ex, 1).await, start_testbed(ex, 1).await);
        testbed.set_behavior(cache_hit());
        other_testbed.set_behavior(cache_hit());
        let ((l0, a0), (l1, a1)) = (listen(), listen());
        let tier = [("n0", a0), ("n1", a1)];
        start_front_with(&testbed, Rc::default(), settings("n0", a0, &tier, 30), l0);
        start_front_with(&other_testbed, Rc::default(), settings("n1", a1, &tier, 30), l1);
        let mut redeemed_at = [0, 0];
        for i in 0..20 {
            let target = link(PATH, now(), &format!("j{i}"));
            let (mut c0, mut c1) = (Client::connect(a0).await, Client::connect(a1).await);
            c0.send(&get(&target)).await;
            c1.send(&get(&target)).await;
            let (r0, r1) = (c0.http().await.unwrap(), c1.http().await.unwrap());
            let (redeemer, other) = if r0.0 == 200 { (0, &r1) } else { (1, &r0) };
            redeemed_at[redeemer] += 1;
            assert_eq!((r0.0 + r1.0, other.0), (507, 307));
            let to = format!("Location: http://{}{target}\r\n", [a0, a1][redeemer]);
            assert!(other.1.contains(&to), "{}", other.1);
            // A client that follows the redirect finds it redeemed already.
            let mut again = Client::connect([a0, a1][redeemer]).await;
            again.send(&get(&target)).await;
            assert_eq!(again.http().await.unwrap().0, 403);
        }
        assert_eq!(testbed.received_requests().len() + other_testbed.received_requests().len(), 20);
        assert!(redeemed_at.iter().all(|n| *n > 0), "{redeemed_at:?}");
    });
}

/// The link expires while a cache is working on it: the client gets one refusal without a body, and the
/// attempt is cancelled.
#[rstest]
#[case::silent(CacheBehavior::Silent)]
#[case::answers_late(cache_hit())]
fn a_link_that_expires_during_a_fill_is_refused(#[case] cache_behavior: CacheBehavior) {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        let drift = Rc::new(Cell::new(0));
        let at = start_front(&testbed, drift.clone(), 10);
        let cache_answers = !matches!(cache_behavior, CacheBehavior::Silent);
        let left = if cache_answers { 60.0 } else { 0.3 };
        let (iat, exp) = (in_seconds(0.0), in_seconds(SKEW + left));
        let token = sign_token(JWT_HEADER, &claims(PATH, iat, exp, "a"), KEY);
        let mut c = Client::connect(at).await;
        c.send(&get(&format!("{PATH}?URISigningPackage={token}"))).await;
        let received = testbed.caches[0].commands.clone();
        wait_until("the attempt", || !received.borrow().is_empty()).await;
        if cache_answers {
            // The clock moves past the link's end before the cache answers.
            drift.set(drift.get() + 61_000_000);
            let call = received.borrow()[0][1].clone();
            testbed.caches[0].reply(&call, b"too late").await;
        }
        let (status, _, body) = c.http().await.unwrap();
        assert_eq!((status, body.len()), (403, 0));
        assert_eq!(testbed.node.plan(|p, _| p.counters.get(Counter::LinksExpired)), 1);
        assert!(cache_answers || now() as f64 / 1e6 <= exp - SKEW + 0.1);
        wait_until("the cancellation", || {
            cache_answers || received.borrow().iter().any(|p| p[0] == "cancel")
        })
        .await;
        // The client gets no second answer: the next is that of its next request.
        c.send(&get(PATH)).await;
        assert_eq!(c.http().await.unwrap().0, 401);
    });
}

/// Clocks that differ by less than `skew`, either way, never let a link work at or after its `exp`.
#[rstest]
#[case::slow(-1.9, 0.0, 403)]
#[case::slow_before_the_end(-1.9, 3.95, 200)]
#[case::fast(1.9, 0.0, 403)]
#[case::fast_before_the_end(1.9, 5.0, 200)]
fn clocks_that_differ_never_extend_a_link(#[case] drift: f64, #[case] left: f64, #[case] status: u16) {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        testbed.set_behavior(cache_hit());
        let at = start_front(&testbed, Rc::new(Cell::new((drift * 1e6) as i64)), 10);
        let token = sign_token(JWT_HEADER, &claims(PATH, in_seconds(-10.0), in_seconds(left), "a"), KEY);
        let mut c = Client::connect(at).await;
        c.send(&get(&format!("{PATH}?URISigningPackage={token}"))).await;
        assert_eq!(c.http().await.unwrap().0, status);
        assert_eq!(testbed.received_requests().len(), usize::from(status == 200));
    });
}

#[test]
fn a_purge_holds_for_links_too() {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        testbed.set_behavior(cache_hit());
        let at = start_front(&testbed, Rc::default(), 10);
        let issued = now() / 1000;
        testbed.publish_event(&format!(r#""recall":{{"item":"{OBJECT}","issued":{issued}}}"#)).await;
        let mut c = Client::connect(at).await;
        c.send(&get(&link(PATH, now(), "a"))).await;
        assert_eq!(c.http().await.unwrap().0, 200);
        let newer = threadward::wire::find_field(&testbed.received_requests()[0][2], "newer")
            .map(|n| n.parse::<u64>().unwrap());

        assert!(newer.is_some_and(|n| n <= now() / 1000 - issued + 1));
    });
}

/// Each outcome at the caches has its own status. A link whose request was refused works again, one whose
/// request failed does not.
#[rstest]
#[case::refused(CacheBehavior::Answer("overload", "-", vec![]), "GET", PATH, 503, 200)]
#[case::failed(CacheBehavior::Close, "POST", "/booking/17/7f3a9c21e0b4d655/0", 502, 403)]
#[case::deadline(CacheBehavior::Silent, "GET", "/quick/17/7f3a9c21e0b4d655/0", 504, 403)]
#[case::write(cache_hit(), "POST", "/booking/17/7f3a9c21e0b4d655/0", 200, 403)]
#[case::unknown_class(cache_hit(), "GET", "/nothing/17/7f3a9c21e0b4d655/0", 404, 404)]
#[case::bad_path(cache_hit(), "GET", "/media/017/7f3a9c21e0b4d655/0", 400, 400)]
#[case::bad_method(cache_hit(), "DELETE", PATH, 405, 405)]
fn each_outcome_has_its_status(
    #[case] behavior: CacheBehavior,
    #[case] method: &str,
    #[case] path: &str,
    #[case] first: u16,
    #[case] again: u16,
) {
    let (method, path) = (method.to_owned(), path.to_owned());
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        let at = start_front(&testbed, Rc::default(), 10);
        let target = link(&path, now(), "a");
        for (behavior, status) in [(behavior, first), (cache_hit(), again)] {
            testbed.set_behavior(behavior);
            let mut c = Client::connect(at).await;
            let (extra, body) = match method.as_str() {
                "POST" => ("Content-Length: 2\r\nIdempotency-Key: \"k-1\"\r\n", "{}"),
                _ => ("", ""),
            };
            let text = format!("{method} {target} HTTP/1.1\r\nHost: x\r\n{extra}\r\n{body}");
            c.send(text.as_bytes()).await;
            let (got, head, _) = c.http().await.unwrap();
            assert_eq!(got, status);
            assert_eq!(got == 503, head.contains("Retry-After: "));
        }
        assert!(
            method != "POST"
                || testbed.received_requests().iter().all(|p| p[2].contains("uniq=k-1") && p[3] == "{}")
        );
    });
}

#[test]
fn a_write_needs_its_key() {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        let at = start_front(&testbed, Rc::default(), 10);
        let target = link("/booking/17/7f3a9c21e0b4d655/0", now(), "a");
        let mut c = Client::connect(at).await;
        c.send(format!("POST {target} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").as_bytes()).await;
        assert_eq!(c.http().await.unwrap().0, 400);
        assert!(testbed.received_requests().is_empty());
    });
}

// ---- The SNMP agent ----

/// Encodes a request of a manager for variables of these names.
fn snmp_request(kind: u8, community: &str, status: i64, index: i64, names: &[Vec<u32>]) -> Vec<u8> {
    let variables = names.iter().map(|n| (n.clone(), Value::Null)).collect();
    snmp::encode(&Packet {
        version: 1,
        community: community.into(),
        pdu_type: kind,
        request_id: -129,
        error_status: status,
        error_index: index,
        variables,
    })
}

#[test]
fn a_manager_walks_the_counters() {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        testbed.set_behavior(cache_hit());
        let udp = || async_io::Async::<std::net::UdpSocket>::bind(([127, 0, 0, 1], 0)).unwrap();
        let (agent, manager) = (udp(), udp());
        let at = agent.get_ref().local_addr().unwrap();
        testbed.node.spawn("agent", snmp::serve(testbed.node.clone(), Rc::new(agent), "depot".into()));
        let mut c = Client::connect(testbed.front).await;
        for id in 1..=300 {
            c.send(&request(id, "media", &[])).await;
            c.answer().await.unwrap();
        }
        let exchange = |packet: Vec<u8>| {
            let manager = &manager;
            async move {
                manager.send_to(&packet, at).await.unwrap();
                let mut buf = [0u8; 2048];
                let n = manager.recv(&mut buf).await.unwrap();
                snmp::decode(&buf[..n]).unwrap()
            }
        };
        // Both are dropped without an answer: the next answer is to the next good packet.
        let other = snmp_request(snmp::GET, "public", 0, 0, &[snmp::ROOT_OID.to_vec()]);
        for junk in [&b"junk"[..], &other] {
            manager.send_to(junk, at).await.unwrap();
        }
        let refused =
            exchange(snmp_request(snmp::SET, "depot", 0, 0, &[[&snmp::ROOT_OID[..], &[1, 1, 0]].concat()]))
                .await;
        assert_eq!(
            (refused.pdu_type, refused.request_id, refused.error_status, refused.error_index),
            (snmp::RESPONSE, -129, 17, 1)
        );
        let mut walked = Vec::new();
        let mut last_name = snmp::ROOT_OID.to_vec();
        loop {
            let r = exchange(snmp_request(snmp::GET_NEXT, "depot", 0, 0, &[last_name.clone()])).await;
            let (name, value) = r.variables[0].clone();
            if value == Value::EndOfMib {
                break;
            }
            last_name.clone_from(&name);
            walked.push((name, value));
        }
        assert_eq!(walked.len(), Counter::ALL.len() + 6);
        for (i, c) in Counter::ALL.iter().enumerate().filter(|(_, c)| !c.name().starts_with("manager")) {
            assert_eq!(
                walked[i].1,
                Value::Counter64(testbed.node.plan(|p, _| p.counters.get(*c))),
                "{}",
                c.name()
            );
        }
        assert_eq!(walked[0].1, Value::Counter64(300));
        let count = |c| testbed.node.plan(|p, _| p.counters.get(c));
        assert_eq!((count(Counter::ManagerMalformed), count(Counter::ManagerCommunity)), (1, 1));
        let bulk = exchange(snmp_request(snmp::GET_BULK, "depot", 0, 10, &[snmp::ROOT_OID.to_vec()])).await;
        let names = |other_testbed: &[(Vec<u32>, Value)]| {
            other_testbed.iter().map(|x| x.0.clone()).collect::<Vec<_>>()
        };
        assert_eq!(names(&bulk.variables), names(&walked[..10]));
        let missing =
            [[&snmp::ROOT_OID[..], &[1, 1, 7]].concat(), [&snmp::ROOT_OID[..], &[9, 1, 0]].concat()];
        let r = exchange(snmp_request(snmp::GET, "depot", 0, 0, &missing)).await;
        assert_eq!((r.variables[0].1, r.variables[1].1), (Value::NoSuchInstance, Value::NoSuchObject));
    });
}

/// The MIB gives every counter the number at which the agent shows it.
#[test]
fn the_mib_numbers_counters_as_the_agent_does() {
    let mib = include_str!("../../mibs/THREADWARD-MIB.txt");
    for (i, c) in Counter::ALL.iter().enumerate() {
        let at = mib.find(&format!("\ntw{}{} OBJECT-TYPE", c.name()[..1].to_uppercase(), &c.name()[1..]));
        let text = &mib[at.unwrap_or_else(|| panic!("{} is not in the MIB", c.name()))..];
        assert!(text[..text.find("\n\n").unwrap()].ends_with(&format!("::= {{ twCounters {} }}", i + 1)));
    }
}

/// A packet that is cut anywhere is malformed, and never leads to a panic.
#[test]
fn cut_packets_are_malformed() {
    let whole = snmp_request(snmp::GET, "depot", 0, 0, &[snmp::ROOT_OID.to_vec()]);
    assert!(snmp::decode(&whole).is_some());
    for n in 0..whole.len() {
        assert_eq!(snmp::decode(&whole[..n]), None);
    }
}

/// Numbers at the edges of their encodings are decoded to what was encoded.
#[rstest]
#[case(0)]
#[case(127)]
#[case(128)]
#[case(u64::from(u32::MAX))]
#[case(u64::MAX)]
fn numbers_survive_encoding(#[case] n: u64) {
    let p = Packet {
        version: 1,
        community: b"c".to_vec(),
        pdu_type: snmp::RESPONSE,
        request_id: n as i64,
        error_status: -1,
        error_index: 128,
        variables: vec![(vec![1, 3, 6, u32::MAX, 0, 300], Value::Counter64(n))],
    };
    assert_eq!(snmp::decode(&snmp::encode(&p)), Some(p));
}
