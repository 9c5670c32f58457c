//! A read-only SNMPv2c agent over the counters (RFC 3416, RFC 3417, BER as in RFC 3417 section 8). It owns its codec
//! and its UDP socket. It must never change anything: SET is refused, and what is malformed, of another version or
//! of another community is dropped and counted without an answer. `mibs/THREADWARD-MIB.txt` names the objects.
use crate::net::{now, sleep_until};
use crate::node::Node;
pub use crate::operators::Agent as Settings;
use async_io::Async;
use std::net::UdpSocket;
use std::rc::Rc;
use threadward_core::Counter;

/// enterprises.32473 (documentation, RFC 5612), threadward.
pub const ROOT: [u32; 8] = [1, 3, 6, 1, 4, 1, 32473, 1];
/// The longest answer: it has to fit a datagram on any link.
const ANSWER: usize = 1400;
/// Variables that one packet may name.
const VARIABLES: usize = 128;

pub type Oid = Vec<u32>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Value {
    Counter64(u64),
    Gauge32(u32),
    Null,
    NoSuchObject,
    NoSuchInstance,
    EndOfView,
}

pub const GET: u8 = 0xa0;
pub const GET_NEXT: u8 = 0xa1;
pub const RESPONSE: u8 = 0xa2;
pub const SET: u8 = 0xa3;
pub const GET_BULK: u8 = 0xa5;

/// A packet. In a GETBULK `status` and `index` are the non-repeaters and the repetitions.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    pub version: i64,
    pub community: Vec<u8>,
    pub kind: u8,
    pub id: i64,
    pub status: i64,
    pub index: i64,
    pub variables: Vec<(Oid, Value)>,
}

// ---- BER ----

/// One element: its tag, its contents and what follows.
fn element(buf: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let (&tag, rest) = buf.split_first()?;
    let (&first, rest) = rest.split_first()?;
    let (length, rest) = match first {
        n @ 0..=0x7f => (usize::from(n), rest),
        0x81..=0x83 => {
            let (digits, rest) = rest.split_at_checked(usize::from(first & 0x7f))?;
            (digits.iter().fold(0, |n, b| n << 8 | usize::from(*b)), rest)
        }
        _ => return None,
    };
    let (contents, rest) = rest.split_at_checked(length)?;
    Some((tag, contents, rest))
}

fn expect(buf: &[u8], tag: u8) -> Option<(&[u8], &[u8])> {
    element(buf).filter(|(t, ..)| *t == tag).map(|(_, contents, rest)| (contents, rest))
}

fn integer(buf: &[u8]) -> Option<(i64, &[u8])> {
    let (c, rest) = expect(buf, 0x02)?;
    if c.is_empty() || c.len() > 8 {
        return None;
    }
    let first = if c[0] & 0x80 != 0 { -1 } else { 0 };
    Some((c.iter().fold(first, |n, b| n << 8 | i64::from(*b)), rest))
}

