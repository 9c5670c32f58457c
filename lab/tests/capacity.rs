//! The page of capacity, its report, its target and its inputs agree, and any difference is found and named.
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use tempfile::TempDir;
use threadward_budgets::MAX_PROXIES;
use threadward_gossip::keys::MAX_PEERS;
use threadward_lab::capacity::{breakages, units, Files, Inputs, Measured, Ratio};
use threadward_lab::scale::report::Report;
use threadward_lab::scale::target::Target;
use threadward_zones::MAX_ZONES;

/// A report of invented figures, which are nobody's measurement.
const INVENTED: &str = include_str!("data/capacity-invented.json");

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// A copy of the repository's files in a folder of its own.
struct Copy {
    folder: TempDir,
    files: Files,
}

impl Copy {
    fn new() -> Copy {
        let folder = TempDir::new().unwrap();
        let (from, to) = (Files::of_repository(&root()), Files::of_repository(folder.path()));
        fs::create_dir_all(folder.path().join("docs")).unwrap();
        fs::create_dir_all(folder.path().join("deploy")).unwrap();
        for (from, to) in [
            (from.target, &to.target),
            (from.report, &to.report),
            (from.inputs, &to.inputs),
            (from.page, &to.page),
        ] {
            fs::copy(from, to).unwrap();
        }
        Copy { folder, files: to }
    }

    /// A copy whose page is made from the invented report.
    fn invented() -> Copy {
        let copy = Copy::new();
        fs::write(&copy.files.report, INVENTED).unwrap();
        copy.files.write().unwrap();
        assert_eq!(copy.files.check(), Ok(()));
        copy
    }

    fn page(&self) -> String {
        fs::read_to_string(&self.files.page).unwrap()
    }

    fn section(&self, name: &str) -> String {
        let page = self.page();
        let (_, rest) = page.split_once(&format!("<!-- begin generated: {name} -->\n")).unwrap();
        rest.split_once(&format!("<!-- end generated: {name} -->")).unwrap().0.to_owned()
    }

    /// The line of the check's error.
    fn complaint(&self) -> String {
        let line = self.files.check().unwrap_err().to_string();
        assert_eq!(line.lines().count(), 1, "{line}");
        line
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let program = env!("CARGO_BIN_EXE_capacity");
        Command::new(program).args(arguments).arg(self.folder.path()).output().unwrap()
    }
}

/// Replaces words that stand in a file exactly once.
fn edit(file: &Path, from: &str, to: &str) {
    let text = fs::read_to_string(file).unwrap();
    assert_eq!(text.matches(from).count(), 1, "'{from}' in {}", file.display());
    fs::write(file, text.replace(from, to)).unwrap();
}

/// The row of a table that begins with these cells.
fn row(section: &str, start: &str) -> String {
    let found: Vec<&str> = section.lines().filter(|line| line.starts_with(start)).collect();
    assert_eq!(found.len(), 1, "{start}: {found:?}");
    found[0].to_owned()
}

#[test]
fn page_report_target_and_inputs_agree() {
    assert_eq!(Files::of_repository(&root()).check(), Ok(()));
}

#[test]
fn no_figure_is_typed_into_the_text() {
    let page = fs::read_to_string(Files::of_repository(&root()).page).unwrap();
    let mut generated = false;
    for line in page.lines() {
        if line.starts_with("<!-- ") {
            generated = line.starts_with("<!-- begin");
        } else if !generated {
            // Names in backticks may hold digits, text may not.
            let text: String = line.split('`').step_by(2).collect();
            assert!(!text.contains(|letter: char| letter.is_ascii_digit()), "{line}");
        }
    }
}

#[test]
fn written_anew_it_is_as_it_was() {
    let copy = Copy::invented();
    let page = copy.page();
    assert_eq!(copy.files.write(), Ok(false));
    assert_eq!(copy.page(), page);
}

#[test]
fn a_changed_figure_in_the_page_is_found() {
    let copy = Copy::invented();
    let page = copy.page();
    for (name, from, to) in [
        ("target", "| steering proxies | 6,800 |", "| steering proxies | 6,801 |"),
        ("data-path", "1,015 requests/s", "1,016 requests/s"),
        (
            "breaks",
            "| proxies of `[budgets]` without regions and sites | 6,800 | 4,096 | 1.66 |",
            "| proxies of `[budgets]` without regions and sites | 6,800 | 4,096 | 0.66 |",
        ),
        ("inputs", "| `bounds.servers` | 20,000 |", "| `bounds.servers` | 30,000 |"),
    ] {
        edit(&copy.files.page, from, to);
        assert!(copy.complaint().contains(&format!("the table '{name}'")), "{name}: {}", copy.complaint());
        fs::write(&copy.files.page, &page).unwrap();
    }
    assert_eq!(copy.files.check(), Ok(()));
}

