//! Cache servers that this machine has no route to: a connection fails at once with a local error. Requests
//! are sent to other servers, and connections to the unreachable ones are not retried without pause.
mod common;
use common::*;
use rstest::rstest;
use std::net::SocketAddr;
use threadward_core::Counter;

/// A connection to this broadcast address fails with ENETUNREACH before a packet is sent.
const UNREACHABLE_ADDR: ([u8; 4], u16) = ([127, 255, 255, 255], 9);

#[rstest]
#[case::one_of_two("s-0", 60)]
#[case::both("s-0,s-1", 400)]
fn an_unreachable_server_is_not_retried_without_pause(
    #[case] unreachable_ids: &str,
    #[case] max_attempts: u64,
) {
    run(|ex| async move {
        let unreachable = SocketAddr::from(UNREACHABLE_ADDR);
        let failed = std::net::TcpStream::connect(unreachable).unwrap_err();
        assert_eq!(failed.kind(), std::io::ErrorKind::NetworkUnreachable);
        let testbed = start_testbed(ex, 2).await;
        testbed.set_behavior(served());
        let entries: Vec<String> =
            unreachable_ids.split(',').map(|id| server_entry(id, unreachable, "std", "active", 0)).collect();
        // Each entry gets a port of its own: a second server at the same address would displace the first.
        for (n, entry) in entries.iter().enumerate() {
            let entry = entry.replace(":9\"", &format!(":{}\"", 9 + n));
            testbed
                .publish_event(&format!(r#""roster":{{"version":2,"full":false,"servers":[{entry}]}}"#))
                .await;
        }
        let mut client = Client::connect(testbed.front).await;
        let mut served = 0;
        for id in 1..=20 {
            let row = format!("{id:016x}");
            client.send(&request(id, "media", &[("row", &row), ("ttl", "600")])).await;
            served += usize::from(with_timeout("an answer", client.answer()).await.unwrap().1.is_none());
            if unreachable_ids.contains(',') {
                break;
            }
        }
        let sent = testbed.node.plan(|p, _| p.counters.get(Counter::Sent));
        assert!(sent <= max_attempts, "{sent} attempts");
        assert_eq!(served, if unreachable_ids.contains(',') { 0 } else { 20 });
    });
}