fn unsigned(c: &[u8]) -> Option<u64> {
    (!c.is_empty() && c.len() <= 9 && (c.len() < 9 || c[0] == 0))
        .then(|| c.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
}

fn oid(c: &[u8]) -> Option<Oid> {
    let mut subs = Vec::new();
    let mut at = 0u64;
    let mut open = false;
    for b in c {
        at = at << 7 | u64::from(b & 0x7f);
        if at > u64::from(u32::MAX) + 80 {
            return None;
        }
        open = b & 0x80 != 0;
        if !open {
            if subs.is_empty() {
                let first = (at / 40).min(2);
                subs.extend([first as u32, u32::try_from(at - first * 40).ok()?]);
            } else {
                subs.push(u32::try_from(at).ok()?);
            }
            at = 0;
        }
    }
    (!open && !subs.is_empty() && subs.len() <= 128).then_some(subs)
}

/// Reads a packet; nothing where it is malformed.
pub fn decode(buf: &[u8]) -> Option<Packet> {
    let (message, rest) = expect(buf, 0x30)?;
    if !rest.is_empty() {
        return None;
    }
    let (version, message) = integer(message)?;
    let (community, message) = expect(message, 0x04)?;
    let (kind, pdu, rest) = element(message)?;
    if !rest.is_empty() {
        return None;
    }
    let (id, pdu) = integer(pdu)?;
    let (status, pdu) = integer(pdu)?;
    let (index, pdu) = integer(pdu)?;
    let (mut list, rest) = expect(pdu, 0x30)?;
    if !rest.is_empty() {
        return None;
    }
    let mut variables = Vec::new();
    while !list.is_empty() {
        let (pair, rest) = expect(list, 0x30)?;
        let (name, value) = expect(pair, 0x06)?;
        let (tag, c, end) = element(value)?;
        if !end.is_empty() || variables.len() == VARIABLES {
            return None;
        }
        let value = match tag {
            0x46 => Value::Counter64(unsigned(c)?),
            0x42 => Value::Gauge32(u32::try_from(unsigned(c)?).ok()?),
            0x80 => Value::NoSuchObject,
            0x81 => Value::NoSuchInstance,
            0x82 => Value::EndOfView,
            // Only a SET brings other values, and none is taken.
            _ => Value::Null,
        };
        variables.push((oid(name)?, value));
        list = rest;
    }
    Some(Packet { version, community: community.to_vec(), kind, id, status, index, variables })
}

fn put(out: &mut Vec<u8>, tag: u8, c: &[u8]) {
    out.push(tag);
    match c.len() {
        n @ 0..=0x7f => out.push(n as u8),
        n @ 0x80..=0xff => out.extend([0x81, n as u8]),
        n => out.extend([0x82, (n >> 8) as u8, n as u8]),
    }
    out.extend_from_slice(c);
}

fn put_integer(out: &mut Vec<u8>, n: i64) {
    let bytes = n.to_be_bytes();
    let spare = |i: usize| {
        let fill = if n < 0 { 0xff } else { 0 };
        bytes[i] == fill && (bytes[i + 1] & 0x80 != 0) == (n < 0)
    };
    let from = (0..7).take_while(|i| spare(*i)).count();
    put(out, 0x02, &bytes[from..]);
}

fn put_unsigned(out: &mut Vec<u8>, tag: u8, n: u64) {
    let mut bytes = vec![0];
    bytes.extend(n.to_be_bytes());
    let from = (0..8).take_while(|i| bytes[*i] == 0 && bytes[i + 1] & 0x80 == 0).count();
    put(out, tag, &bytes[from..]);
}

fn put_oid(out: &mut Vec<u8>, oid: &[u32]) {
    let mut c = Vec::new();
    let (head, tail) = oid.split_at(oid.len().min(2));
    let first = head.first().map_or(0, |a| u64::from(*a) * 40) + head.get(1).map_or(0, |b| u64::from(*b));
    for sub in std::iter::once(first).chain(tail.iter().map(|s| u64::from(*s))) {
        let septets = (1..10).take_while(|i| sub >> (7 * i) > 0).count();
        for i in (0..=septets).rev() {
            c.push((sub >> (7 * i) & 0x7f) as u8 | if i > 0 { 0x80 } else { 0 });
        }
    }
    put(out, 0x06, &c);
}

pub fn encode(p: &Packet) -> Vec<u8> {
    let mut list = Vec::new();
    for (name, value) in &p.variables {
        let mut pair = Vec::new();
        put_oid(&mut pair, name);
        match value {
            Value::Counter64(n) => put_unsigned(&mut pair, 0x46, *n),
            Value::Gauge32(n) => put_unsigned(&mut pair, 0x42, u64::from(*n)),
            Value::Null => put(&mut pair, 0x05, &[]),
            Value::NoSuchObject => put(&mut pair, 0x80, &[]),
            Value::NoSuchInstance => put(&mut pair, 0x81, &[]),
            Value::EndOfView => put(&mut pair, 0x82, &[]),
        }
        put(&mut list, 0x30, &pair);
    }
    let mut pdu = Vec::new();
    for n in [p.id, p.status, p.index] {
        put_integer(&mut pdu, n);
    }
    put(&mut pdu, 0x30, &list);
    let mut message = Vec::new();
    put_integer(&mut message, p.version);
    put(&mut message, 0x04, &p.community);
    put(&mut message, p.kind, &pdu);
    let mut out = Vec::new();
    put(&mut out, 0x30, &message);
    out
}

// ---- the agent ----

/// Why a packet gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drop {
    Malformed,
    Community,
}

