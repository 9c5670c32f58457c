//! The operators' file as `check` and a start read it: an error names the file, the line and the nearest
//! known name.
mod common;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use std::path::{Path, PathBuf};
use std::process::Command;
use threadward::operators::{self, Division};
use threadward_control::{Scope, SharedBudget};

/// All parts with all their keys, each on a line of its own, without regions.
const EXAMPLE_WITHOUT_REGIONS: &str = r#"[signed]
base = "https://media.example"
skew_ms = 2000
register = 10
audience = "depot"
[[signed.front]]
name = "n0"
listen = "127.0.0.1:8440"
url = "http://127.0.0.1:8440"
[[signed.key]]
kid = "k"
alg = "HS256"
secret_file = "secrets/depot-1.key"
[snmp]
listen = "127.0.0.1:1161"
community_file = "secrets/community"
[gossip]
secret_file = "secrets/gossip.key"
period_ms = 1000
floor_bytes_per_s = 80
bytes_per_request = 0.75
checks_per_s = 50
faults = 0
probes_per_s = 0.5
[[gossip.peer]]
name = "n0"
address = "127.0.0.1:7946"
keys = ["OWN"]
seed = true
[budgets]
secret_file = "secrets/budgets.key"
lease_ms = 1200
probes_per_cache_s = 5
cold_per_s = 200
[[budgets.proxy]]
name = "n0"
address = "127.0.0.1:7956"
voter = true
[zones]
"#;
/// The keys of `[budgets]` for proxies with regions, which cannot be combined with `voter` and `[zones]`.
const EXAMPLE_WITH_REGIONS: &str = r#"[budgets]
secret_file = "secrets/budgets.key"
lease_ms = 1200
probes_per_cache_s = 5
cold_per_s = 200
probes_scope = "region"
cold_scope = "fleet"
[[budgets.proxy]]
name = "n0"
address = "127.0.0.1:7956"
region = "north"
site = "ams"
"#;
const PART_NAMES: &str = "signed, snmp, gossip, budgets, zones";
/// The public key in `deploy/gossip.toml`, whose secret does not exist any more.
const SAMPLE_PUBLIC_KEY: &str = "icBDw_AiNSGmi3Sfaa3BGysgh0gfMHi3Mp8CoKDR5Fc";

