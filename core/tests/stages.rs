//! Tests of single stages.
use threadward_core::stages::intake;
use threadward_core::{ClientRequest, Settings};

/// If intake dropped what the client states, the router of a real node would know no size, whatever the front
/// end has read.
#[test]
fn stated_values_reach_the_router() {
    let request = ClientRequest {
        size_kb: 412.5,
        part: 7,
        group: 3,
        object: 9,
        expires_at: 1_000,
        ..ClientRequest::default()
    };
    let r = intake::router_request(4, &Settings::default(), &request);
    assert_eq!((r.id, r.size_kb, r.part, r.group, r.object, r.expires_at), (4, 412.5, 7, 3, 9, 1_000));
}
