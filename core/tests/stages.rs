//! The stages of a request, each by itself.
use threadward_core::stages::intake;
use threadward_core::{ClientRequest, Settings};

/// Without it a router on real nodes knows no size, whatever the front has read.
#[test]
fn what_a_client_states_reaches_the_router() {
    let ask =
        ClientRequest { kbytes: 412.5, part: 7, group: 3, object: 9, due: 1_000, ..ClientRequest::default() };
    let r = intake::router_request(4, &Settings::default(), &ask);
    assert_eq!((r.id, r.size_kb, r.part, r.group, r.object, r.expires_at), (4, 412.5, 7, 3, 9, 1_000));
}
