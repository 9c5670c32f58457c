//! A read-only SNMPv2c agent over the counters (RFC 3416, RFC 3417, BER as in RFC 3417 section 8). This
//! module answers packets and serves the UDP socket; `packet` decodes and encodes them.
//!
//! The agent changes nothing: SET is refused. Packets that are malformed, or that have another version or
//! another community, are counted and dropped without an answer. `mibs/THREADWARD-MIB.txt` names the objects.
mod packet;

use crate::net::{now, sleep_until};
use crate::node::Node;
pub use crate::operators::SnmpAgent as Settings;
use async_io::Async;
use packet::MAX_VARIABLES;
pub use packet::{decode, encode, Oid, Packet, Value, GET, GET_BULK, GET_NEXT, RESPONSE, SET};
use std::net::UdpSocket;
use std::rc::Rc;
use threadward_core::Counter;

/// The agent's subtree: `threadward` under enterprises.32473, the number for documentation (RFC 5612).
pub const ROOT_OID: [u32; 8] = [1, 3, 6, 1, 4, 1, 32473, 1];
/// Largest answer, so that it fits into a datagram on any link.
const MAX_ANSWER_BYTES: usize = 1400;

/// Why a packet was dropped without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Not an SNMPv2c request.
    Malformed,
    /// Another community.
    Community,
}

/// Returns the answer to a packet. `view` holds the objects in the order of their names.
///
/// # Errors
/// Why the packet is dropped.
pub fn answer(view: &[(Oid, Value)], community: &str, packet: &[u8]) -> Result<Packet, DropReason> {
    let p = decode(packet).filter(|p| p.version == 1).ok_or(DropReason::Malformed)?;
    if p.community != community.as_bytes() {
        return Err(DropReason::Community);
    }
    let get_exact = |o: &Oid| match view.iter().find(|(name, _)| name == o) {
        Some((_, v)) => (o.clone(), *v),
        None => {
            let object = &o[..o.len().saturating_sub(1)];
            let object_exists =
                view.iter().any(|(n, _)| n[..n.len() - 1] == *object || n[..n.len() - 1] == **o);
            (o.clone(), if object_exists { Value::NoSuchInstance } else { Value::NoSuchObject })
        }
    };
    let get_next = |o: &Oid| match view.iter().find(|(name, _)| name > o) {
        Some(found) => found.clone(),
        None => (o.clone(), Value::EndOfMib),
    };
    let names = p.variables.iter().map(|(o, _)| o);
    let mut response =
        Packet { pdu_type: RESPONSE, error_status: 0, error_index: 0, variables: Vec::new(), ..p.clone() };
    match p.pdu_type {
        GET => response.variables = names.map(get_exact).collect(),
        GET_NEXT => response.variables = names.map(get_next).collect(),
        GET_BULK => {
            let non_repeaters = usize::try_from(p.error_status.max(0)).unwrap_or(0).min(p.variables.len());
            response.variables = names.clone().take(non_repeaters).map(get_next).collect();
            let mut repeaters: Vec<Oid> = names.skip(non_repeaters).cloned().collect();
            let max_repetitions = p.error_index.clamp(0, MAX_VARIABLES as i64);
            'repetitions: for _ in 0..max_repetitions {
                let mut at_end = true;
                for o in &mut repeaters {
                    let found = get_next(o);
                    at_end &= found.1 == Value::EndOfMib;
                    *o = found.0.clone();
                    response.variables.push(found);
                    // The answer to a GETBULK is cut off at the variables that fit.
                    if encode(&response).len() > MAX_ANSWER_BYTES {
                        response.variables.pop();
                        break 'repetitions;
                    }
                }
                if at_end {
                    break;
                }
            }
        }
        SET => {
            // Error 17, notWritable: every object is read-only.
            (response.error_status, response.error_index, response.variables) =
                (17, i64::from(!p.variables.is_empty()), p.variables);
        }
        _ => return Err(DropReason::Malformed),
    }
    if encode(&response).len() > MAX_ANSWER_BYTES {
        // Error 1, tooBig.
        (response.error_status, response.error_index, response.variables) = (1, 0, Vec::new());
    }
    Ok(response)
}

/// Returns all objects with their present values, in the order of their names: the counters, then the gauges.
pub fn view(node: &Node) -> Vec<(Oid, Value)> {
    node.update_call_counters();
    let name = |table: u32, n: usize| [&ROOT_OID[..], &[table, n as u32 + 1, 0]].concat();
    let mut objects: Vec<(Oid, Value)> = node.plan(|p, _| {
        let counters = Counter::ALL.iter().enumerate();
        counters.map(|(i, c)| (name(1, i), Value::Counter64(p.counters.get(*c)))).collect()
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
    objects.extend(gauges.iter().enumerate().map(|(i, n)| (name(2, i), gauge(*n))));
    objects
}

/// Answers packets on the socket for as long as the program runs.
pub async fn serve(node: Rc<Node>, socket: Rc<Async<UdpSocket>>, community: String) {
    let mut buf = [0u8; 2048];
    loop {
        let Ok((n, from)) = socket.recv_from(&mut buf).await else {
            sleep_until(now() + 10_000).await;
            continue;
        };
        match answer(&view(&node), &community, &buf[..n]) {
            Ok(response) => {
                node.count(if response.error_status == 17 {
                    Counter::ManagerRefused
                } else {
                    Counter::ManagerAnswered
                });
                // If the answer is lost, the manager asks again.
                let _ = socket.send_to(&encode(&response), from).await;
            }
            Err(DropReason::Malformed) => node.count(Counter::ManagerMalformed),
            Err(DropReason::Community) => node.count(Counter::ManagerCommunity),
        }
    }
}
