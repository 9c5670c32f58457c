//! A read-only SNMPv2c agent over the counters (RFC 3416, RFC 3417, BER as in RFC 3417 section 8). It owns what is
//! answered and its UDP socket; `packet` reads and writes. It must never change anything: SET is refused, and what is
//! malformed, of another version or of another community is dropped and counted without an answer.
//! `mibs/THREADWARD-MIB.txt` names the objects.
mod packet;

use crate::net::{now, sleep_until};
use crate::node::Node;
pub use crate::operators::SnmpAgent as Settings;
use async_io::Async;
use packet::VARIABLES;
pub use packet::{decode, encode, Oid, Packet, Value, GET, GET_BULK, GET_NEXT, RESPONSE, SET};
use std::net::UdpSocket;
use std::rc::Rc;
use threadward_core::Counter;

/// enterprises.32473 (documentation, RFC 5612), threadward.
pub const ROOT_OID: [u32; 8] = [1, 3, 6, 1, 4, 1, 32473, 1];
/// The longest answer: it has to fit a datagram on any link.
const ANSWER: usize = 1400;

/// Why a packet gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    Malformed,
    Community,
}

/// The answer to a packet over a view: objects in the order of their names.
///
/// # Errors
/// Why it is dropped.
pub fn answer(view: &[(Oid, Value)], community: &str, packet: &[u8]) -> Result<Packet, DropReason> {
    let p = decode(packet).filter(|p| p.version == 1).ok_or(DropReason::Malformed)?;
    if p.community != community.as_bytes() {
        return Err(DropReason::Community);
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
        None => (o.clone(), Value::EndOfMib),
    };
    let names = p.variables.iter().map(|(o, _)| o);
    let mut r =
        Packet { pdu_type: RESPONSE, error_status: 0, error_index: 0, variables: Vec::new(), ..p.clone() };
    match p.pdu_type {
        GET => r.variables = names.map(exact).collect(),
        GET_NEXT => r.variables = names.map(next).collect(),
        GET_BULK => {
            let once = usize::try_from(p.error_status.max(0)).unwrap_or(0).min(p.variables.len());
            r.variables = names.clone().take(once).map(next).collect();
            let mut rows: Vec<Oid> = names.skip(once).cloned().collect();
            let times = p.error_index.clamp(0, VARIABLES as i64);
            'rows: for _ in 0..times {
                let mut ended = true;
                for o in &mut rows {
                    let found = next(o);
                    ended &= found.1 == Value::EndOfMib;
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
            (r.error_status, r.error_index, r.variables) =
                (17, i64::from(!p.variables.is_empty()), p.variables);
        }
        _ => return Err(DropReason::Malformed),
    }
    if encode(&r).len() > ANSWER {
        (r.error_status, r.error_index, r.variables) = (1, 0, Vec::new());
    }
    Ok(r)
}

/// All objects with their present values, in the order of their names.
pub fn view(node: &Node) -> Vec<(Oid, Value)> {
    node.update_call_counters();
    let name = |table: u32, n: usize| [&ROOT_OID[..], &[table, n as u32 + 1, 0]].concat();

    let mut all: Vec<(Oid, Value)> = node.plan(|p, _| {
        let all = Counter::ALL.iter().enumerate();
        all.map(|(i, c)| (name(1, i), Value::Counter64(p.counters.get(*c)))).collect()
    });
    let gauge = |n: usize| Value::Gauge32(u32::try_from(n).unwrap_or(u32::MAX));
    let gauges = [
        node.plan(|p, _| p.open_requests()),
        node.client_count(),
        node.unwritten_answers.get(),
        node.live_peers.get(),
        node.suspected_count.get(),
        node.bans.borrow().banned_count(),
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
                node.count(if r.error_status == 17 {
                    Counter::ManagerRefused
                } else {
                    Counter::ManagerAnswered
                });
                // A lost answer is asked for again.
                let _ = socket.send_to(&encode(&r), from).await;
            }
            Err(DropReason::Malformed) => node.count(Counter::ManagerMalformed),
            Err(DropReason::Community) => node.count(Counter::ManagerCommunity),
        }
    }
}