#[test]
fn a_changed_report_is_found_however_little() {
    let copy = Copy::invented();
    for (from, to, wanted) in [
        ("\"value\": 0.5 }]", "\"value\": 0.9 }]", "the table 'roles-star'"),
        ("\"cut_hour_used_before\": 0.08", "\"cut_hour_used_before\": 0.09", "the table 'breaks'"),
        ("\"commit\": \"invented\"", "\"commit\": \"another\"", "the table 'run'"),
        // Too small to be seen in three digits.
        ("\"value\": 300000.0", "\"value\": 300000.1", "the table 'run'"),
        (
            "\"value\": 300000.0",
            "\"value\": 450000.0",
            "capacity.json: series 0: its curve is not that of its points",
        ),
    ] {
        edit(&copy.files.report, from, to);
        assert!(copy.complaint().contains(wanted), "{to}: {}", copy.complaint());
        fs::write(&copy.files.report, INVENTED).unwrap();
    }
    assert_eq!(copy.files.check(), Ok(()));
}

#[test]
fn a_changed_target_or_input_is_found() {
    let copy = Copy::invented();
    let target = fs::read_to_string(&copy.files.target).unwrap();
    edit(&copy.files.target, "proxies = 6800", "proxies = 6801");
    assert!(copy.complaint().contains("the table 'target'"));
    fs::write(&copy.files.target, target).unwrap();
    assert_eq!(copy.files.check(), Ok(()));
    edit(&copy.files.inputs, "value = 20000", "value = 40000");
    assert!(copy.complaint().contains("the table 'breaks'"));
}

#[test]
fn the_repositorys_own_report_is_held_to_the_page() {
    let copy = Copy::new();
    assert_eq!(copy.files.check(), Ok(()));
    let report = fs::read_to_string(&copy.files.report).unwrap();
    fs::write(&copy.files.report, report + "\n").unwrap();
    assert!(copy.complaint().contains("the table 'run'"));
    let page = copy.page();
    copy.files.write().unwrap();
    assert_eq!(copy.files.check(), Ok(()));
    assert_ne!(copy.page(), page);
}

#[test]
fn another_fleet_has_a_page_too() {
    let copy = Copy::invented();
    let own = |page: &str| page.split_once("## The run").unwrap().0.to_owned();
    let before = copy.page();
    edit(&copy.files.target, "proxies = 6800", "proxies = 600");
    edit(&copy.files.target, "sites = 300", "sites = 30");
    edit(&copy.files.target, "regions = 30", "regions = 3");
    edit(&copy.files.target, "zones = 82", "zones = 8");
    edit(&copy.files.target, "requests_per_s = 6.9e6", "requests_per_s = 6e5");
    assert!(copy.complaint().contains("the table 'target'"));
    assert_eq!(copy.files.write(), Ok(true));
    assert_eq!(copy.files.check(), Ok(()));
    assert_eq!(own(&copy.page()), own(&before), "the text stays");
    let breaks = copy.section("breaks");
    for (start, need, most) in [
        ("| proxies of `[budgets]`", 600.0, MAX_PROXIES),
        ("| peers of `[gossip]`", 600.0, MAX_PEERS),
        ("| zones of `[zones]`", 8.0, MAX_ZONES),
    ] {
        let ratio = format!("| {} | holds |", units::number(need / most as f64));
        assert!(row(&breaks, start).contains(&ratio), "{ratio} in {breaks}");
    }
    assert!(copy.section("data-path").contains("| a mean proxy, requests | 1,000 requests/s |"));
    // Measured from 100 to 1,000 proxies: 600 lies between.
    assert!(!row(&breaks, "| star: leader of the fleet, budgets |").contains("extrapolated"), "{breaks}");
}

