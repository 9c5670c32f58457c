//! Runs the scripts of the repository on small inputs: CI's check of a test run against the known failures,
//! and the script that makes the bench's sites.
use rstest::rstest;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use tempfile::TempDir;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Runs a script and returns whether it succeeded, and all that it printed.
fn run(script: &str, arguments: &[&Path]) -> (bool, String) {
    let out = Command::new("python3").arg(root().join(script)).args(arguments).output().unwrap();
    (out.status.success(), String::from_utf8([out.stdout, out.stderr].concat()).unwrap())
}

/// Returns the output of a test program, for its target as cargo names it and the tests of it that fail.
fn test_program_log(target: &str, failed_tests: &[&str]) -> String {
    let n = failed_tests.len();
    let test_output =
        failed_tests.iter().map(|f| format!("---- {f} stdout ----\ntest result: ok. 9 passed; 0 failed; \n"));
    let (test_result, failures, hint) = if n == 0 {
        ("ok", String::new(), String::new())
    } else {
        let names: String = failed_tests.iter().map(|f| format!("    {f}\n")).collect();
        let failures = format!("failures:\n\n{}\n\nfailures:\n{names}\n", test_output.collect::<String>());
        ("FAILED", failures, format!("error: test failed, to rerun pass `{target}`\n"))
    };
    format!(
        "     Running tests/x.rs (target/debug/deps/x-0a1b2c3d)\n\nrunning {} tests\ntest fine ... ok\n\n{failures}test result: \
         {test_result}. 1 passed; {n} failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.01s\n\n{hint}",
        n + 1
    )
}

/// Returns what cargo prints at the end when these targets failed.
fn closing_lines(targets: &[&str]) -> String {
    let s = if targets.len() == 1 { "" } else { "s" };
    let list: String = targets.iter().map(|t| format!("    `{t}`\n")).collect();
    format!("error: {} target{s} failed:\n{list}", targets.len())
}

const TARGET_A: &str = "-p a --test rules";
const TARGET_B: &str = "-p b --test rules";
/// The output of a test program that is aborted.
const ABORTED_LOG: &str = "     Running tests/y.rs (target/debug/deps/y-0a)\n\nrunning 1 test\nerror: test failed, to rerun pass \
                     `-p b --test rules`\n\nCaused by:\n  process didn't exit successfully: `y-0a` (signal: 6, SIGABRT)\n";
/// Lists of known failures.
const ONE_KNOWN: &str = "a/rules::late | its cause | #34\n";
const FOUR_KNOWN: &str = "a/t::a | x | 1\na/t::b | x | 1\na/t::c | x | 1\na/t::d | x | 1\n";
const NOT_FAILING: &str = "listed, but passes or is not in the run: a/rules::late";

