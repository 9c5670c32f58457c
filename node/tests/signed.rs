//! The signed front and the agent on loopback: a stand-in signer, a stand-in cache and a stand-in manager.
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

/// Unix time in microseconds, as tokens are signed by.
fn now() -> Micros {
    unix_now().micros()
}

const KEY: &[u8] = b"0123456789abcdef0123456789abcdef";
const BASE: &str = "https://media.benga.example";
const PATH: &str = "/media/17/7f3a9c21e0b4d655/3";
const SKEW: f64 = 2.0;

/// Signs like an issuer would. Times are seconds.
fn sign(header: &str, claims: &str, key: &[u8]) -> String {
    let text = format!("{}.{}", B64.encode(header), B64.encode(claims));
    let mut mac = Hmac::<Sha256>::new_from_slice(key).unwrap();
    mac.update(text.as_bytes());
    format!("{text}.{}", B64.encode(mac.finalize().into_bytes()))
}

fn container(path: &str) -> String {
    format!("hash:sha-256;{}", B64.encode(Sha256::digest(format!("{BASE}{path}"))))
}

const HEAD: &str = r#"{"alg":"HS256","kid":"k1"}"#;

fn claims(path: &str, iat: f64, exp: f64, jti: &str) -> String {
    format!(r#"{{"exp":{exp},"iat":{iat},"jti":"{jti}","cdniuc":"{}"}}"#, container(path))
}

/// A good link: issued now on the given clock, good for a minute.
fn link(path: &str, at: Micros, jti: &str) -> String {
    let at = at as f64 / 1e6;
    format!("{path}?URISigningPackage={}", sign(HEAD, &claims(path, at, at + 60.0, jti), KEY))
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

/// One signed front over a world. Its clock runs with the system's, off by `drift`, and it started a minute ago.
fn front(w: &Testbed, drift: Rc<Cell<i64>>, register: usize) -> SocketAddr {
    let (l, at) = listen();
    let s = settings("n0", at, &[("n0", at)], register);
    front_of(w, drift, s, l);
    at
}

fn front_of(w: &Testbed, drift: Rc<Cell<i64>>, s: Settings, l: Rc<async_io::Async<std::net::TcpListener>>) {
    let (d, off) = (drift.clone(), drift.get());
    drift.set(off - 60_000_000);
    let f = SignedFront::new(w.node.clone(), s, Box::new(move || now().saturating_add_signed(d.get())));
    drift.set(off);
    w.node.spawn("signed", signed::serve(f, l));
}

fn ok() -> CacheBehavior {
    CacheBehavior::Answer("served", "version=4be0c1927d55a6f3,stamp=1,detail=HIT", b"whole".to_vec())
}

#[test]
fn one_request_is_served_whole() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let at = front(&w, Rc::default(), 10);
        let mut c = Client::connect(at).await;
        c.send(&get(&link(PATH, now(), "a"))).await;
        let (status, head, body) = c.http().await.unwrap();
        assert_eq!((status, body.as_slice()), (200, &b"whole"[..]));
        assert!(head.contains("ETag: \"4be0c1927d55a6f3\"\r\n") && head.contains("no-store"), "{head}");
        let sent = w.received_requests().remove(0);
        assert!(sent[2].starts_with("queue=media,path=7f3a9c21e0b4d655,blk=3,"), "{sent:?}");
        // The same connection, and a copy that the client holds already.
        w.set_behavior(CacheBehavior::Answer(
            "still_good",
            "version=4be0c1927d55a6f3,stamp=1,detail=HIT",
            vec![],
        ));
        let held = "GET {} HTTP/1.1\r\nHost: x\r\nIf-None-Match: \"4be0c1927d55a6f3\"\r\n\r\n";
        c.send(held.replace("{}", &link(PATH, now(), "b")).as_bytes()).await;
        assert_eq!(c.http().await.unwrap().0, 304);
        assert!(w.received_requests()[1][2].contains("holds=4be0c1927d55a6f3"));
    });
}