/// A folder of one test, with the secrets that the examples name.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(what: &str) -> TestFolder {
        let folder = std::env::temp_dir().join(format!("threadward-operators-{what}-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("secrets")).unwrap();
        let key = URL_SAFE_NO_PAD.encode([7; 32]);
        for name in ["depot-1.key", "gossip.key", "budgets.key", "community"] {
            std::fs::write(folder.join("secrets").join(name), &key).unwrap();
        }
        TestFolder(folder)
    }
    /// Returns the error from reading a text as `x.toml`, without the folder's name; empty if there is none.
    fn read_error(&self, text: impl AsRef<[u8]>) -> String {
        let path = self.0.join("x.toml");
        std::fs::write(&path, text).unwrap();
        self.without_folder(operators::read(&path, "n0").err().unwrap_or_default())
    }
    /// Removes the folder's name from an error.
    fn without_folder(&self, line: String) -> String {
        line.replace(&format!("{}/", self.0.display()), "")
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// Returns the public key of the secret that the folder has.
fn test_public_key() -> String {
    URL_SAFE_NO_PAD.encode(threadward_gossip::public_key(&[7; 32]))
}

#[test]
fn every_key_and_table_is_checked_by_name_and_type() {
    let folder = TestFolder::new("full");
    let full = EXAMPLE_WITHOUT_REGIONS.replace("OWN", &test_public_key());
    assert!(PART_NAMES.split(", ").all(|p| full.contains(&format!("[{p}]\n"))));
    // Each key that a part knows is in one of the two texts, and each line of both is tested.
    let all = format!("{full}{EXAMPLE_WITH_REGIONS}");
    [&full, EXAMPLE_WITH_REGIONS].iter().for_each(|text| check_each_line(&folder, text, &all));
}

/// Misspells each line of a valid text and gives each key a value of another type; `all` holds every key that
/// may be known.
fn check_each_line(folder: &TestFolder, text: &str, all: &str) {
    assert_eq!(folder.read_error(text), "");
    let lines: Vec<&str> = text.lines().collect();
    let with = |i: usize, line: &str| {
        let mut lines = lines.clone();
        lines[i] = line;
        folder.read_error(lines.join("\r\n"))
    };
    for (i, line) in lines.iter().enumerate() {
        let n = i + 1;
        let Some((key, _)) = line.split_once(" = ") else {
            let name = line.trim_matches(['[', ']']).rsplit('.').next().unwrap();
            let error = with(i, &line.replace(name, &format!("{name}s")));
            assert!(error.starts_with(&format!("x.toml:{n}: ")), "{line}: {error}");
            assert!(error.ends_with(&format!("'{name}s' is not known; did you mean '{name}'?")), "{error}");
            // Every name that the error lists as known is in the texts above, so that no key is accepted that
            // nothing reads.
            let error = with(i, &format!("{line}\nzzz = 1"));
            let Some((_, known)) = error.split_once("known here: ") else {
                assert!(error.ends_with("[zones]: 'zzz' is not known; no key is known here"), "{error}");
                continue;
            };
            let is_known = |k: &str| all.contains(&format!("\n{k} = ")) || all.contains(&format!(".{k}]]"));
            assert!(known.split(", ").all(is_known), "{error}");
            continue;
        };
        let (first, rest) = key.split_at(1);
        let misspelt = format!("{first}x{rest}");
        let error = with(i, &line.replacen(key, &misspelt, 1));
        assert!(error.starts_with(&format!("x.toml:{n}: [")), "{line}: {error}");
        assert!(error.ends_with(&format!("'{misspelt}' is not known; did you mean '{key}'?")), "{error}");
        let error = with(i, &format!("{key} = 1979-05-27"));
        assert!(
            error.starts_with(&format!("x.toml:{n}: [")) && error.contains(&format!("'{key}' is n")),
            "{error}"
        );
    }
}

#[test]
fn each_error_is_one_exact_line() {
    let folder = TestFolder::new("table");
    let long = format!("{} = 1", "k".repeat(100_000));
    let cut = format!("x.toml:1: '{}...", "k".repeat(299));
    let cases: &[(&str, &str)] = &[
        ("\n[zones]\n", "2: [zones]: zones need the parts [gossip] (keys) and [budgets] (places, voters)"),
        ("[gossp]\n", "1: 'gossp' is not known; did you mean 'gossip'?"),
        ("\n[SNMP]\n", "2: 'SNMP' is not known; did you mean 'snmp'?"),
        ("x = 1", "1: 'x' is not known; known here: PARTS"),
        ("# \u{e9}\u{1f4e6}\r\n\r\n\"\u{f6}\" = 1\r\n", "3: '\u{f6}' is not known; known here: PARTS"),
        ("\"a\\nb\" = 1", "1: 'a\\nb' is not known; known here: PARTS"),
        ("zzz = 1\n[gossp]\n", "1: 'zzz' is not known; known here: PARTS"),
        ("snmp.listn = \"127.0.0.1:1\"", "1: [snmp]: 'listn' is not known; did you mean 'listen'?"),
        (
            "[gossip]\n\n[[gossip.peer]]\nname = \"n0\"\nadress = \"\"",
            "5: [gossip]: 'adress' is not known; did you mean 'address'?",
        ),
        ("gossip = 3", "1: 'gossip' is no table: it is written [gossip]"),
        ("[[gossip]]", "1: 'gossip' is no table: it is written [gossip]"),
        (
            "\n[gossip.peer]",
            "2: [gossip]: 'peer' is no list of tables: each is written in two pairs of brackets",
        ),
        ("[budgets]\n\n[[budgets.proxy]]\n\nvoter = true", "3: [budgets]: a proxy without 'name'"),
        (
            "[budgets]\nproxy = [{ name = \"n0\", address = \"h:1\" }]",
            "2: [budgets]: proxy 'n0': 'address' is missing or no address",
        ),
        ("[snmp]\ncommunity_file = \"none\"", "2: [snmp]: none: No such file or directory (os error 2)"),
        ("[snmp]\ncommunity_file = \"secrets\"", "2: [snmp]: secrets: a folder, not a file"),
        ("x = \"\n", "1: not TOML: invalid basic string, expected `\"`"),
        ("[snmp]\n[snmp]", "2: not TOML: duplicate key"),
    ];
    for (text, expected) in cases {
        assert_eq!(
            folder.read_error(text),
            format!("x.toml:{}", expected.replace("PARTS", PART_NAMES)),
            "{text}"
        );
    }
    assert_eq!(folder.read_error(b"# fine\n\xff"), "x.toml:2: not UTF-8");
    assert_eq!(folder.read_error(&long), cut);
    assert_eq!(folder.read_error(vec![b'#'; (4 << 20) + 1]), "x.toml: longer than 4194304 bytes");
    let no_file =
        |name: &str| folder.without_folder(operators::read(&folder.0.join(name), "n0").err().unwrap());
    assert_eq!(no_file("none.toml"), "none.toml: No such file or directory (os error 2)");
    assert_eq!(no_file("secrets"), "secrets: a folder, not a file");
}

/// Returns a `[budgets]` part with further keys, and proxies given by name and by the keys that each has
/// besides its address.
fn budgets_text(head: &str, proxies: &[(&str, &str)]) -> String {
    let mut text = format!(
        "[budgets]\nsecret_file = \"secrets/budgets.key\"\nlease_ms = 600\nprobes_per_cache_s = 2\n{head}"
    );
    for (index, (name, keys)) in proxies.iter().enumerate() {
        let address = format!("127.0.{}.{}:7000", index / 250, index % 250 + 1);
        text += &format!("[[budgets.proxy]]\nname = \"{name}\"\naddress = \"{address}\"\n{keys}\n");
    }
    text
}

const VOTER_KEYS: &str = "voter = true";
const NORTH_KEYS: &str = "region = \"north\"\nsite = \"ams\"";

#[test]
fn regions_and_sites_are_named_for_all_or_for_none() {
    let folder = TestFolder::new("regions");
    let south = "region = \"south\"\nsite = \"gru\"";
    let read = |text: &str| {
        operators::parse_text(text, "n0", &folder.0).map(|fronts| fronts.budgets.unwrap().division)
    };
    let plain = read(&budgets_text("", &[("n0", VOTER_KEYS), ("n1", "")])).unwrap();
    assert!(matches!(&plain, Division::Plain(settings) if settings.proxies == 2 && settings.voters == [0]));
    let tree =
        read(&budgets_text("probes_scope = \"region\"\n", &[("n1", south), ("n0", NORTH_KEYS)])).unwrap();
    let Division::Tree(tree) = tree else { panic!("not divided by regions and sites") };
    assert_eq!((tree.region.as_str(), tree.site.as_str(), tree.settings.proxy_index), ("north", "ams", 1));
    assert_eq!(tree.settings.budgets, [SharedBudget { total_units: 2_000, scope: Scope::Region }]);
    assert_eq!((tree.settings.topology.sites(), tree.settings.topology.regions()), (2, 2));

    let both = [("n0", NORTH_KEYS), ("n1", south)];
    let north_without_vote = format!("{NORTH_KEYS}\nvoter = false");
    let ams_in_south = "region = \"south\"\nsite = \"ams\"";
    let zones =
        format!("{}[zones]\n[gossip]\nsecret_file = \"secrets/gossip.key\"\n", budgets_text("", &both));
    let zones = format!(
        "{zones}[[gossip.peer]]\nname = \"n0\"\naddress = \"127.0.0.1:7946\"\nkeys = [\"{}\"]\nseed = true\n",
        test_public_key()
    );
    let cases: &[(String, &str)] = &[
        (
            budgets_text("", &[("n0", NORTH_KEYS), ("n1", VOTER_KEYS)]),
            "10: [budgets]: proxy 'n1' names no region and site, others do: all name both, or none",
        ),
        (
            budgets_text("", &[("n0", "region = \"north\"")]),
            "8: [budgets]: proxy 'n0': 'region' without 'site'",
        ),
        (budgets_text("", &[("n0", "site = \"ams\"")]), "8: [budgets]: proxy 'n0': 'site' without 'region'"),
        (budgets_text("", &[("n0", "region = \"\"\nsite = \"a\"")]), "8: [budgets]: proxy 'n0': 'region' is empty"),
        (
            budgets_text("", &[("n0", &north_without_vote)]),
            "10: [budgets]: proxy 'n0': 'voter' has no place beside 'region': the voters of each level follow from the file's order",
        ),
        (
            budgets_text("", &[("n0", NORTH_KEYS), ("n1", ams_in_south)]),
            "10: [budgets]: site 'ams' is named in region 'north' and in region 'south'",
        ),
        (
            budgets_text("probes_scope = \"region\"\n", &[("n0", VOTER_KEYS)]),
            "5: [budgets]: 'probes_scope' needs 'region' and 'site' of each proxy",
        ),
        (
            budgets_text("probes_scope = \"site\"\n", &both),
            "5: [budgets]: 'probes_scope' is neither \"fleet\" nor \"region\"",
        ),
        (budgets_text("cold_scope = \"fleet\"\n", &both), "5: [budgets]: 'cold_scope' without 'cold_per_s'"),
        (
            budgets_text("", &both).replace("= 600", "= 100"),
            "3: [budgets]: 'lease_ms' is 100; it takes 200 to 60000",
        ),
        (
            budgets_text("", &both).replace("_s = 2", "_s = 0.0001"),
            "4: [budgets]: budget 0 has 0 units; it takes 1 to 1000000",
        ),
        (
            zones,
            "15: [zones]: zones are decided by one process for the whole fleet and take no part in regions and sites yet: \
             turn off [zones], or name no region and site",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(folder.read_error(text), format!("x.toml:{expected}"), "{text}");
    }
}

/// Returns a `[budgets]` part with so many proxies, without regions or with regions of ten sites of 23
/// proxies each.
fn fleet_text(proxies: usize, regions: bool) -> String {
    let names: Vec<String> = (0..proxies).map(|index| format!("n{index}")).collect();
    let keys: Vec<String> = (0..proxies)
        .map(|index| match regions {
            true => format!("region = \"region-{}\"\nsite = \"site-{}\"", index / 230, index / 23),
            false => format!("voter = {}", index < 3),
        })
        .collect();
    let all: Vec<(&str, &str)> =
        names.iter().map(String::as_str).zip(keys.iter().map(String::as_str)).collect();
    budgets_text("", &all)
}

/// A fleet of the size that is aimed at is refused in one clear line without regions and read with them, and
/// reading it takes little time.
#[test]
fn a_fleet_that_is_too_large_is_refused_with_advice() {
    let folder = TestFolder::new("large");
    assert_eq!(folder.read_error(fleet_text(4_096, false)), "");
    assert_eq!(
        folder.read_error(fleet_text(6_800, false)),
        "x.toml:1: [budgets]: the file names 6800 proxies, more than the 4096 that this version takes without regions and \
         sites: name 'region' and 'site' for each proxy"
    );
    let started = std::time::Instant::now();
    let text = fleet_text(6_800, true);
    assert!(text.len() < 4 << 20, "{} bytes", text.len());
    assert_eq!(folder.read_error(text), "");
    // This takes some tens of milliseconds in a release build. A reader whose time grows with the square of
    // the size takes far longer.
    assert!(started.elapsed().as_secs() < 10, "{:?}", started.elapsed());
    assert_eq!(
        folder.read_error(fleet_text(20_001, true)),
        "x.toml:1: [budgets]: the file names 20001 proxies; this version takes 1 to 20000"
    );
}

/// Files in `deploy/` that other programs read, and how the error for each begins.
const OTHER_FILES: [(&str, &str); 2] = [
    ("balancer.toml", "balancer.toml:1: 'build' is not known; known here: "),
    ("target.toml", "target.toml:4: 'fleet' is not known; known here: "),
];

/// Every file in `deploy/` is valid. A new file is read here without being listed.
#[test]
fn the_files_in_deploy_are_valid() {
    let folder = TestFolder::new("deploy");
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
    let mut enabled = Vec::new();
    for file in std::fs::read_dir(deploy).unwrap().map(|f| f.unwrap().path()).filter(|p| p.is_file()) {
        let text = std::fs::read_to_string(&file).unwrap().replace(SAMPLE_PUBLIC_KEY, &test_public_key());
        let path = folder.0.join(file.file_name().unwrap());
        std::fs::write(&path, text).unwrap();
        let read = operators::read(&path, "n0").map_err(|e| folder.without_folder(e));
        let name = file.file_name().unwrap().to_str().unwrap();
        match OTHER_FILES.iter().find(|(other, _)| *other == name) {
            Some((_, refusal)) => assert!(read.err().unwrap().starts_with(refusal)),
            None => enabled.extend(read.map(|f| f.enabled_parts()).unwrap()),
        }
    }
    enabled.sort_unstable();
    assert!(["budgets", "gossip", "signed", "snmp"].iter().all(|p| enabled.contains(p)), "{enabled:?}");
}

/// `check` and a start report the same error for a file; a start puts its own prefix before it.
#[test]
fn check_and_a_start_report_the_same_error() {
    let folder = TestFolder::new("alike");
    folder.read_error("[gossp]\n");
    let nowhere = ([127, 0, 0, 1], 9).into();
    let config = common::configuration(nowhere, nowhere, &[]);
    std::fs::write(folder.0.join("config.json"), config).unwrap();
    let run = |words: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_threadward"));
        let out =
            command.args(words).current_dir(&folder.0).env("LB_CONFIG", "config.json").output().unwrap();
        (out.status.code(), String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap())
    };
    let line = "x.toml:1: 'gossp' is not known; did you mean 'gossip'?\n";
    assert_eq!(run(&["check", "x.toml"]), (Some(2), String::new(), line.into()));
    let started = run(&["run", "--fronts", "x.toml"]);
    assert_eq!(started, (Some(2), String::new(), format!("threadward: cannot start: {line}")));
}
