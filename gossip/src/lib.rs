//! Gossip between steering proxies: which of them live, and what they hold suspect of the members, so that one need not
//! pay for a lesson that others have learned. It owns one instance's part in that: it is given the time, datagrams
//! and what own traffic showed, and returns datagrams, changes of membership and what is believed. It must never
//! open a socket or read a clock, choose a member, or hand on another's word as its own. `docs/gossip.md` has the
//! design, `docs/operate-gossip.md` is for operators. All times are microseconds on the caller's clock.
//!
//! ```
//! use nickelgate::{Addr, Outcome, Role, MemberHealth};
//! use std::net::SocketAddr;
//! use threadward_gossip::{public_key, Suspicion, Gossip, Notice, Output, PeerConfig, Settings};
//!
//! // Three proxies, each with a key of its own.
//! let at = |i: u8| SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(i)));
//! let peer = |i: u8| PeerConfig {
//!     name: format!("p{i}"),
//!     addr: at(i),
//!     keys: vec![public_key(&[i + 1; 32])],
//!     seed: true,
//! };
//! let new = |i: u8| {
//!     let s = Settings::new(&format!("p{i}"), [i + 1; 32], (0..3).map(peer).collect());
//!     Gossip::new(0, s, [i + 9; 32])
//! };
//! let mut all = (0..3).map(new).collect::<Result<Vec<_>, _>>()?;
//!
//! // Two hubs. From 12 s on, proxies 0 and 1 see the first one fail, three times in a row; proxy 2 asks it nothing.
//! let hub = |n| Addr { ip: [10, 0, 0, n], port: 80 };
//! let seen = |n, failed| MemberHealth {
//!     member: hub(n),
//!     incarnation: 0,
//!     role: Role::Parent,
//!     strikes: 0,
//!     skipped: false,
//!     last_failed_at: failed,
//!     last_failure: Some(Outcome::Timeout),
//!     last_good_at: 0,
//!     suspicion_skips: 0,
//! };
//! let mut news = Vec::new();
//! for now in (0..13_000_000).step_by(50_000) {
//!     for i in 0..3 {
//!         let mut out = Output::default();
//!         let failed = if i < 2 && now >= 12_000_000 { now.min(12_100_000) } else { 0 };
//!         all[i].observe(now, &[seen(1, failed), seen(2, 0)], &mut out);
//!         all[i].tick(now, &mut out);
//!         // The caller is the network.
//!         let mut sent: Vec<_> = out.send.drain(..).map(|(to, bytes)| (i, to, bytes)).collect();
//!         news.extend(out.notices.into_iter().map(|n| (i, n)));
//!         while let Some((from, to, bytes)) = sent.pop() {
//!             let to = usize::from(to.port() - 7000);
//!             let mut out = Output::default();
//!             all[to].receive(now, at(from as u8), &bytes, &mut out);
//!             sent.extend(out.send.into_iter().map(|(next, bytes)| (to, next, bytes)));
//!             news.extend(out.notices.into_iter().map(|n| (to, n)));
//!         }
//!     }
//! }
//! assert_eq!(all[2].quorum().live, 3);
//! assert_eq!(all[2].suspected_members(), [hub(1)]);
//! let doubt = Suspicion { member: hub(1), incarnation: 0, suspected: true, witnesses: 2 };
//! assert!(news.contains(&(2, Notice::Suspicion(doubt))));
//! assert!(all[0].suspected_members().is_empty(), "one other's word is too little");
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
pub mod session;
mod settings;
mod told;
pub mod wire;

pub use belief::{Quorum, Suspicion};
pub use instance::{Gossip, SUSPICION_TTL};
pub use keys::{public_key, PeerConfig};
pub use members::State;
pub use settings::{validate, Settings};
pub use told::{Counts, Dropped, Notice, Output};