/// Each bad token is refused exactly once, and nothing of it is sent on.
#[rstest]
#[case::missing("", 401)]
#[case::empty("?URISigningPackage=", 401)]
#[case::no_jwt("?URISigningPackage=abc", 403)]
#[case::other_query("?x=1", 400)]
fn no_token(#[case] query: &str, #[case] status: u16) {
    refused(&format!("{PATH}{query}"), status);
}

#[rstest]
#[case::expired(HEAD, claims(PATH, t(-30.0), t(-1.0), "j"), KEY, 403)]
#[case::within_skew(HEAD, claims(PATH, t(0.0), t(SKEW - 0.5), "j"), KEY, 403)]
#[case::before_the_start(HEAD, claims(PATH, t(-61.0), t(60.0), "j"), KEY, 403)]
#[case::issued_ahead(HEAD, claims(PATH, t(30.0), t(60.0), "j"), KEY, 403)]
#[case::not_yet(HEAD, claims(PATH, t(0.0), t(60.0), "j").replace('{', &format!("{{\"nbf\":{},", t(30.0))), KEY, 403)]
#[case::another_key(HEAD, claims(PATH, t(0.0), t(60.0), "j"), b"another key of thirty-two bytes!", 403)]
#[case::another_path(HEAD, claims("/media/17/7f3a9c21e0b4d655/4", t(0.0), t(60.0), "j"), KEY, 403)]
#[case::regex(HEAD, claims(PATH, t(0.0), t(60.0), "j").replace("hash:", "regex:"), KEY, 403)]
#[case::alg_none(r#"{"alg":"none","kid":"k1"}"#, claims(PATH, t(0.0), t(60.0), "j"), KEY, 403)]
#[case::alg_other(r#"{"alg":"HS512","kid":"k1"}"#, claims(PATH, t(0.0), t(60.0), "j"), KEY, 403)]
#[case::unknown_kid(r#"{"alg":"HS256","kid":"k2"}"#, claims(PATH, t(0.0), t(60.0), "j"), KEY, 403)]
#[case::no_jti(HEAD, claims(PATH, t(0.0), t(60.0), ""), KEY, 403)]
#[case::no_exp(HEAD, claims(PATH, t(0.0), t(60.0), "j").replace("exp", "exq"), KEY, 403)]
#[case::narrowed(HEAD, claims(PATH, t(0.0), t(60.0), "j").replace('{', r#"{"cdniip":"x","#), KEY, 403)]
#[case::unknown_critical(HEAD, claims(PATH, t(0.0), t(60.0), "j").replace('{', r#"{"cdnicrit":"x","#), KEY, 403)]
fn bad_token(#[case] head: &str, #[case] claims: String, #[case] key: &[u8], #[case] status: u16) {
    refused(&format!("{PATH}?URISigningPackage={}", sign(head, &claims, key)), status);
}

/// Seconds from now.
fn t(from_now: f64) -> f64 {
    now() as f64 / 1e6 + from_now
}

fn refused(target: &str, status: u16) {
    let target = target.to_owned();
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let at = front(&w, Rc::default(), 10);
        let mut c = Client::connect(at).await;
        c.send(&[get(&target), get(&link(PATH, now(), "good"))].concat()).await;
        let (got, _, body) = c.http().await.unwrap();
        assert_eq!((got, body.len()), (status, 0));
        if status == 400 {
            assert!(c.http().await.is_none());
        } else {
            // One answer for it: the next on the connection is the good link's.
            assert_eq!(c.http().await.unwrap().0, 200);
            assert_eq!(w.received_requests().len(), 1);
        }
    });
}

/// Every bit of a token counts: tampered ones are refused, and the whole one still works after.
#[test]
fn tampered_tokens_are_refused_and_burn_nothing() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let at = front(&w, Rc::default(), 10);
        let whole = link(PATH, now(), "a");
        let from = whole.find('=').unwrap() + 1;
        for i in (from..whole.len()).step_by(7) {
            let mut bytes = whole.clone().into_bytes();
            bytes[i] = if bytes[i] == b'A' { b'B' } else { b'A' };
            let mut c = Client::connect(at).await;
            c.send(&get(&String::from_utf8(bytes).unwrap())).await;
            assert_eq!(c.http().await.unwrap().0, 403, "at {i}");
        }
        assert!(w.received_requests().is_empty());
        let mut c = Client::connect(at).await;
        c.send(&get(&whole)).await;
        assert_eq!(c.http().await.unwrap().0, 200);
    });
}

