//! Compares the index with a plain scan, and the detection of ties and shadowed routes with brute force, on
//! random small tables.
use ipnet::IpNet;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::{IpAddr, Ipv4Addr};
use threadward_routes::cover::{shadowed, ties};
use threadward_routes::table::{find_by_scan, rank};
use threadward_routes::{table, Location, Matches, Prefix, Request, Route, Table, Terms};

fn at(line: usize) -> Location {
    Location { file: "t".into(), line: line as u32, column: 1 }
}

/// Generates conditions from a space small enough to enumerate: two bits of objects, two of addresses, two
/// hosts, a few paths.
fn some_matches() -> impl Strategy<Value = Matches> {
    let groups = prop_oneof![
        3 => Just(vec![]),
        1 => Just(vec![0..=127]),
        1 => Just(vec![128..=255]),
        1 => Just(vec![0..=0, 200..=255]),
    ];
    let object = (0u64..4, 0u8..3).prop_map(|(b, len)| Prefix::new(b << 62, len));
    let part = prop_oneof![2 => Just(None), 1 => Just(Some(0..=3)), 1 => Just(Some(2..=5)), 1 => Just(Some(4..=u32::MAX))];
    let net = (0u32..4, 0u8..3)
        .prop_map(|(b, len)| IpNet::new(Ipv4Addr::from(b << 30).into(), len).unwrap().trunc());
    let clients = prop_oneof![2 => Just(vec![]), 2 => net.clone().prop_map(|n| vec![n]), 1 => proptest::collection::vec(net, 2)];
    let host = prop_oneof![2 => Just(None), 1 => Just(Some("a".into())), 1 => Just(Some("b".into()))];
    let path = prop_oneof![3 => Just(""), 1 => Just("/x"), 1 => Just("/x/y"), 1 => Just("/z")];
    let class = prop_oneof![1 => Just(None), 1 => (0u8..2).prop_map(Some)];
    (class, groups, object, part, clients, host, path).prop_map(
        |(class, groups, object, part, clients, host, path)| Matches {
            class,
            groups,
            object,
            part,
            clients,
            host,
            path: path.into(),
        },
    )
}

fn routes() -> impl Strategy<Value = Vec<Route>> {
    proptest::collection::vec(some_matches(), 0..12).prop_map(|all| {
        let route = |(i, matches): (usize, Matches)| Route {
            name: format!("r{i}").into(),
            at: at(i),
            matches,
            terms: Terms::default(),
        };
        all.into_iter().enumerate().map(route).collect()
    })
}

/// Returns a request for each combination that the generated routes can distinguish.
fn all_requests() -> Vec<Request<'static>> {
    let mut all = Vec::new();
    let links = [
        None,
        Some(("a", "/x/y/w")),
        Some(("a", "/x")),
        Some(("B", "/z/1")),
        Some(("c", "/q")),
        Some(("b", "/xx")),
        Some(("c", "/x/y")),
    ];
    for link in links {
        for class in 0..3 {
            for group in [0, 1, 128, 200] {
                for object in 0..4u64 {
                    for part in [0, 2, 4, 6] {
                        for client in 0..4u32 {
                            let client = IpAddr::V4(Ipv4Addr::from(client << 30 | 5));
                            all.push(Request { class, group, object: object << 62 | 9, part, client, link });
                        }
                    }
                }
            }
        }
    }
    all
}

/// Removes routes until none tie, since loading a file refuses ties.
fn untied(mut all: Vec<Route>) -> Vec<Route> {
    while let Some(t) = ties(&all).first() {
        all.remove(t.second);
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn the_index_finds_what_a_scan_finds(all in routes()) {
        let all = untied(all);
        let t = Table::new(&all);
        for r in all_requests() {
            prop_assert_eq!(t.find(&r), find_by_scan(&all, &r), "{:?}", r);
        }
    }

    #[test]
    fn ties_are_the_pairs_that_some_request_matches_equally(all in routes()) {
        let found: Vec<(usize, usize)> = ties(&all).iter().map(|t| (t.first, t.second)).collect();
        let best = |m: &Matches, r: &Request<'_>| {
            m.clients.iter().filter(|n| n.contains(&r.client)).map(|n| rank(m, Some(n))).max().unwrap_or(rank(m, None))
        };
        let requests = all_requests();
        for i in 0..all.len() {
            for j in i + 1..all.len() {
                let (a, b) = (&all[i].matches, &all[j].matches);
                let some_request_ties = requests.iter().any(|r| {
                    table::matches(a, r) && table::matches(b, r) && best(a, r) == best(b, r)
                });
                // Two lists may share a network that a longer network in both always beats; that is refused
                // as well.
                prop_assert!(!some_request_ties || found.contains(&(i, j)), "{:?} and {:?}", a, b);
                prop_assert!(some_request_ties || !found.contains(&(i, j)) || a.clients.len() + b.clients.len() > 2, "{:?} and {:?}", a, b);
            }
        }
    }

    #[test]
    fn a_shadowed_route_wins_for_no_request(all in routes()) {
        let all = untied(all);
        let t = Table::new(&all);
        let winners: std::collections::BTreeSet<usize> = all_requests().iter().filter_map(|r| t.find(r)).collect();
        for i in shadowed(&all) {
            prop_assert!(!winners.contains(&i), "{:?}", all[i].matches);
        }
    }
}

#[test]
fn two_halves_together_shadow_the_whole() {
    let route =
        |name: &str, m: Matches| Route { name: name.into(), at: at(1), matches: m, terms: Terms::default() };
    let object = |bits: u64, len| Matches { object: Prefix::new(bits, len), ..Matches::default() };
    let all = [route("whole", object(0, 1)), route("low", object(0, 2)), route("high", object(1 << 62, 2))];
    assert_eq!(shadowed(&all), [0]);
    assert!(shadowed(&all[..2]).is_empty());
    let net = |n: &str| Matches { clients: vec![n.parse().unwrap()], ..Matches::default() };
    let all = [route("a", net("10.0.0.0/8")), route("b", net("10.0.0.0/9")), route("c", net("10.128.0.0/9"))];
    assert_eq!(shadowed(&all), [0]);
}
