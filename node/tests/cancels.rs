//! Which cache servers are sent `cancel`, and when.
mod common;
use common::*;
use rstest::rstest;
use threadward::net::{now, sleep_until};

/// Guards against a command that the settings forbid: with `limits.cancel` false a cache is not told when the
/// time of a request has passed or its client has gone.
#[rstest]
#[case::allowed(true)]
#[case::forbidden(false)]
fn cancel_is_written_only_where_the_settings_allow_it(#[case] allowed: bool) {
    run(|ex| async move {
        let testbed = start_testbed_with_config(ex, 1, |text| {
            text.replace(r#""cancel":true"#, &format!(r#""cancel":{allowed}"#))
        })
        .await;
        let mut client = Client::connect(testbed.front).await;
        client.send(&[request(1, "media", &[("ttl", "200")]), request(2, "media", &[])].concat()).await;
        wait_until("both attempts", || testbed.received_requests().len() == 2).await;
        client.send(&cancel(2)).await;
        assert_eq!(with_timeout("the end of its time", client.answer()).await.unwrap().0, 1);
        sleep_until(now() + 300_000).await;
        let cancels = testbed.caches[0].commands.borrow().iter().filter(|parts| parts[0] == "cancel").count();
        assert_eq!(cancels, if allowed { 2 } else { 0 });
    });
}