#[test]
fn a_token_is_redeemed_once_and_a_full_register_fails_closed() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let at = front(&w, Rc::default(), 2);
        let mut c = Client::connect(at).await;
        let (a, b, d) = (link(PATH, now(), "a"), link(PATH, now(), "b"), link(PATH, now(), "d"));
        for (target, status) in [(&a, 200), (&a, 403), (&b, 200), (&a, 403), (&d, 503), (&b, 403)] {
            c.send(&get(target)).await;
            assert_eq!(c.http().await.unwrap().0, status);
        }
        assert_eq!(w.received_requests().len(), 2);
        let count = |c| w.node.plan(|p, _| p.counters.get(c));
        assert_eq!((count(Counter::LinksReplayed), count(Counter::LinksRegisterFull)), (3, 1));
    });
}

/// The same token at two proxies: its home redeems it, the other sends the client there.
#[test]
fn replay_at_another_proxy() {
    run(|ex| async move {
        let (w, v) = (start_testbed(ex, 1).await, start_testbed(ex, 1).await);
        w.set_behavior(ok());
        v.set_behavior(ok());
        let ((l0, a0), (l1, a1)) = (listen(), listen());
        let tier = [("n0", a0), ("n1", a1)];
        front_of(&w, Rc::default(), settings("n0", a0, &tier, 30), l0);
        front_of(&v, Rc::default(), settings("n1", a1, &tier, 30), l1);
        let mut homes = [0, 0];
        for i in 0..20 {
            let target = link(PATH, now(), &format!("j{i}"));
            let (mut c0, mut c1) = (Client::connect(a0).await, Client::connect(a1).await);
            c0.send(&get(&target)).await;
            c1.send(&get(&target)).await;
            let (r0, r1) = (c0.http().await.unwrap(), c1.http().await.unwrap());
            let (home, other) = if r0.0 == 200 { (0, &r1) } else { (1, &r0) };
            homes[home] += 1;
            assert_eq!((r0.0 + r1.0, other.0), (507, 307));
            let to = format!("Location: http://{}{target}\r\n", [a0, a1][home]);
            assert!(other.1.contains(&to), "{}", other.1);
            // Followed, it is a replay.
            let mut again = Client::connect([a0, a1][home]).await;
            again.send(&get(&target)).await;
            assert_eq!(again.http().await.unwrap().0, 403);
        }
        assert_eq!(w.received_requests().len() + v.received_requests().len(), 20);
        assert!(homes.iter().all(|n| *n > 0), "{homes:?}");
    });
}

/// The link ends while a cache is at work: one refusal, not a byte, and the attempt is called off.
#[rstest]
#[case::silent(CacheBehavior::Silent)]
#[case::answers_late(ok())]
fn expiry_during_a_fill(#[case] late: CacheBehavior) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let drift = Rc::new(Cell::new(0));
        let at = front(&w, drift.clone(), 10);
        let answers = !matches!(late, CacheBehavior::Silent);
        let left = if answers { 60.0 } else { 0.3 };
        let (iat, exp) = (t(0.0), t(SKEW + left));
        let token = sign(HEAD, &claims(PATH, iat, exp, "a"), KEY);
        let mut c = Client::connect(at).await;
        c.send(&get(&format!("{PATH}?URISigningPackage={token}"))).await;
        let seen = w.caches[0].commands.clone();
        wait_until("the attempt", || !seen.borrow().is_empty()).await;
        if answers {
            // The clock moves past the end before the cache answers; another client's request makes it answer.
            drift.set(drift.get() + 61_000_000);
            let call = seen.borrow()[0][1].clone();
            w.caches[0].reply(&call, b"too late").await;
        }
        let (status, _, body) = c.http().await.unwrap();
        assert_eq!((status, body.len()), (403, 0));
        assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::LinksExpired)), 1);
        assert!(answers || now() as f64 / 1e6 <= exp - SKEW + 0.1);
        wait_until("the call-off", || answers || seen.borrow().iter().any(|p| p[0] == "cancel")).await;
        // The client gets no second answer: the next is that of its next request.
        c.send(&get(PATH)).await;
        assert_eq!(c.http().await.unwrap().0, 401);
    });
}