/// The answer to a packet over a view: objects in the order of their names.
///
/// # Errors
/// Why it is dropped.
pub fn answer(view: &[(Oid, Value)], community: &str, packet: &[u8]) -> Result<Packet, Drop> {
    let p = decode(packet).filter(|p| p.version == 1).ok_or(Drop::Malformed)?;
    if p.community != community.as_bytes() {
        return Err(Drop::Community);
    }
    let exact = |o: &Oid| match view.iter().find(|(name, _)| name == o) {
        Some((_, v)) => (o.clone(), *v),
        None => {
            let object = &o[..o.len().saturating_sub(1)];
            let known = view.iter().any(|(n, _)| n[..n.len() - 1] == *object || n[..n.len() - 1] == **o);
            (o.clone(), if known { Value::NoSuchInstance } else { Value::NoSuchObject })
        }
    };
    let next = |o: &Oid| match view.iter().find(|(name, _)| name > o) {
        Some(found) => found.clone(),
        None => (o.clone(), Value::EndOfView),
    };
    let names = p.variables.iter().map(|(o, _)| o);
    let mut r = Packet { kind: RESPONSE, status: 0, index: 0, variables: Vec::new(), ..p.clone() };
    match p.kind {
        GET => r.variables = names.map(exact).collect(),
        GET_NEXT => r.variables = names.map(next).collect(),
        GET_BULK => {
            let once = usize::try_from(p.status.max(0)).unwrap_or(0).min(p.variables.len());
            r.variables = names.clone().take(once).map(next).collect();
            let mut rows: Vec<Oid> = names.skip(once).cloned().collect();
            let times = p.index.clamp(0, VARIABLES as i64);
            'rows: for _ in 0..times {
                let mut ended = true;
                for o in &mut rows {
                    let found = next(o);
                    ended &= found.1 == Value::EndOfView;
                    *o = found.0.clone();
                    r.variables.push(found);
                    // A bulk answer is cut to what fits.
                    if encode(&r).len() > ANSWER {
                        r.variables.pop();
                        break 'rows;
                    }
                }
                if ended {
                    break;
                }
            }
        }
        SET => {
            // notWritable: everything here is read-only.
            (r.status, r.index, r.variables) = (17, i64::from(!p.variables.is_empty()), p.variables);
        }
        _ => return Err(Drop::Malformed),
    }
    if encode(&r).len() > ANSWER {
        (r.status, r.index, r.variables) = (1, 0, Vec::new());
    }
    Ok(r)
}

/// All objects with their present values, in the order of their names.
pub fn view(node: &Node) -> Vec<(Oid, Value)> {
    let name = |table: u32, n: usize| [&ROOT[..], &[table, n as u32 + 1, 0]].concat();
    let mut all: Vec<(Oid, Value)> = node.plan(|p, _| {
        let all = Counter::ALL.iter().enumerate();
        all.map(|(i, c)| (name(1, i), Value::Counter64(p.counters.get(*c)))).collect()
    });
    let gauge = |n: usize| Value::Gauge32(u32::try_from(n).unwrap_or(u32::MAX));
    let gauges = [
        node.plan(|p, _| p.open()),
        node.clients(),
        node.unwritten.get(),
        node.peers_live.get(),
        node.suspects.get(),
        node.bans.borrow().out(),
    ];
    all.extend(gauges.iter().enumerate().map(|(i, n)| (name(2, i), gauge(*n))));
    all
}

pub async fn serve(node: Rc<Node>, socket: Rc<Async<UdpSocket>>, community: String) {
    let mut buf = [0u8; 2048];
    loop {
        let Ok((n, from)) = socket.recv_from(&mut buf).await else {
            sleep_until(now() + 10_000).await;
            continue;
        };
        match answer(&view(&node), &community, &buf[..n]) {
            Ok(r) => {
                node.count(if r.status == 17 { Counter::ManagerRefused } else { Counter::ManagerAnswered });
                // A lost answer is asked for again.
                let _ = socket.send_to(&encode(&r), from).await;
            }
            Err(Drop::Malformed) => node.count(Counter::ManagerMalformed),
            Err(Drop::Community) => node.count(Counter::ManagerCommunity),
        }
    }
}
