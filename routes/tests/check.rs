//! Sheets with one fault each: exactly the expected message, at its place; and every rule left out is missed.
use nickelgate::{Class, DedupGroup, Effect, Settings};
use std::ops::RangeInclusive;
use threadward_routes::check::{check_without, Rule};
use threadward_routes::{check, Location, Matches, Platform, Prefix, Route, RouteConfig, Terms, Wait};

const MS: u64 = 1_000;

fn at(line: u32) -> Location {
    Location { file: "routes".into(), line, column: 3 }
}

fn set<T>(value: T) -> Option<threadward_routes::terms::Setting<T>> {
    Some(threadward_routes::terms::Setting { value, at: at(7) })
}

/// Media and pages may be repeated, pages age, bookings are keyed for 3 s, orders may not be repeated.
fn platform() -> Platform {
    let media = Class { deadline: 6000 * MS, target_latency: 600 * MS, ..Class::default() };
    let pages = Class { deadline: 2500 * MS, fresh_for: 8000 * MS, ..media.clone() };
    let bookings = Class {
        deadline: 4000 * MS,
        effect: Effect::Dedup,
        dedup_group: DedupGroup::All,
        dedup_window: 3000 * MS,
        pass_through: true,
        ..Class::default()
    };
    let orders =
        Class { deadline: 3000 * MS, effect: Effect::NotRetryable, pass_through: true, ..Class::default() };
    Platform {
        settings: Settings {
            classes: vec![media, pages, bookings, orders],
            max_attempts: 8,
            parallel_attempts: true,
            ..Settings::default()
        },
        classes: ["media", "pages", "bookings", "orders"].map(String::from).to_vec(),
        connect: 400 * MS,
    }
}

/// A sheet with these terms for one class.
fn class(i: usize, t: Terms) -> RouteConfig {
    let mut s = RouteConfig { classes: vec![Terms::default(); 4], ..RouteConfig::default() };
    s.classes[i] = t;
    s
}

fn route(name: &str, line: u32, matches: Matches, terms: Terms) -> Route {
    Route { name: name.into(), at: at(line), matches, terms }
}

fn routed(matches: Matches, terms: Terms) -> RouteConfig {
    RouteConfig { routes: vec![route("r", 9, matches, terms)], ..RouteConfig::default() }
}

fn of_class(class: u8) -> Matches {
    Matches { class: Some(class), ..Matches::default() }
}

