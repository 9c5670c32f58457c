//! Tests of the checker: a configuration with one violation gets exactly the expected message, and a checker
//! without one of its rules is detected.
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

/// Returns a platform with four classes: media and pages may be repeated, pages age, bookings are keyed for 3
/// s, orders may not be repeated.
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

/// Returns a configuration with these terms for one class.
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

/// Returns configurations with one violation each, and the violated rule.
fn invalid_configs() -> Vec<(RouteConfig, Rule)> {
    let unset = Terms::default;
    let two = || Terms { attempts: set(2), ..unset() };
    let mut all = Vec::new();
    let mut add = |rule, config| all.push((config, rule));
    add(Rule::Repeat, class(3, two()));
    add(Rule::Repeat, routed(of_class(3), two()));
    add(
        Rule::Repeat,
        RouteConfig {
            routes: vec![route("r", 9, of_class(3), Terms { attempts: set(8), ..unset() })],
            ..RouteConfig::default()
        },
    );
    for s in [Wait::After(200 * MS), Wait::Quantile(0.9)] {
        add(Rule::SecondAttempt, class(3, Terms { second: set(s), ..unset() }));
        add(Rule::SecondAttempt, routed(of_class(3), Terms { second: set(s), ..unset() }));
    }
    add(Rule::Window, class(2, two()));
    add(Rule::Window, class(2, Terms { attempts: set(2), deadline: set(3001 * MS), ..unset() }));
    add(Rule::Window, routed(of_class(2), Terms { second: set(Wait::After(100 * MS)), ..unset() }));
    for (i, late) in [(0, 6001), (1, 2501), (2, 4001), (3, 3001)] {
        add(Rule::GiveUp, class(i, Terms { deadline: set(late * MS), ..unset() }));
        add(Rule::GiveUp, routed(of_class(i as u8), Terms { deadline: set(late * MS), ..unset() }));
    }
    add(Rule::MinSpan, class(0, Terms { deadline: set(9 * MS), ..unset() }));
    add(Rule::MinSpan, class(0, Terms { connect: set(MS), ..unset() }));
    for w in [1, 9 * MS] {
        add(Rule::MinSpan, class(0, Terms { first_byte: set(Wait::After(w)), ..unset() }));
        add(Rule::MinSpan, class(1, Terms { whole: set(Wait::After(w)), ..unset() }));
        add(Rule::MinSpan, class(1, Terms { second: set(Wait::After(w)), ..unset() }));
    }
    add(Rule::Fit, class(0, Terms { attempts: set(4), pause: set(2000 * MS), ..unset() }));
    add(Rule::Fit, class(0, Terms { attempts: set(3), pause: set(2000 * MS), jitter: set(0.5), ..unset() }));
    add(Rule::Fit, class(0, Terms { attempts: set(8), first_byte: set(Wait::After(900 * MS)), ..unset() }));
    add(
        Rule::Fit,
        routed(of_class(1), Terms { attempts: set(3), whole: set(Wait::After(1250 * MS)), ..unset() }),
    );
    for n in [0, 9, 1000, u32::MAX] {
        add(Rule::AttemptCount, class(0, Terms { attempts: set(n), ..unset() }));
    }
    add(Rule::AttemptCount, routed(of_class(1), Terms { attempts: set(0), ..unset() }));
    for q in [0.0, 0.49, 0.9991, 1.0, 1.5, -1.0, f64::NAN, f64::INFINITY] {
        add(Rule::Range, class(0, Terms { first_byte: set(Wait::Quantile(q)), ..unset() }));
    }
    for x in [-0.1, 1.1, f64::NAN] {
        add(Rule::Range, class(0, Terms { jitter: set(x), ..unset() }));
        add(Rule::Range, class(1, Terms { budget: set(x), ..unset() }));
    }
    add(
        Rule::Order,
        class(
            0,
            Terms { first_byte: set(Wait::After(500 * MS)), whole: set(Wait::After(400 * MS)), ..unset() },
        ),
    );
    add(Rule::Order, class(1, Terms { whole: set(Wait::After(2500 * MS)), ..unset() }));
    add(Rule::Order, class(1, Terms { second: set(Wait::After(2600 * MS)), ..unset() }));
    add(
        Rule::Order,
        class(0, Terms { deadline: set(300 * MS), first_byte: set(Wait::After(300 * MS)), ..unset() }),
    );
    add(Rule::Connect, class(0, Terms { connect: set(401 * MS), ..unset() }));
    add(Rule::Connect, class(0, Terms { connect: set(300 * MS), deadline: set(200 * MS), ..unset() }));
    for i in [0, 2, 3] {
        add(Rule::Ageing, class(i, Terms { ageing: set(true), ..unset() }));
    }
    add(Rule::Class, routed(of_class(4), unset()));
    add(Rule::Class, routed(of_class(255), unset()));
    let groups = |g: RangeInclusive<u16>| routed(Matches { groups: vec![g], ..Matches::default() }, unset());
    #[allow(clippy::reversed_empty_ranges)]
    for g in [256..=300, 0..=256, 9..=8] {
        add(Rule::Group, groups(g));
    }
    #[allow(clippy::reversed_empty_ranges)]
    add(Rule::Part, routed(Matches { part: Some(5..=4), ..Matches::default() }, unset()));
    let nets = (0..65u8).map(|i| format!("10.{i}.0.0/16").parse().unwrap()).collect();
    add(Rule::TooMany, routed(Matches { clients: nets, ..Matches::default() }, unset()));
    for name in ["", "a b", "straße", &"x".repeat(65)] {
        add(
            Rule::Name,
            RouteConfig { routes: vec![route(name, 9, of_class(0), unset())], ..RouteConfig::default() },
        );
    }
    let pair = |a: (&str, Matches), b: (&str, Matches)| RouteConfig {
        routes: vec![route(a.0, 9, a.1, unset()), route(b.0, 10, b.1, unset())],
        ..RouteConfig::default()
    };
    add(Rule::Name, pair(("r", of_class(0)), ("r", of_class(1))));
    add(Rule::Tie, pair(("a", of_class(0)), ("b", of_class(0))));
    let parts = |p| Matches { part: Some(p), ..Matches::default() };
    add(Rule::Tie, pair(("a", parts(0..=9)), ("b", parts(5..=14))));
    let clients = |n: &str| Matches { clients: vec![n.parse().unwrap()], ..Matches::default() };
    add(Rule::Tie, pair(("a", clients("10.0.0.0/8")), ("b", clients("10.0.0.0/8"))));
    let link =
        |host: &str, path: &str| Matches { host: Some(host.into()), path: path.into(), ..Matches::default() };
    add(Rule::Tie, pair(("a", link("h", "/x")), ("b", link("h", "/x/"))));
    let object = |bits: u64, len| Matches { object: Prefix::new(bits, len), ..Matches::default() };
    let three = [object(0, 1), object(0, 2), object(1 << 62, 2)];
    let three = three.into_iter().zip(["a", "b", "c"]).map(|(m, n)| route(n, 9, m, unset())).collect();
    add(Rule::Shadowed, RouteConfig { routes: three, ..RouteConfig::default() });
    all
}