#[test]
fn figures_of_the_invented_report_are_as_reckoned_by_hand() {
    let copy = Copy::invented();
    let roles = copy.section("roles-star");
    // 300 bytes a proxy and second: 2.04 MB of 16,384 bytes; 1e-6 cores a proxy squared: 46.24 of 0.043
    // cores.
    let leader = row(&roles, "| leader of the fleet | budgets | rest |");
    assert!(leader.contains("| 6,800 proxies × 40 B |"), "{leader}");
    assert!(leader.contains("2.04 MB"), "{leader}");
    assert!(leader.contains("| 46.2 cores |"), "{leader}");
    assert!(leader.contains("| 4.3% | 1,075 (processor time) | `budgets/src/grant.rs` |"), "{leader}");
    assert!(leader.contains("extrapolated from 1,000 proxies"), "{leader}");
    // Twice the bytes while all start, and no other figure of that event.
    let start = row(&roles, "| leader of the fleet | budgets | start_all |");
    assert!(start.contains("4.08 MB") && start.contains("not measured"), "{start}");
    let proxy = row(&roles, "| proxy | budgets | rest |");
    assert!(proxy.contains("| constant, 1.2 KB |"), "{proxy}");
    assert!(proxy.contains("| 6,800 proxies |") && !proxy.contains("extrapolated"), "{proxy}");
    // Both parts of a leader: 46.24 and 0.05 cores.
    let both = row(&roles, "| leader of the fleet | together |");
    assert!(both.contains("sum of budgets, zones") && both.contains("| 46.3 cores |"), "{both}");
    // 150 bytes a purge: 183,600 of them in a cut, 346,800 deliveries a second.
    let path = copy.section("data-path");
    assert!(path.contains("| purges of a catch-up after a cut | 183,600: 5.88 MB in memory |"), "{path}");
    assert!(path.contains("| bytes of a catch-up, one proxy | 27.5 MB |"), "{path}");
    assert!(path.contains("| deliveries of purges to all proxies | 346,800/s |"), "{path}");
    assert!(path.contains("| bytes of these deliveries | 52 MB/s |"), "{path}");
}

#[test]
fn the_worst_comes_first_and_nothing_of_the_list_is_missing() {
    let copy = Copy::invented();
    let target = Target::read(&fs::read_to_string(&copy.files.target).unwrap()).unwrap();
    let inputs = Inputs::read(&fs::read_to_string(&copy.files.inputs).unwrap()).unwrap();
    let report: Report = serde_json::from_str(INVENTED).unwrap();
    let rows = breakages(&Measured::new(&report, &target).unwrap(), &inputs);
    let weights: Vec<f64> = rows
        .iter()
        .map(|row| match row.ratio {
            Ratio::NotCarried => f64::INFINITY,
            Ratio::Times(ratio) => ratio,
            Ratio::NotMeasured => f64::NEG_INFINITY,
        })
        .collect();
    assert!(weights.windows(2).all(|pair| pair[0] >= pair[1]), "{weights:?}");
    for wanted in [
        "proxies of `[budgets]`",
        "peers of `[gossip]`",
        "zones of `[zones]`",
        "servers of a list",
        "star: leader of the fleet, budgets",
        "star: leader of the fleet, zones",
        "star: leader of the fleet, sum of budgets, zones",
        "tree: leader of a region, budgets",
        "gossip: a round of probes",
        "gossip: 2,267 witnesses",
        "one list service: 346,800 deliveries of purges a second, 52 MB/s",
        "183,600 purges missed in a cut",
        "seconds until a purge is done at 99 in 100 proxies",
        "connections of a proxy to the caches of its zone",
        "machines for control",
        "a region that is cut off: part of its share of the budgets, floors alone",
        "a region that is cut off: part of its share of the budgets, star",
        "a region that is cut off for 3,600 s: decisions on its zones",
        "21,000 changes of configuration a day",
    ] {
        assert_eq!(rows.iter().filter(|row| row.what.starts_with(wanted)).count(), 1, "{wanted}");
    }
    let ratio = |start: &str| rows.iter().find(|row| row.what.starts_with(start)).unwrap().ratio;
    assert_eq!(ratio("21,000 changes"), Ratio::NotCarried);
    // 150 bytes each, at 16,384 bytes a second.
    assert_eq!(ratio("183,600 purges missed"), Ratio::Times(150.0 * 183_600.0 / 16_384.0 / 2.1));
    assert_eq!(ratio("proxies of `[budgets]`"), Ratio::Times(6800.0 / MAX_PROXIES as f64));
    assert_eq!(ratio("zones of `[zones]`"), Ratio::Times(82.0 / MAX_ZONES as f64));

    assert_eq!(
        ratio("a region that is cut off: part of its share of the budgets, star"),
        Ratio::Times(1.0 / 0.08)
    );
    assert_eq!(ratio("tree: leader of a region, budgets"), Ratio::NotMeasured);
}

