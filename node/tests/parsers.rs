//! Tables of cases for the parsers. Each message is parsed whole, and many also cut at every byte.
use rstest::rstest;
use threadward::config::{self, address_for_id};
use threadward::wire::{self, Malformed, MsgpackValue, Rpc};
use threadward_core::{Note, Outcome};

#[rstest]
#[case(&[0x07], MsgpackValue::Int(7))]
#[case(&[0xff], MsgpackValue::Int(-1))]
#[case(&[0xd1, 0x80, 0x00], MsgpackValue::Int(-32768))]
#[case(&[0xcf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff], MsgpackValue::Other)]
#[case(&[0xa2, b'h', b'i'], MsgpackValue::Str(b"hi"))]
#[case(&[0xda, 0, 1, b'x'], MsgpackValue::Str(b"x"))]
#[case(&[0xc4, 2, 0, 255], MsgpackValue::Bin(&[0, 255]))]
#[case(&[0x92, 0xc0, 0xc3], MsgpackValue::List(vec![MsgpackValue::Nil, MsgpackValue::Bool(true)]))]
#[case(&[0x81, 0xa1, b'a', 0xc2], MsgpackValue::Map(vec![(MsgpackValue::Str(b"a"), MsgpackValue::Bool(false))]))]
#[case(&[0xd6, 1, 0, 0, 0, 0], MsgpackValue::Other)]
fn message_pack(#[case] bytes: &[u8], #[case] value: MsgpackValue<'_>) {
    assert_eq!(wire::parse_msgpack(bytes), Ok(Some((value, bytes.len()))));
    for n in 0..bytes.len() {
        assert_eq!(wire::parse_msgpack(&bytes[..n]), Ok(None), "cut at {n}");
    }
}

#[rstest]
#[case(&[0xc1], "unused type")]
#[case(&[0xdd, 0xff, 0xff, 0xff, 0xff, 1, 1, 1], "")]
#[case(&[0xc6, 0xff, 0xff, 0xff, 0xff], "frame too long")]
#[case(&[0xc6, 0, 0, 0xff, 0xfc], "frame too long")]
#[case(&[0xc6, 0, 0, 0xff, 0xfb], "")]
#[case(&[0x91; 8], "too many values")]
fn message_pack_bounds(#[case] bytes: &[u8], #[case] why: &'static str) {
    match wire::parse_msgpack(bytes) {
        Err(m) => assert_eq!(m, Malformed(why)),
        Ok(found) => assert!(why.is_empty() && found.is_none()),
    }
}

#[test]
fn requests_and_notices() {
    let bytes = [&[0x94, 0, 7, 0xa5][..], b"media", &[0x90]].concat();
    let request = Rpc::Request { id: 7, method: b"media", params: vec![] };
    assert_eq!(wire::parse_rpc(&bytes), Ok(Some((request, bytes.len()))));
    let bytes = [&[0x93, 2, 0xa1][..], b"c", &[0x91, 7]].concat();
    let notice = Rpc::Notification { method: b"c", params: vec![MsgpackValue::Int(7)] };
    assert_eq!(wire::parse_rpc(&bytes), Ok(Some((notice, bytes.len()))));
    assert!(wire::parse_rpc(&[0x91, 0]).is_err());
}

/// Encoded answers can be parsed again, with bodies at the limits of the length encodings.
#[rstest]
#[case(0)]
#[case(255)]
#[case(256)]
#[case(65_535)]
#[case(65_000)]
fn answers(#[case] n: usize) {
    let body = vec![7u8; n];
    let bytes =
        [wire::encode_served_head(9, n), body.clone(), wire::encode_fields(&[("etag", "x")])].concat();
    let fields = MsgpackValue::Map(vec![(MsgpackValue::Str(b"etag"), MsgpackValue::Str(b"x"))]);
    let whole = MsgpackValue::List(vec![
        MsgpackValue::Int(1),
        MsgpackValue::Int(9),
        MsgpackValue::Nil,
        MsgpackValue::List(vec![MsgpackValue::Bin(&body), fields]),
    ]);
    if n < 65_000 {
        assert_eq!(wire::parse_msgpack(&bytes), Ok(Some((whole, bytes.len()))));
    }
    let code = [0xc4, 0xc5, 0xc6][usize::from(n > 255) + usize::from(n > 65_535)];
    assert_eq!(bytes[9], code);
}