#[test]
fn each_invalid_config_gets_exactly_one_message() {
    let all = invalid_configs();
    assert!(all.len() >= 60, "{}", all.len());
    for (i, (config, rule)) in all.iter().enumerate() {
        let violations = check(config, &platform());
        let rules: Vec<Rule> = violations.iter().map(|f| f.rule).collect();
        assert_eq!(rules, [*rule], "config {i}: {violations:?}");
        let line = violations[0].to_string();
        assert!(
            line.starts_with("routes:") && line.contains(rule.text()) && line.contains(rule.remedy()),
            "{line}"
        );
    }
}

#[test]
fn a_checker_without_one_of_its_rules_is_detected() {
    let all = invalid_configs();
    for rule in Rule::ALL {
        let undetected =
            all.iter().filter(|(s, _)| check_without(s, &platform(), Some(*rule)).is_empty()).count();
        assert!(undetected > 0, "no test detects a checker without {rule:?}");
    }
}

#[test]
fn a_valid_config_has_no_violations() {
    let config = RouteConfig {
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
    assert_eq!(check(&config, &platform()), []);
}

#[test]
fn all_violations_are_found_in_one_pass_in_the_order_of_the_file() {
    let bad = |line| threadward_routes::terms::Setting { value: 99, at: at(line) };
    let mut config = class(0, Terms { attempts: Some(bad(5)), ..Terms::default() });
    config.classes[3].attempts = Some(bad(4));
    config.routes =
        vec![route("a", 8, of_class(9), Terms::default()), route("a", 9, of_class(1), Terms::default())];
    let lines: Vec<(u32, Rule)> = check(&config, &platform()).iter().map(|f| (f.at.line, f.rule)).collect();
    assert_eq!(
        lines,
        [
            (4, Rule::Repeat),
            (4, Rule::AttemptCount),
            (5, Rule::AttemptCount),
            (8, Rule::Class),
            (9, Rule::Name)
        ]
    );
}