/// Sheets with one fault each.
fn broken() -> Vec<(RouteConfig, Rule)> {
    let d = Terms::default;
    let two = || Terms { attempts: set(2), ..d() };
    let mut all = Vec::new();
    let mut put = |rule, sheet| all.push((sheet, rule));
    put(Rule::Repeat, class(3, two()));
    put(Rule::Repeat, routed(of_class(3), two()));
    put(
        Rule::Repeat,
        RouteConfig {
            routes: vec![route("r", 9, of_class(3), Terms { attempts: set(8), ..d() })],
            ..RouteConfig::default()
        },
    );
    for s in [Wait::After(200 * MS), Wait::Quantile(0.9)] {
        put(Rule::Second, class(3, Terms { second: set(s), ..d() }));
        put(Rule::Second, routed(of_class(3), Terms { second: set(s), ..d() }));
    }
    put(Rule::Window, class(2, two()));
    put(Rule::Window, class(2, Terms { attempts: set(2), deadline: set(3001 * MS), ..d() }));
    put(Rule::Window, routed(of_class(2), Terms { second: set(Wait::After(100 * MS)), ..d() }));
    for (i, late) in [(0, 6001), (1, 2501), (2, 4001), (3, 3001)] {
        put(Rule::GiveUp, class(i, Terms { deadline: set(late * MS), ..d() }));
        put(Rule::GiveUp, routed(of_class(i as u8), Terms { deadline: set(late * MS), ..d() }));
    }
    put(Rule::Floor, class(0, Terms { deadline: set(9 * MS), ..d() }));
    put(Rule::Floor, class(0, Terms { connect: set(MS), ..d() }));
    for w in [1, 9 * MS] {
        put(Rule::Floor, class(0, Terms { first_byte: set(Wait::After(w)), ..d() }));
        put(Rule::Floor, class(1, Terms { whole: set(Wait::After(w)), ..d() }));
        put(Rule::Floor, class(1, Terms { second: set(Wait::After(w)), ..d() }));
    }
    put(Rule::Fit, class(0, Terms { attempts: set(4), pause: set(2000 * MS), ..d() }));
    put(Rule::Fit, class(0, Terms { attempts: set(3), pause: set(2000 * MS), jitter: set(0.5), ..d() }));
    put(Rule::Fit, class(0, Terms { attempts: set(8), first_byte: set(Wait::After(900 * MS)), ..d() }));
    put(
        Rule::Fit,
        routed(of_class(1), Terms { attempts: set(3), whole: set(Wait::After(1250 * MS)), ..d() }),
    );
    for n in [0, 9, 1000, u32::MAX] {
        put(Rule::Tries, class(0, Terms { attempts: set(n), ..d() }));
    }
    put(Rule::Tries, routed(of_class(1), Terms { attempts: set(0), ..d() }));
    for q in [0.0, 0.49, 0.9991, 1.0, 1.5, -1.0, f64::NAN, f64::INFINITY] {
        put(Rule::Range, class(0, Terms { first_byte: set(Wait::Quantile(q)), ..d() }));
    }
    for x in [-0.1, 1.1, f64::NAN] {
        put(Rule::Range, class(0, Terms { jitter: set(x), ..d() }));
        put(Rule::Range, class(1, Terms { budget: set(x), ..d() }));
    }
    put(
        Rule::Order,
        class(0, Terms { first_byte: set(Wait::After(500 * MS)), whole: set(Wait::After(400 * MS)), ..d() }),
    );
    put(Rule::Order, class(1, Terms { whole: set(Wait::After(2500 * MS)), ..d() }));
    put(Rule::Order, class(1, Terms { second: set(Wait::After(2600 * MS)), ..d() }));
    put(
        Rule::Order,
        class(0, Terms { deadline: set(300 * MS), first_byte: set(Wait::After(300 * MS)), ..d() }),
    );
    put(Rule::Connect, class(0, Terms { connect: set(401 * MS), ..d() }));
    put(Rule::Connect, class(0, Terms { connect: set(300 * MS), deadline: set(200 * MS), ..d() }));
    for i in [0, 2, 3] {
        put(Rule::Ageing, class(i, Terms { ageing: set(true), ..d() }));
    }
    put(Rule::Class, routed(of_class(4), d()));
    put(Rule::Class, routed(of_class(255), d()));
    let groups = |g: RangeInclusive<u16>| routed(Matches { groups: vec![g], ..Matches::default() }, d());
    #[allow(clippy::reversed_empty_ranges)]
    for g in [256..=300, 0..=256, 9..=8] {
        put(Rule::Group, groups(g));
    }
    #[allow(clippy::reversed_empty_ranges)]
    put(Rule::Part, routed(Matches { part: Some(5..=4), ..Matches::default() }, d()));
    let nets = (0..65u8).map(|i| format!("10.{i}.0.0/16").parse().unwrap()).collect();
    put(Rule::Many, routed(Matches { clients: nets, ..Matches::default() }, d()));
    for name in ["", "a b", "straße", &"x".repeat(65)] {
        put(
            Rule::Name,
            RouteConfig { routes: vec![route(name, 9, of_class(0), d())], ..RouteConfig::default() },
        );
    }
    let pair = |a: (&str, Matches), b: (&str, Matches)| RouteConfig {
        routes: vec![route(a.0, 9, a.1, d()), route(b.0, 10, b.1, d())],
        ..RouteConfig::default()
    };
    put(Rule::Name, pair(("r", of_class(0)), ("r", of_class(1))));
    put(Rule::Tie, pair(("a", of_class(0)), ("b", of_class(0))));
    let parts = |p| Matches { part: Some(p), ..Matches::default() };
    put(Rule::Tie, pair(("a", parts(0..=9)), ("b", parts(5..=14))));
    let clients = |n: &str| Matches { clients: vec![n.parse().unwrap()], ..Matches::default() };
    put(Rule::Tie, pair(("a", clients("10.0.0.0/8")), ("b", clients("10.0.0.0/8"))));
    let link =
        |host: &str, path: &str| Matches { host: Some(host.into()), path: path.into(), ..Matches::default() };
    put(Rule::Tie, pair(("a", link("h", "/x")), ("b", link("h", "/x/"))));
    let object = |bits: u64, len| Matches { object: Prefix::new(bits, len), ..Matches::default() };
    let three = [object(0, 1), object(0, 2), object(1 << 62, 2)];
    let three = three.into_iter().zip(["a", "b", "c"]).map(|(m, n)| route(n, 9, m, d())).collect();
    put(Rule::Shadowed, RouteConfig { routes: three, ..RouteConfig::default() });
    all
}

