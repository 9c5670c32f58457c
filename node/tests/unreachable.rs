//! Cache servers that this machine has no way to: a connection fails at once, with an error of this machine's own. Requests
//! go elsewhere, and the way is not tried without pause.
mod common;
use common::*;
use rstest::rstest;
use std::net::SocketAddr;
use threadward_core::Counter;

/// A connection to a broadcast address fails with ENETUNREACH, before anything leaves.
const NO_WAY: ([u8; 4], u16) = ([127, 255, 255, 255], 9);

#[rstest]
#[case::one_of_two("s-0", 60)]
#[case::both("s-0,s-1", 400)]
fn a_server_without_a_way_is_left_alone(#[case] lost: &str, #[case] most_attempts: u64) {
    run(|ex| async move {
        let unreachable = SocketAddr::from(NO_WAY);
        let failed = std::net::TcpStream::connect(unreachable).unwrap_err();
        assert_eq!(failed.kind(), std::io::ErrorKind::NetworkUnreachable);
        let w = start_testbed(ex, 2).await;
        w.set_behavior(served());
        let entries: Vec<String> =
            lost.split(',').map(|id| server_entry(id, unreachable, "std", "active", 0)).collect();
        // One address for two servers would displace the first.
        for (n, entry) in entries.iter().enumerate() {
            let entry = entry.replace(":9\"", &format!(":{}\"", 9 + n));
            w.publish_event(&format!(r#""roster":{{"version":2,"full":false,"servers":[{entry}]}}"#)).await;
        }
        let mut client = Client::connect(w.front).await;
        let mut served = 0;
        for id in 1..=20 {
            let row = format!("{id:016x}");
            client.send(&request(id, "media", &[("row", &row), ("ttl", "600")])).await;
            served += usize::from(with_timeout("an answer", client.answer()).await.unwrap().1.is_none());
            if lost.contains(',') {
                break;
            }
        }
        let sent = w.node.plan(|p, _| p.counters.get(Counter::Sent));
        assert!(sent <= most_attempts, "{sent} attempts");
        assert_eq!(served, if lost.contains(',') { 0 } else { 20 });
    });
}
