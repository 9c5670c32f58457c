//! Tests the example frames of the wire's specification, malformed frames, and the lenient settings.
use nickelgate_drill::{parse_settings, read_frame, RouterHost};

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|d| u8::from_str_radix(std::str::from_utf8(d).expect("ascii"), 16).expect("hex"))
        .collect()
}

fn record(text: &str) -> Vec<u8> {
    let mut r = hex(text);
    r.resize(56, 0);
    r
}

fn frame(now: u64, number: u32, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let len = 20 + 56 * records.len() + tail.len();
    let mut f = Vec::new();
    f.extend((records.len() as u32).to_le_bytes());
    f.extend((len as u32).to_le_bytes());
    f.extend(now.to_le_bytes());
    f.extend(number.to_le_bytes());
    records.iter().for_each(|r| f.extend(r));
    f.extend(tail);
    f
}

const SETTINGS: &str = r#"{"zone": 0, "tick": 2000, "classes": [{"aim": 300000, "hard_limit": 2500000,
    "effect": "retryable", "importance": 1}], "limits": {"most_tries": 6}, "unknown": [1, {"x": null}],
    "family_info": {"mid_kind": 2, "store_kind": 3, "collapses": true}}"#;

/// Returns a host with one instance and one cache: that of the specification's list, except for its kind.
fn host_with_one_cache() -> RouterHost {
    let mut tail = SETTINGS.as_bytes().to_vec();
    let at = tail.len() as u32;
    tail.extend(hex("0000 0a124a07 931f 0000000000000000 0000 0000803f 01 00"));
    let mut open = record("01 0300 0100000000000000 00000000");
    open[15..19].copy_from_slice(&at.to_le_bytes());
    let mut list = record("02 0300 03 29000000");
    list[8..12].copy_from_slice(&at.to_le_bytes());
    list[12..16].copy_from_slice(&1u32.to_le_bytes());
    let mut host = RouterHost::default();
    host.handle_frame(&frame(8_412_250, 1, &[open, list], &tail)).expect("a good frame");
    host
}

#[test]
fn the_specified_empty_frame_gets_its_reply() {
    let batch = hex("00000000 14000000 5a5c800000000000 01000000");
    assert_eq!(RouterHost::default().handle_frame(&batch).expect("good"), hex("0c000000 00000000 01000000"));
}

#[test]
fn the_specified_request_becomes_a_get() {
    let ingress = record(
        "03 0300 c4913a5df85b0800 00 0000 640ad2557c3bf091 da05840000000000 00002044 00003041 00004040 01",
    );
    let reply = host_with_one_cache().handle_frame(&frame(8_412_250, 2, &[ingress], &[])).expect("good");
    let (len, n) = (reply.len() as u32, u32::from_le_bytes(reply[4..8].try_into().expect("four")));
    assert_eq!(u32::from_le_bytes(reply[0..4].try_into().expect("four")), len);
    assert_eq!(reply.len(), 12 + 40 * n as usize);
    let get = &reply[12..52];
    assert_eq!(get[0], 77);
    assert_eq!(get[1..11], hex("0300 c4913a5df85b0800"));
    assert_eq!(get[15..21], hex("0a124a07 931f"));
    assert_eq!(get[22..28], hex("0a124a07 931f"), "no parent and no origin: no fill");
}

#[test]
fn the_specified_outcome_ends_the_request() {
    let mut host = host_with_one_cache();
    let ingress = record(
        "03 0300 c4913a5df85b0800 00 0000 640ad2557c3bf091 da05840000000000 00002044 00003041 00004040 01",
    );
    host.handle_frame(&frame(8_412_250, 2, &[ingress], &[])).expect("good");
    let done = record("05 0300 c4913a5df85b0800 0000 0a124a07 931f 6400 44480000 01 02000000 b8240000 00");
    let timer = record("07 0300 01000000");
    let expired = record("06 0500 192b6f0e75350000");
    let reply = host.handle_frame(&frame(8_430_750, 3, &[done, timer, expired], &[])).expect("good");
    assert_eq!(reply, hex("0c000000 00000000 03000000"), "nothing is left to do");
}