#[rstest]
#[case(b"*2\r\n$2\r\nhi\r\n$0\r\n\r\n", &[&b"hi"[..], b""])]
#[case(b"*1\r\n$4\r\n\r\n\r\n\r\n", &[&b"\r\n\r\n"[..]])]
#[case(b"*0\r\n", &[])]
fn resp(#[case] bytes: &[u8], #[case] parts: &[&[u8]]) {
    assert_eq!(wire::parse_resp(bytes), Ok(Some((parts.to_vec(), bytes.len()))));
    for n in 0..bytes.len() {
        assert_eq!(wire::parse_resp(&bytes[..n]), Ok(None), "cut at {n}");
    }
    if !parts.is_empty() {
        assert_eq!(wire::encode_resp(parts), bytes);
    }
}

#[rstest]
#[case(b"+OK\r\n")]
#[case(b"*9\r\n")]
#[case(b"*1\r\n$-1\r\n")]
#[case(b"*1\r\n$\r\n")]
#[case(b"*1\r\n$999999999\r\n")]
#[case(b"*1\r\n$1\r\nabc")]
#[case(&[b'*'; 80])]
fn resp_malformed(#[case] bytes: &[u8]) {
    assert!(wire::parse_resp(bytes).is_err());
}

#[rstest]
#[case("served", "detail=STALE,took=12.5,use=util:0.5;x0:0.25,version=ab", Outcome::Ok, Note::Stale)]
#[case("still_good", "detail=HIT,version=ab", Outcome::Ok, Note::Hit)]
#[case("served", "detail=MISS_ORIGIN", Outcome::Ok, Note::FilledOrigin)]
#[case("not_here", "detail=UP_MISS", Outcome::Miss, Note::SourceMiss)]
#[case("overload", "detail=NO_FILL", Outcome::Refused, Note::FillSlotsFull)]
#[case("crashed", "detail=ORIGIN_ERR", Outcome::Error, Note::OriginFailed)]
#[case("nobody", "-", Outcome::NotSent, Note::None)]
fn cache_answers(#[case] word: &str, #[case] fields: &str, #[case] outcome: Outcome, #[case] note: Note) {
    let columns = ["cpu", "x1", "x0"].map(str::to_owned);
    let body: &[u8] = if word == "served" { b"body" } else { b"" };
    let parts = [b"9b1f", word.as_bytes(), fields.as_bytes(), body];
    let (id, parsed) = threadward::caches::parse_answer(&parts, &columns).unwrap();
    assert_eq!((&*id, parsed.outcome, parsed.note), ("9b1f", outcome, note));
    assert_eq!(parsed.payload.is_some(), outcome == Outcome::Ok);
    if fields.contains("use=") {
        assert_eq!(
            (parsed.source_wait, parsed.report.count, parsed.report.values),
            (12_500, 3, [0.5, 0.0, 0.25, 0.0])
        );
    }
}

/// Answers that no cache sends are refused: with no known word, without the version, with a body where none
/// is allowed, or with a part missing.
#[rstest]
#[case(&["9b1f", "still_good", "detail=HIT", ""])]
#[case(&["9b1f", "still_good", "version=ab", "body"])]
#[case(&["9b1f", "what", "-", ""])]
#[case(&["9b1f", "served", "version=ab"])]
fn malformed_answers_are_refused(#[case] parts: &[&str]) {
    let parts: Vec<&[u8]> = parts.iter().map(|p| p.as_bytes()).collect();
    assert_eq!(threadward::caches::parse_answer(&parts, &[]), None);
}

