//! What makes the proxy close a client's connection, for tests that need each of the causes.
use super::{request, served, start_testbed_with_sockets, Client, Testbed};
use std::net::TcpStream;
use threadward::net::now;

/// Why the proxy closes a connection on which a request was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseTrigger {
    /// Another process takes over.
    GivesWay,
    /// The process shuts down.
    Ends,
    /// Other clients need the slot.
    Evicted,
    /// Nothing has been asked on it for a while.
    Idle,
}

impl CloseTrigger {
    /// Makes the proxy close the connection for this reason, before any task runs. Returns the connections
    /// that have to stay open meanwhile.
    pub fn apply(self, testbed: &Testbed) -> Vec<TcpStream> {
        match self {
            CloseTrigger::GivesWay => testbed.node.hand_over(),
            CloseTrigger::Ends => {
                testbed.node.stopping.set(Some(now() - 950_000));
                let n = testbed.node.clone();
                testbed.ex.spawn(async move { n.wait_until_drained().await }).detach();
            }
            CloseTrigger::Idle => {}
            CloseTrigger::Evicted => {
                return (0..4).map(|_| TcpStream::connect(testbed.front).unwrap()).collect()
            }
        }
        Vec::new()
    }
}

/// Starts a testbed with room for four clients, and a client that was answered once.
pub async fn testbed_with_answered_client(
    ex: &'static async_executor::LocalExecutor<'static>,
) -> (Testbed, Client) {
    let testbed = start_testbed_with_sockets(ex, 1, 8).await;
    testbed.set_behavior(served());
    let mut client = Client::connect(testbed.front).await;
    client.send(&request(1, "media", &[])).await;
    assert_eq!(client.answer().await, Some((1, None, b"whole".to_vec())));
    (testbed, client)
}