#[test]
fn the_specified_purge_and_the_close_of_an_instance_are_accepted() {
    let mut host = host_with_one_cache();
    let purge = record("0b 0300 084c0100 010ad2557c000000 0b00");
    let reply = host.handle_frame(&frame(8_420_000, 2, &[purge, record("0a 0300")], &[])).expect("good");
    assert_eq!(reply.len(), 12);
    let late = record("07 0300 4d000000");
    assert_eq!(host.handle_frame(&frame(8_430_000, 3, &[late], &[])).expect("good").len(), 12);
}

#[test]
fn malformed_frames_are_errors_not_panics() {
    let good = frame(1, 1, &[record("06 0500 192b6f0e75350000")], &[]);
    for cut in 1..good.len() {
        assert!(read_frame(&mut &good[..cut]).is_err(), "cut at {cut}");
        assert!(RouterHost::default().handle_frame(&good[..cut]).is_err(), "cut at {cut}");
    }
    assert_eq!(read_frame(&mut &good[..0]), Ok(None), "a clean end");
    let mut short = good.clone();
    short[4] = 3;
    assert!(read_frame(&mut &short[..]).is_err());
    let mut many = good.clone();
    many[0..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(RouterHost::default().handle_frame(&many).is_err());
    for bad in
        ["63", "05 0300 0000000000000000 0000 00000000 0000 ffff", "02 0300 09", "02 0300 04 00000000 ff"]
    {
        assert!(host_with_one_cache().handle_frame(&frame(1, 1, &[record(bad)], &[])).is_err(), "{bad}");
    }
    let far = record("02 0300 04 00000000 ffffffff ffffffff");
    assert!(RouterHost::default().handle_frame(&frame(1, 1, &[far], &[])).is_err());
}

#[test]
fn settings_are_read_leniently_but_must_be_an_object() {
    let s = parse_settings(SETTINGS.as_bytes()).expect("good");
    assert_eq!((s.parent_kind, s.origin_kind, s.max_attempts, s.fill_joining), (Some(2), Some(3), 6, true));
    assert_eq!(s.classes.len(), 1);
    assert!(parse_settings(b"{}").is_ok());
    assert_eq!(parse_settings(br#"{"family_info": {"mid_kind": -1}}"#).expect("good").parent_kind, None);
    // Whatever is written, sums with a time of the clock do not overflow. Numbers may have a decimal point.
    let odd = r#"{"tick": 1e300, "classes": [{"aim": -5, "hard_limit": 1e300, "importance": -1, "dedup_window": 3e6}],
        "family_info": {"class_fresh": [8e6], "mid_kind": 1.0, "store_kind": 0.5, "count_by_zone": [4000000000, 4000000000, 2.0],
        "one_flow_kb_per_s": 1e-300}, "limits": {"most_tries": 1e300}}"#;
    let s = parse_settings(odd.as_bytes()).expect("good");
    let c = &s.classes[0];
    assert_eq!(
        (s.min_event_interval, c.target_latency, c.deadline),
        (1_000_000_000_000, 1_000_000_000_000, 1_000_000_000_000)
    );
    assert_eq!((c.value, c.dedup_window, c.fresh_for), (0.0, 3_000_000, 8_000_000));
    assert_eq!(
        (s.parent_kind, s.origin_kind, s.max_attempts, s.transfer_kb_per_s),
        (Some(1), None, 1_000, 0.0)
    );
    assert!(s.routers_by_zone.iter().try_fold(0u32, |sum, n| sum.checked_add(*n)).is_some());
    for bad in [&b"[1]"[..], b"{\"zone\": ", b"", b"\xff\xfe"] {
        assert!(parse_settings(bad).is_err());
    }
}
