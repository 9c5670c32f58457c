//! Gossip between steering proxies: tracks which proxies are live and shares what they have found out about
//! failing members, so that a proxy can avoid a member that others have already seen fail.
//!
//! A [`Gossip`] is one instance of the protocol. It takes the time, received datagrams and the observations
//! of the proxy's own traffic, and returns datagrams to send, changes of membership, and the members
//! suspected because of other peers' claims. It opens no socket, reads no clock and does not route requests.
//! It never sends another peer's claims as its own: those are only forwarded with their author's signature.
//!
//! `docs/gossip.md` describes the design, `docs/operate-gossip.md` is for operators. All times are in
//! microseconds on the caller's clock.
//!
//! ```
//! use nickelgate::{Addr, Outcome, Role, MemberHealth};
//! use std::net::SocketAddr;
//! use threadward_gossip::{public_key, Suspicion, Gossip, Notice, Output, PeerConfig, Settings};
//!
//! // Three proxies, each with a key of its own.
//! let addr = |i: u8| SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(i)));
//! let peer = |i: u8| PeerConfig {
//!     name: format!("p{i}"),
//!     addr: addr(i),
//!     keys: vec![public_key(&[i + 1; 32])],
//!     seed: true,
//! };
//! let new = |i: u8| {
//!     let s = Settings::new(&format!("p{i}"), [i + 1; 32], (0..3).map(peer).collect());
//!     Gossip::new(0, s, [i + 9; 32])
//! };
//! let mut all = (0..3).map(new).collect::<Result<Vec<_>, _>>()?;
//!
//! // Two parents. From 12 s on, proxies 0 and 1 see the first one fail three times in a row; proxy 2 sends
//! // it nothing.
//! let parent = |n| Addr { ip: [10, 0, 0, n], port: 80 };
//! let member_health = |n, failed| MemberHealth {
//!     member: parent(n),
//!     incarnation: 0,
//!     role: Role::Parent,
//!     strikes: 0,
//!     skipped: false,
//!     last_failed_at: failed,
//!     last_failure: Some(Outcome::Timeout),
//!     last_good_at: 0,
//!     suspicion_skips: 0,
//! };
//! let mut notices = Vec::new();
//! for now in (0..13_000_000).step_by(50_000) {
//!     for i in 0..3 {
//!         let mut out = Output::default();
//!         let failed = if i < 2 && now >= 12_000_000 { now.min(12_100_000) } else { 0 };
//!         all[i].observe(now, &[member_health(1, failed), member_health(2, 0)], &mut out);
//!         all[i].tick(now, &mut out);
//!         // This loop plays the network.
//!         let mut sent: Vec<_> = out.send.drain(..).map(|(to, bytes)| (i, to, bytes)).collect();
//!         notices.extend(out.notices.into_iter().map(|n| (i, n)));
//!         while let Some((from, to, bytes)) = sent.pop() {
//!             let to = usize::from(to.port() - 7000);
//!             let mut out = Output::default();
//!             all[to].receive(now, addr(from as u8), &bytes, &mut out);
//!             sent.extend(out.send.into_iter().map(|(next, bytes)| (to, next, bytes)));
//!             notices.extend(out.notices.into_iter().map(|n| (to, n)));
//!         }
//!     }
//! }
//! assert_eq!(all[2].quorum().live, 3);
//! assert_eq!(all[2].suspected_members(), [parent(1)]);
//! let suspicion = Suspicion { member: parent(1), incarnation: 0, suspected: true, witnesses: 2 };
//! assert!(notices.contains(&(2, Notice::Suspicion(suspicion))));
//! assert!(all[0].suspected_members().is_empty(), "one other witness is not enough");
//! # Ok::<(), String>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod belief;
mod budget;
pub mod evidence;
mod instance;
pub mod keys;
pub mod members;
mod output;
pub mod session;
mod settings;
pub mod wire;

pub use belief::{Quorum, Suspicion};
pub use instance::{Gossip, SUSPICION_TTL};
pub use keys::{public_key, PeerConfig};
pub use members::State;
pub use output::{Counts, Dropped, Notice, Output};
pub use settings::{validate, Settings};