#[rstest]
#[case(b"data: a\n\n", Some("a"))]
#[case(b": beat\nid: 4\r\ndata:b\r\n\r\n", Some("b"))]
#[case(b"data: a\ndata: b\n\n", Some("a\nb"))]
#[case(b"data: a\rdata: b\r\n\r\n", Some("a\nb"))]
#[case(b":\n\n", None)]
fn events(#[case] bytes: &[u8], #[case] data: Option<&str>) {
    assert_eq!(wire::parse_sse_event(bytes), Ok(Some((data.map(str::to_owned), bytes.len()))));
    for n in 0..bytes.len() {
        assert_eq!(wire::parse_sse_event(&bytes[..n]), Ok(None), "cut at {n}");
    }
}

#[rstest]
#[case(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", true)]
#[case(b"GET /a HTTP/1.1\r\nHost : x\r\n\r\n", false)]
#[case(b"GET /a HTTP/1.1\r\n folded\r\n\r\n", false)]
#[case(b"\r\n\r\n", false)]
#[case(b"\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n", false)]
#[case(b"GET /a HTTP/1.1\r\nHost: x\n\r\n", false)]
#[case(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", true)]
fn heads(#[case] bytes: &[u8], #[case] good: bool) {
    assert_eq!(wire::parse_http_head(bytes).is_ok_and(|h| h.is_some_and(|(_, n)| n == bytes.len())), good);
}

/// A head that is too long, and one with too many headers, are refused even though they are incomplete.
#[rstest]
#[case(&[b'a'; 16 * 1024 + 1])]
#[case(&[&b"GET /a HTTP/1.1\r\n"[..], &b"A: b\r\n".repeat(101)].concat())]
fn head_bounds(#[case] bytes: &[u8]) {
    assert_eq!(wire::parse_http_head(&bytes[..600]), Ok(None));
    assert!(wire::parse_http_head(bytes).is_err());
}

#[rstest]
#[case(b"2\r\nhi\r\n", Ok(Some((&b"hi"[..], 7))))]
#[case(b"0\r\n\r\n", Ok(Some((&b""[..], 5))))]
#[case(b"2\r\nh", Ok(None))]
#[case(b"zz\r\n", Err(Malformed("size of a chunk")))]
#[case(b"\r\n\r\n", Err(Malformed("size of a chunk")))]
#[case(&[&b"2;"[..], &[b'a'; 70]].concat(), Err(Malformed("line too long")))]
fn chunks(#[case] bytes: &[u8], #[case] found: Result<Option<(&[u8], usize)>, Malformed>) {
    assert_eq!(wire::parse_http_chunk(bytes), found);
}

/// All proxies have to rank members alike, so the address that stands for an id is fixed.
#[test]
fn addresses_for_ids_are_fixed_and_distinct() {
    let a = address_for_id("s-00c41f7a");
    assert_eq!(a, address_for_id("s-00c41f7a"));
    assert!((0..10_000).all(|i| address_for_id(&format!("s-{i:08x}")) != a));
}

#[rstest]
#[case("{", "not JSON")]
#[case("{}", "'settings' is missing")]
#[case(r#"{"settings":{}}"#, "no usable classes")]
#[case(r#"{"settings":{"classes":[{"name":"a"}]}}"#, "'listen'")]
#[case(r#"{"settings":{"classes":[{"name":"a"}]},"listen":"x"}"#, "'listen' is no address")]
fn bad_configurations_are_refused(#[case] json: &str, #[case] expected_error: &str) {
    let line = threadward::config::parse(json).unwrap_err();
    assert!(line.contains(expected_error) && !line.contains('\n'), "{line}");
}

#[rstest]
#[case("x", "not TOML")]
#[case("[signed]\n", "[signed]: no key")]
#[case("[snmp]\nlisten = \"127.0.0.1:1\"\n", "[snmp]: 'community_file' is missing")]
fn bad_operators_files_are_refused(#[case] text: &str, #[case] expected_error: &str) {
    let line = threadward::operators::parse_text(text, "n0", std::path::Path::new(".")).err().unwrap();
    assert!(line.contains(expected_error) && !line.contains('\n'), "{line}");
}