/// Clocks that lie apart by less than `skew`, either way, never let a link work at or after its `exp`.
#[rstest]
#[case::slow(-1.9, 0.0, 403)]
#[case::slow_before_the_end(-1.9, 3.95, 200)]
#[case::fast(1.9, 0.0, 403)]
#[case::fast_before_the_end(1.9, 5.0, 200)]
fn skewed_clocks(#[case] drift: f64, #[case] left: f64, #[case] status: u16) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let at = front(&w, Rc::new(Cell::new((drift * 1e6) as i64)), 10);
        let token = sign(HEAD, &claims(PATH, t(-10.0), t(left), "a"), KEY);
        let mut c = Client::connect(at).await;
        c.send(&get(&format!("{PATH}?URISigningPackage={token}"))).await;
        assert_eq!(c.http().await.unwrap().0, status);
        assert_eq!(w.received_requests().len(), usize::from(status == 200));
    });
}

#[test]
fn a_purge_holds_for_links_too() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let at = front(&w, Rc::default(), 10);
        let issued = now() / 1000;
        w.publish_event(&format!(r#""recall":{{"item":"{OBJECT}","issued":{issued}}}"#)).await;
        let mut c = Client::connect(at).await;
        c.send(&get(&link(PATH, now(), "a"))).await;
        assert_eq!(c.http().await.unwrap().0, 200);
        let newer = threadward::wire::find_field(&w.received_requests()[0][2], "newer")
            .map(|n| n.parse::<u64>().unwrap());

        assert!(newer.is_some_and(|n| n <= now() / 1000 - issued + 1));
    });
}

/// What the caches do shows as one status each; a refused link works again, a failed one does not.
#[rstest]
#[case::refused(CacheBehavior::Answer("overload", "-", vec![]), "GET", PATH, 503, 200)]
#[case::failed(CacheBehavior::Close, "POST", "/booking/17/7f3a9c21e0b4d655/0", 502, 403)]
#[case::deadline(CacheBehavior::Silent, "GET", "/quick/17/7f3a9c21e0b4d655/0", 504, 403)]
#[case::write(ok(), "POST", "/booking/17/7f3a9c21e0b4d655/0", 200, 403)]
#[case::unknown_class(ok(), "GET", "/nothing/17/7f3a9c21e0b4d655/0", 404, 404)]
#[case::bad_path(ok(), "GET", "/media/017/7f3a9c21e0b4d655/0", 400, 400)]
#[case::bad_method(ok(), "DELETE", PATH, 405, 405)]
fn statuses(
    #[case] act: CacheBehavior,
    #[case] method: &str,
    #[case] path: &str,
    #[case] first: u16,
    #[case] again: u16,
) {
    let (method, path) = (method.to_owned(), path.to_owned());
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let at = front(&w, Rc::default(), 10);
        let target = link(&path, now(), "a");
        for (act, status) in [(act, first), (ok(), again)] {
            w.set_behavior(act);
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
                || w.received_requests().iter().all(|p| p[2].contains("uniq=k-1") && p[3] == "{}")
        );
    });
}

#[test]
fn a_write_needs_its_key() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let at = front(&w, Rc::default(), 10);
        let target = link("/booking/17/7f3a9c21e0b4d655/0", now(), "a");
        let mut c = Client::connect(at).await;
        c.send(format!("POST {target} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").as_bytes()).await;
        assert_eq!(c.http().await.unwrap().0, 400);
        assert!(w.received_requests().is_empty());
    });
}

// ---- the agent ----

