//! Measures the look-up of routes (`make measure-routes`): the index and a plain scan, with the same tables
//! and the same requests from seed 1. The last line of the output is JSON. The program exits with 1 if the
//! two disagree.
use ipnet::{IpNet, Ipv4Net};
use rand_core::RngCore;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;
use threadward_lab::stream;
use threadward_routes::table::find_by_scan;
use threadward_routes::{Location, Matches, Prefix, Request, Route, Table, Terms};

/// Seed of all random numbers.
const SEED: u64 = 1;
/// Number of requests that are looked up.
const REQUEST_COUNT: usize = 4_000;

/// Returns routes as an installation could have them: by network, by object, by path and by class.
fn routes(n: usize) -> Vec<Route> {
    let mut rng = stream(SEED, 1);
    let at = Location { file: "measure".into(), line: 1, column: 1 };
    let one = |i: usize| {
        let (a, b, c) = (rng.next_u64(), rng.next_u64(), rng.next_u32());
        let net = Ipv4Net::new(Ipv4Addr::from(10 << 24 | c >> 8), 16 + (b % 13) as u8)
            .map(|n| IpNet::V4(n.trunc()));
        let class = Some((b >> 8) as u8 % 3);
        let matches = match i % 4 {
            0 => Matches { clients: net.into_iter().collect(), class, ..Matches::default() },
            1 => Matches { object: Prefix::new(a, 20 + (b % 5) as u8 * 4), class, ..Matches::default() },
            2 => Matches {
                host: Some(format!("h{}.example", b % 50).into()),
                path: format!("/p{}/{}", a % 1000, b % 977).into(),
                ..Matches::default()
            },
            _ => Matches {
                object: Prefix::new(a, 12),
                clients: net.into_iter().collect(),
                ..Matches::default()
            },
        };
        Route { name: format!("r{i}").into(), at: at.clone(), matches, terms: Terms::default() }
    };
    let mut all: Vec<Route> = (0..n * 2).map(one).collect();
    let ties = threadward_routes::cover::ties(&all);
    let drop: std::collections::BTreeSet<usize> = ties.iter().map(|t| t.second).collect();
    let mut i = 0;
    all.retain(|_| (!drop.contains(&i), i += 1).0);
    all.truncate(n);
    all
}

/// Returns requests, about half of which are derived from a route. The others are random.
fn requests(routes: &[Route]) -> Vec<(Request<'static>, Option<(String, String)>)> {
    let mut rng = stream(SEED, 2);
    let one = |_| {
        let r = &routes[rng.next_u32() as usize % routes.len()].matches;
        let near = rng.next_u32().is_multiple_of(2);
        let object =
            if near { r.object.bits | rng.next_u64() >> r.object.len.min(63) } else { rng.next_u64() };
        let client = match r.clients.first() {
            Some(n) if near => n.addr(),
            _ => IpAddr::V4(Ipv4Addr::from(10 << 24 | rng.next_u32() >> 8)),
        };
        let link = r.host.as_ref().filter(|_| near).map(|h| (h.to_string(), format!("{}/x/y", r.path)));
        let class = r.class.unwrap_or(rng.next_u32() as u8 % 3);
        (Request { class, group: 7, object, part: 1, client, link: None }, link)
    };
    (0..REQUEST_COUNT).map(one).collect()
}

/// Returns the nanoseconds of one look-up, as the best of some rounds.
fn lookup_time(all: &[Request<'_>], rounds: usize, f: impl Fn(&Request<'_>) -> Option<usize>) -> f64 {
    let round = |_| {
        let started = Instant::now();
        for r in all {
            black_box(f(black_box(r)));
        }
        started.elapsed().as_secs_f64() * 1e9 / all.len() as f64
    };
    (0..rounds).map(round).fold(f64::INFINITY, f64::min)
}

fn main() {
    let mut figures = Vec::new();
    let mut wrong = 0;
    for n in [10, 1_000, 100_000] {
        let all = routes(n);
        let started = Instant::now();
        let table = Table::new(&all);
        let built = started.elapsed().as_secs_f64() * 1e3;
        let drawn = requests(&all);
        let asked: Vec<Request<'_>> = drawn
            .iter()
            .map(|(r, link)| Request { link: link.as_ref().map(|(h, p)| (h.as_str(), p.as_str())), ..*r })
            .collect();
        let some = &asked[..if n > 10_000 { 200 } else { REQUEST_COUNT }];
        wrong += some.iter().filter(|r| table.find(r) != find_by_scan(&all, r)).count();
        let hits = asked.iter().filter(|r| table.find(r).is_some()).count();
        let index = lookup_time(&asked, 20, |r| table.find(r));
        let plain = lookup_time(some, 3, |r| find_by_scan(&all, r));
        println!("{n:>7} routes ({}): index {index:.0} ns, scan {plain:.0} ns, built in {built:.1} ms, {hits} of {REQUEST_COUNT} hit", all.len());
        figures.push((index, plain));
    }
    let round = |x: f64| (x * 100.0).round() / 100.0;
    let json = serde_json::json!({
        "lookup_ns_100k_over_10": round(figures[2].0 / figures[0].0),
        "scan_over_index_100k": round(figures[2].1 / figures[2].0),
        "lookup_ns_10": round(figures[0].0),
        "lookup_ns_1k": round(figures[1].0),
        "lookup_ns_100k": round(figures[2].0),
        "rules_broken": wrong,
    });
    println!("{json}");
    std::process::exit(i32::from(wrong > 0));
}