#[test]
fn each_broken_sheet_gets_its_one_message() {
    let all = broken();
    assert!(all.len() >= 60, "{}", all.len());
    for (i, (sheet, rule)) in all.iter().enumerate() {
        let faults = check(sheet, &platform());
        let rules: Vec<Rule> = faults.iter().map(|f| f.rule).collect();
        assert_eq!(rules, [*rule], "sheet {i}: {faults:?}");
        let line = faults[0].to_string();
        assert!(
            line.starts_with("routes:") && line.contains(rule.text()) && line.contains(rule.remedy()),
            "{line}"
        );
    }
}

#[test]
fn a_checker_without_one_of_its_rules_is_found_out() {
    let all = broken();
    for rule in Rule::ALL {
        let missed =
            all.iter().filter(|(s, _)| check_without(s, &platform(), Some(*rule)).is_empty()).count();
        assert!(missed > 0, "{rule:?} could be taken out unseen");
    }
}

#[test]
fn what_the_rules_allow_is_taken() {
    let sheet = RouteConfig {
        default: Terms { attempts: set(1), ..Terms::default() },
        classes: vec![
            Terms {
                attempts: set(3),
                first_byte: set(Wait::Quantile(0.95)),
                pause: set(50 * MS),
                jitter: set(0.5),
                ..Terms::default()
            },
            Terms {
                second: set(Wait::After(400 * MS)),
                budget: set(0.1),
                ageing: set(true),
                ..Terms::default()
            },
            Terms {
                attempts: set(2),
                deadline: set(3000 * MS),
                whole: set(Wait::After(1400 * MS)),
                ..Terms::default()
            },
            Terms { deadline: set(2000 * MS), ..Terms::default() },
        ],
        routes: vec![
            route(
                "depot-7",
                12,
                Matches { clients: vec!["10.7.0.0/16".parse().unwrap()], ..of_class(0) },
                Terms { attempts: set(2), ..Terms::default() },
            ),
            route(
                "trailers",
                13,
                Matches { object: Prefix::parse("7f").unwrap(), ..of_class(0) },
                Terms { deadline: set(5000 * MS), ..Terms::default() },
            ),
        ],
    };
    assert_eq!(check(&sheet, &platform()), []);
}

#[test]
fn all_faults_come_in_one_pass_in_the_order_of_the_file() {
    let bad = |line| threadward_routes::terms::Setting { value: 99, at: at(line) };
    let mut sheet = class(0, Terms { attempts: Some(bad(5)), ..Terms::default() });
    sheet.classes[3].attempts = Some(bad(4));
    sheet.routes =
        vec![route("a", 8, of_class(9), Terms::default()), route("a", 9, of_class(1), Terms::default())];
    let lines: Vec<(u32, Rule)> = check(&sheet, &platform()).iter().map(|f| (f.at.line, f.rule)).collect();
    assert_eq!(
        lines,
        [(4, Rule::Repeat), (4, Rule::Tries), (5, Rule::Tries), (8, Rule::Class), (9, Rule::Name)]
    );
}