#[rstest]
#[case::all_pass(test_program_log(TARGET_A, &[]), 0, "", Ok(""))]
#[case::unlisted(test_program_log(TARGET_A, &["late"]) + &closing_lines(&[TARGET_A]), 101, "", Err("failed and is not listed: a/rules::late"))]
#[case::listed(test_program_log(TARGET_A, &["late"]) + &test_program_log(TARGET_B, &[]) + &closing_lines(&[TARGET_A]), 101, ONE_KNOWN, Ok("known red: a/rules::late: its cause (#34)"))]
#[case::one_more(test_program_log(TARGET_A, &["late", "more"]) + &closing_lines(&[TARGET_A]), 101, ONE_KNOWN, Err("failed and is not listed: a/rules::more"))]
#[case::of_one_name(test_program_log(TARGET_A, &["late"]) + &test_program_log(TARGET_B, &["late"]) + &closing_lines(&[TARGET_A, TARGET_B]), 101, ONE_KNOWN, Err("not listed: b/rules::late"))]
#[case::two_of_one_name(test_program_log(TARGET_A, &["late"]) + &test_program_log(TARGET_B, &["late"]) + &closing_lines(&[TARGET_A, TARGET_B]), 101, "a/rules::late | x | 1\nb/rules::late | y | 2\n", Ok("b/rules::late: y (2)"))]
#[case::of_the_other(test_program_log(TARGET_A, &[]) + &test_program_log(TARGET_B, &["late"]) + &closing_lines(&[TARGET_B]), 101, ONE_KNOWN, Err(NOT_FAILING))]
#[case::of_a_doc_test(test_program_log("-p a --doc", &["src/lib.rs - f (line 3)"]) + &closing_lines(&["-p a --doc"]), 101, "a/doc::src/lib.rs - f (line 3) | x | 1", Ok("known red"))]
#[case::passes(test_program_log(TARGET_A, &[]), 0, ONE_KNOWN, Err(NOT_FAILING))]
#[case::missing(test_program_log(TARGET_B, &[]), 0, ONE_KNOWN, Err(NOT_FAILING))]
#[case::four_lines(test_program_log(TARGET_A, &[]), 0, FOUR_KNOWN, Err("4 lines, 3 at most"))]
#[case::malformed(test_program_log(TARGET_A, &[]), 0, "late | x | 1", Err("not 'package/target::test | cause | issue'"))]
#[case::no_cause(test_program_log(TARGET_A, &["late"]) + &closing_lines(&[TARGET_A]), 101, "a/rules::late | | 1", Err("not 'package"))]
#[case::no_issue(test_program_log(TARGET_A, &["late"]) + &closing_lines(&[TARGET_A]), 101, "a/rules::late | x", Err("not 'package"))]
#[case::no_closing(test_program_log(TARGET_A, &["late"]), 101, ONE_KNOWN, Err("cargo ended with 101"))]
#[case::cut_short(test_program_log(TARGET_A, &[]).split_once("test result").unwrap().0.to_owned(), 101, "", Err("ended without its result"))]
#[case::aborted(test_program_log(TARGET_A, &["late"]) + ABORTED_LOG + &closing_lines(&[TARGET_A, TARGET_B]), 101, ONE_KNOWN, Err("ended without its result"))]
#[case::ends_badly(test_program_log(TARGET_A, &["late"]) + "\nCaused by:\n  (signal: 11)\n" + &closing_lines(&[TARGET_A]), 101, ONE_KNOWN, Err("ended badly"))]
#[case::ends_badly_though_all_pass(test_program_log(TARGET_A, &[]) + "error: test failed, to rerun pass `-p a --test rules`\n" + &closing_lines(&[TARGET_A]), 101, "", Err("differ"))]
#[case::not_built("error: could not compile `b` (test \"x\")\n".into(), 101, "", Err("no test was run"))]
#[case::a_doc_not_built(test_program_log(TARGET_A, &["late"]) + &closing_lines(&[TARGET_A, "-p b --doc"]), 101, ONE_KNOWN, Err("cargo ended with 101"))]
#[case::another_status(test_program_log(TARGET_A, &[]), 137, "", Err("cargo ended with 137"))]
#[case::another_count(test_program_log(TARGET_A, &[]).replace("running 1 ", "running 2 "), 0, "", Err("another number of tests"))]
#[case::a_failure_unnamed(test_program_log(TARGET_A, &["late"]).replace("    late\n", "") + &closing_lines(&[TARGET_A]), 101, "", Err("names 0 failures"))]
fn a_test_run_is_compared_with_the_known_failures(
    #[case] log: String,
    #[case] status: u8,
    #[case] known: &str,
    #[case] expected: Result<&str, &str>,
) {
    let folder = TempDir::new().unwrap();
    let [output, list] = ["output", "list"].map(|f| folder.path().join(f));
    fs::write(&output, &log).unwrap();
    if !known.is_empty() {
        fs::write(&list, known).unwrap();
    }
    let (passed, printed) = run(".ci/known-red", &[&output, Path::new(&status.to_string()), &list]);
    assert_eq!(passed, expected.is_ok(), "{printed}");
    assert!(printed.contains(expected.unwrap_or_else(|e| e)), "{printed}");
}