/// `deploy/signed.toml` is valid as it is, once its secrets exist.
#[test]
fn the_signed_file_in_deploy_is_valid() {
    let folder = std::env::temp_dir().join(format!("threadward-fronts-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("secrets")).unwrap();
    std::fs::write(folder.join("secrets/depot-1.key"), "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY\n")
        .unwrap();
    std::fs::write(folder.join("secrets/community"), "depot\n").unwrap();
    let text = include_str!("../../deploy/signed.toml");
    let operators_file = threadward::operators::parse_text(text, "n0", &folder).unwrap();
    let (signed, snmp) = (operators_file.signed.unwrap(), operators_file.snmp.unwrap());
    assert_eq!(
        (signed.keys["depot-1"].len(), signed.skew, snmp.community.as_str()),
        (32, 2_000_000, "depot")
    );
    let other = threadward::operators::parse_text(text, "n9", &folder).err().unwrap();
    assert!(other.contains("n9"), "{other}");
    std::fs::write(folder.join("secrets/depot-1.key"), "c2hvcnQ").unwrap();
    assert!(threadward::operators::parse_text(text, "n0", &folder).err().unwrap().contains("shorter"));
    std::fs::remove_dir_all(folder).unwrap();
}

/// A weight that cannot be used counts as not given.
#[rstest]
#[case("7.5", 7.5)]
#[case("0", 0.0)]
#[case("-3", 0.0)]
#[case("1e300", 0.0)]
#[case("null", 0.0)]
#[case("\"NaN\"", 0.0)]
fn weights(#[case] given: &str, #[case] parsed_weight: f32) {
    let json = format!(
        r#"{{"no":1,"roster":{{"full":true,"servers":[{{"id":"s","addr":"127.0.0.1:9","state":"active","weight":{given}}}]}}}}"#
    );
    let (_, b) =
        config::parse_event(&serde_json::from_str(&json).unwrap(), &config::Names::default()).unwrap();
    let Some(config::DiscoveryEvent::Members { servers, .. }) = b else { panic!("no list") };
    assert_eq!(servers[0].entry.weight, parsed_weight);
}

/// Parses a client's request of the first class, with further fields, as the front does.
fn parse_client_request(extra: &[(&'static str, &'static str)]) -> Option<threadward_core::ClientRequest> {
    let class = nickelgate::Class { deadline: 6_000_000, ..Default::default() };
    let settings = threadward_core::Settings { classes: vec![class], ..Default::default() };
    let base = [
        ("call", "9b1f03aa5c7e2d41"),
        ("ttl", "1500"),
        ("row", "7f3a9c21e0b4d655"),
        ("seg", "3"),
        ("bucket", "17"),
    ];
    let map = base
        .iter()
        .chain(extra)
        .map(|(k, v)| (MsgpackValue::Str(k.as_bytes()), MsgpackValue::Str(v.as_bytes())))
        .collect();
    threadward::front::parse_request(
        &["survey".into()],
        &settings,
        b"survey",
        &[MsgpackValue::Map(map), MsgpackValue::Bin(b"")],
        0,
    )
}

#[rstest]
#[case(&[("heap", "412.5")], 412.5)]
#[case(&[("heap", "7")], 7.0)]
#[case(&[], 0.0)]
#[case(&[("heap", "-3")], 0.0)]
#[case(&[("heap", "inf")], 0.0)]
#[case(&[("heap", "1e3")], 0.0)]
#[case(&[("heap", "")], 0.0)]
#[case(&[("heap", "99999999999")], 0.0)]
fn a_stated_size_reaches_the_request_and_a_bad_one_is_ignored(
    #[case] extra: &[(&'static str, &'static str)],
    #[case] kbytes: f32,
) {
    let client_request = parse_client_request(extra).expect("the request is accepted whatever its size is");
    assert_eq!(client_request.size_kb, kbytes);
}