fn ask(kind: u8, community: &str, status: i64, index: i64, names: &[Vec<u32>]) -> Vec<u8> {
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
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let udp = || async_io::Async::<std::net::UdpSocket>::bind(([127, 0, 0, 1], 0)).unwrap();
        let (agent, manager) = (udp(), udp());
        let at = agent.get_ref().local_addr().unwrap();
        w.node.spawn("agent", snmp::serve(w.node.clone(), Rc::new(agent), "depot".into()));
        let mut c = Client::connect(w.front).await;
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
        // Dropped without an answer: the next answer is to the next good packet.
        let other = ask(snmp::GET, "public", 0, 0, &[snmp::ROOT_OID.to_vec()]);
        for junk in [&b"junk"[..], &other] {
            manager.send_to(junk, at).await.unwrap();
        }
        let refused =
            exchange(ask(snmp::SET, "depot", 0, 0, &[[&snmp::ROOT_OID[..], &[1, 1, 0]].concat()])).await;
        assert_eq!(
            (refused.pdu_type, refused.request_id, refused.error_status, refused.error_index),
            (snmp::RESPONSE, -129, 17, 1)
        );
        let mut by_next = Vec::new();
        let mut at_name = snmp::ROOT_OID.to_vec();
        loop {
            let r = exchange(ask(snmp::GET_NEXT, "depot", 0, 0, &[at_name.clone()])).await;
            let (name, value) = r.variables[0].clone();
            if value == Value::EndOfMib {
                break;
            }
            at_name.clone_from(&name);
            by_next.push((name, value));
        }
        assert_eq!(by_next.len(), Counter::ALL.len() + 6);
        for (i, c) in Counter::ALL.iter().enumerate().filter(|(_, c)| !c.name().starts_with("manager")) {
            assert_eq!(
                by_next[i].1,
                Value::Counter64(w.node.plan(|p, _| p.counters.get(*c))),
                "{}",
                c.name()
            );
        }
        assert_eq!(by_next[0].1, Value::Counter64(300));
        let count = |c| w.node.plan(|p, _| p.counters.get(c));
        assert_eq!((count(Counter::ManagerMalformed), count(Counter::ManagerCommunity)), (1, 1));
        let bulk = exchange(ask(snmp::GET_BULK, "depot", 0, 10, &[snmp::ROOT_OID.to_vec()])).await;
        let names = |v: &[(Vec<u32>, Value)]| v.iter().map(|x| x.0.clone()).collect::<Vec<_>>();
        assert_eq!(names(&bulk.variables), names(&by_next[..10]));
        let missing =
            [[&snmp::ROOT_OID[..], &[1, 1, 7]].concat(), [&snmp::ROOT_OID[..], &[9, 1, 0]].concat()];
        let r = exchange(ask(snmp::GET, "depot", 0, 0, &missing)).await;
        assert_eq!((r.variables[0].1, r.variables[1].1), (Value::NoSuchInstance, Value::NoSuchObject));
    });
}

/// The MIB names every counter at the number that the agent gives it.
#[test]
fn the_mib_tells_what_the_agent_shows() {
    let mib = include_str!("../../mibs/THREADWARD-MIB.txt");
    for (i, c) in Counter::ALL.iter().enumerate() {
        let at = mib.find(&format!("\ntw{}{} OBJECT-TYPE", c.name()[..1].to_uppercase(), &c.name()[1..]));
        let text = &mib[at.unwrap_or_else(|| panic!("{} is not in the MIB", c.name()))..];
        assert!(text[..text.find("\n\n").unwrap()].ends_with(&format!("::= {{ twCounters {} }}", i + 1)));
    }
}

/// A packet with a broken length, or cut anywhere, is malformed and never a panic.
#[test]
fn cut_packets() {
    let whole = ask(snmp::GET, "depot", 0, 0, &[snmp::ROOT_OID.to_vec()]);
    assert!(snmp::decode(&whole).is_some());
    for n in 0..whole.len() {
        assert_eq!(snmp::decode(&whole[..n]), None);
    }
}

/// A GETBULK never outgrows a datagram; a table of edge values survives the codec.
#[rstest]
#[case(0)]
#[case(127)]
#[case(128)]
#[case(u64::from(u32::MAX))]
#[case(u64::MAX)]
fn numbers_survive(#[case] n: u64) {
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