/// A site of the kit, the edits to it, and the site that they make.
const SOURCE_SITE: &str = "name = \"src\"\n\n[allow]\nmost = 8\n\n[[class]]\nname = \"a\"\n\n[[class]]\nname = \"b\"\nshare = [1, 2.5]\n";
const EXPECTED_SITE: &str =
    "name = \"own\"\n\n[allow]\nmost = 4\n\n[[class]]\nname = \"a\"\nwindow_ms = 700\n\n[[class]]\nname = \
                    \"b\"\n\n[[class]]\nname = \"c\"\n";
const SITE_EDITS: &str = "source = \"k/src.toml\"\nchange = [[\"allow\", \"most\", 8, 4]]\nadd = [[\"class 0\", \"window_ms\", 700]]\n\
                     drop = [[\"class 1\", \"share\", [1, 2.5]]]\nmore = \"\\n[[class]]\\nname = \\\"c\\\"\\n\"\n";

#[rstest]
#[case::right("most", "most", Ok(EXPECTED_SITE))]
#[case::other_value("8, 4", "6, 4", Err("[allow] 'most' is 8, expected to be 6"))]
#[case::other_type("8, 4", "8.0, 4", Err("[allow] 'most' is 8, expected to be 8.0"))]
#[case::no_key("\"most\"", "\"least\"", Err("[allow] 'least' is missing, expected to be 8"))]
#[case::no_table("class 1", "class 2", Err("no table [class 2], wanted for 'share'"))]
#[case::there_already("window_ms", "name", Err("[class 0] 'name' is \"a\", expected to be absent"))]
#[case::misspelt("add =", "adds =", Err("unknown key 'adds'"))]
#[case::no_source("source", "drop_of", Err("unknown key 'drop_of'"))]
#[case::another_source("src.toml", "none.toml", Err("none.toml'"))]
#[case::no_toml("[[class]]", "[[class]", Err("own.edits.toml: "))]
fn a_site_is_written_whole_or_not_at_all(
    #[case] replaced: &str,
    #[case] with: &str,
    #[case] expected_site: Result<&str, &str>,
) {
    let folder = TempDir::new().unwrap();
    let [kit, sites] = ["kit", "sites"].map(|f| folder.path().join(f));
    fs::create_dir_all(kit.join("k")).unwrap();
    fs::create_dir_all(sites.join("own")).unwrap();
    fs::write(sites.join("own/own.toml"), "as it was made before").unwrap();
    fs::write(kit.join("k/src.toml"), SOURCE_SITE).unwrap();
    fs::write(kit.join("k/wire.json"), "{}").unwrap();
    fs::write(sites.join("own.edits.toml"), SITE_EDITS.replace(replaced, with)).unwrap();
    let (succeeded, printed) = run("deploy/sites/make.py", &[&kit, &sites]);
    assert_eq!(succeeded, expected_site.is_ok(), "{printed}");
    let names = |f: &Path| {
        let mut all: Vec<_> =
            fs::read_dir(f).unwrap().map(|f| f.unwrap().file_name().into_string().unwrap()).collect();
        all.sort_unstable();
        all
    };
    match expected_site {
        Ok(text) => {
            assert_eq!(fs::read_to_string(sites.join("own/own.toml")).unwrap(), text);
            assert_eq!(names(&sites.join("own")), ["own.toml", "wire.json"]);
        }
        Err(line) => {
            assert!(printed.contains(line) && printed.lines().count() == 1, "{printed}");
            assert_eq!(names(&sites), ["own.edits.toml"], "neither a partial site nor the one from before");
        }
    }
}

#[test]
fn a_missing_kit_is_reported_in_one_line() {
    let (succeeded, printed) = run("deploy/sites/make.py", &[Path::new("/nowhere")]);
    assert_eq!((succeeded, printed.as_str()), (false, "sites: no kit at /nowhere, so none can be made\n"));
}