#[test]
fn without_series_nothing_is_guessed() {
    let copy = Copy::new();
    fs::write(&copy.files.report, r#"{"commit":"","seconds":0.0,"not_reached":[],"figures":{},"series":[]}"#)
        .unwrap();
    copy.files.write().unwrap();
    let roles = copy.section("roles-star");
    assert!(roles.lines().skip(2).count() >= 8, "{roles}");
    for line in roles.lines().skip(2) {
        assert!(
            line.ends_with("| not measured |") && !line.contains(|letter: char| letter.is_ascii_digit()),
            "{line}"
        );
    }
    let leader = row(&copy.section("breaks"), "| star: leader of the fleet, budgets |");
    assert_eq!(leader.matches("not measured").count(), 5, "{leader}");
}

#[test]
fn what_a_run_measures_takes_the_place_of_what_nothing_does() {
    let copy = Copy::invented();
    let figures = "\"cut_hour_used_before\": 0.08";
    edit(&copy.files.report, figures, "\"cut_hour_used_before\": 0.0, \"config_everywhere_s_p99\": 5.0");
    copy.files.write().unwrap();
    let breaks = copy.section("breaks");
    assert!(row(&breaks, "| 21,000 changes").contains("| 5 s | 10 s | 0.5 | holds |"), "{breaks}");
    let none = row(&breaks, "| a region that is cut off: part of its share of the budgets, star");
    assert!(none.contains("| 1 | 0 | unbounded | late"), "{none}");
}

/// The inputs are bounds of the code that other crates keep to themselves: they follow it.
#[test]
fn inputs_are_those_of_their_sources() {
    let inputs = fs::read_to_string(Files::of_repository(&root()).inputs).unwrap();
    let inputs = Inputs::read(&inputs).unwrap();
    let all = inputs.all();
    let value =
        |name: &str| all.iter().find(|(own, _)| *own == name).and_then(|(_, input)| input.value).unwrap();
    // File, what stands before the number there, and the factor between that number and the input.
    for (name, file, before, factor) in [
        ("bounds.servers", "node/src/bulletin.rs", "const MAX_SERVERS: usize = ", 1.0),
        ("data_path.descriptors", "node/src/config.rs", "max_sockets: limit(\"sockets\", ", 1.0),
        ("data_path.descriptors_program", "node/src/caches.rs", "const RESERVED_DESCRIPTORS: usize = ", 1.0),
        (
            "data_path.connections_per_cache",
            "node/src/caches.rs",
            "const TARGET_CONNECTIONS_PER_MEMBER: usize = ",
            2.0,
        ),
        ("data_path.object_memory_s", "src/rules.rs", "const RATE_MEMORY_MICROS: f64 = ", 2e-6),
        ("purges.memory_factor", "src/rules.rs", "const PURGE_MEMORY_MULTIPLE: f64 = ", 1.0),
    ] {
        let text = fs::read_to_string(root().join(file)).unwrap();
        let (_, rest) = text.split_once(before).unwrap_or_else(|| panic!("'{before}' in {file}"));
        let digits: String = rest.chars().take_while(|letter| "0123456789._".contains(*letter)).collect();
        let found: f64 = digits.replace('_', "").parse().unwrap();
        assert!(
            (value(name) - found * factor).abs() < 1e-9,
            "{name}: {} and {found} times {factor}",
            value(name)
        );
        let (_, input) = all.iter().find(|(own, _)| *own == name).unwrap();
        assert!(input.source.starts_with(file), "{name}: {}", input.source);
    }
    // One part in so many is set aside.
    let budgets = fs::read_to_string(root().join("budgets/src/lib.rs")).unwrap();
    let aside = format!("const FLOOR_DIVISOR: u32 = {};", 1.0 / value("bounds.floor_part"));
    assert!(budgets.contains(&aside), "{aside}");
}

#[test]
fn a_marker_that_is_missing_doubled_or_unknown_is_one_line() {
    let copy = Copy::invented();
    let page = copy.page();
    let marker = "<!-- begin generated: breaks -->";
    let end = "<!-- end generated: breaks -->";
    for (from, to, wanted) in [
        (marker, "", "the marker '<!-- begin generated: breaks -->' stands 0 times"),
        (end, "", "the marker '<!-- end generated: breaks -->' stands 0 times"),
        (end, "<!-- end generated: breaks -->\n<!-- end generated: breaks -->", "stands 2 times"),
        (marker, "<!-- begin generated: braeks -->", "no table is named 'braeks'"),
    ] {
        edit(&copy.files.page, from, to);
        let line = copy.complaint();
        assert!(line.contains("CAPACITY.md: ") && line.contains(wanted), "{line}");
        assert_eq!(copy.files.write().unwrap_err().to_string(), line, "and nothing is written");
        fs::write(&copy.files.page, &page).unwrap();
    }
}

#[test]
fn a_file_that_will_not_do_is_one_line() {
    let bad = |spoil: &dyn Fn(&Copy), wanted: &[&str]| {
        let copy = Copy::invented();
        let page = copy.page();
        spoil(&copy);
        let line = copy.complaint();
        assert!(wanted.iter().all(|words| line.contains(words)), "{line}");
        assert_eq!(copy.files.write().unwrap_err().to_string(), line);
        assert_eq!(copy.page(), page, "nothing is written");
    };
    bad(
        &|copy| edit(&copy.files.target, "sites = 300", "sights = 300"),
        &["target.toml: ", "unknown field `sights`"],
    );
    bad(&|copy| edit(&copy.files.target, "sites = 300", ""), &["target.toml: ", "missing field `sites`"]);
    bad(&|copy| edit(&copy.files.target, "proxies = 6800", "proxies = 0"), &["target.toml: 'fleet.proxies'"]);
    bad(
        &|copy| edit(&copy.files.target, "cut_s = 3600.0", "cut_s = nan"),
        &["target.toml: 'failures.cut_s'"],
    );
    bad(&|copy| fs::write(&copy.files.report, "{").unwrap(), &["capacity.json: EOF while parsing"]);
    bad(&|copy| fs::remove_file(&copy.files.report).unwrap(), &["capacity.json: No such file"]);
    bad(
        &|copy| edit(&copy.files.report, "\"points\": [{ \"at\": 51.0, \"value\": 0.5 }]", "\"points\": []"),
        &["capacity.json: series ", " has no points"],
    );
    bad(
        &|copy| edit(&copy.files.inputs, "value = 20000", "value = -1"),
        &["capacity-inputs.toml: 'bounds.servers'"],
    );
    bad(
        &|copy| edit(&copy.files.inputs, "\"docs/gossip.md, Scale\"", "\" \""),
        &["capacity-inputs.toml: 'bounds.witness_bytes' has no source"],
    );
}

#[test]
fn the_program_writes_and_checks() {
    let copy = Copy::invented();
    assert!(copy.run(&["--check"]).status.success());
    edit(&copy.files.page, "| steering proxies | 6,800 |", "| steering proxies | 9 |");
    let wrong = copy.page();
    let checked = copy.run(&["--check"]);
    let line = String::from_utf8(checked.stderr).unwrap();
    assert_eq!(checked.status.code(), Some(1));
    assert!(line.contains("CAPACITY.md: the table 'target'") && line.lines().count() == 1, "{line}");
    assert_eq!(copy.page(), wrong, "a check writes nothing");
    assert!(copy.run(&[]).status.success());
    assert_ne!(copy.page(), wrong);
    assert!(copy.run(&["--check"]).status.success());
    assert_eq!(copy.run(&["--chekc"]).status.code(), Some(2));
}

#[test]
fn figures_are_written_plainly() {
    assert_eq!(units::number(0.0), "0");
    assert_eq!(units::number(0.000_123_4), "0.000123");
    assert_eq!(units::number(7.0), "7");
    assert_eq!(units::number(99.96), "100");
    assert_eq!(units::number(1_234_567.8), "1,234,568");
    assert_eq!(units::number(12e9), "12,000,000,000");
    assert_eq!(units::number(-1234.0), "-1,234");
    assert_eq!(units::number(f64::NAN), "not measured");
    assert_eq!(units::bytes(0.0), "0 B");
    assert_eq!(units::bytes(999.0), "999 B");
    assert_eq!(units::bytes(999.9), "1 KB");
    assert_eq!(units::bytes(16_384.0), "16.4 KB");
    assert_eq!(units::bits(8.5e12), "8.5 Tbit");
    assert_eq!(units::core(0.043), "4.3%");
    assert_eq!(units::core(52.0), "52 cores");
    assert_eq!(units::core(1.0), "1 core");
}
