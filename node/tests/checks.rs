//! The scripts beside the program, run on small inputs made up here: CI's judgement of a run with known failures, and
//! the maker of the bench's sites.
use rstest::rstest;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use tempfile::TempDir;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Whether it ended well, and all that it said.
fn run(script: &str, words: &[&Path]) -> (bool, String) {
    let out = Command::new("python3").arg(root().join(script)).args(words).output().unwrap();
    (out.status.success(), String::from_utf8([out.stdout, out.stderr].concat()).unwrap())
}

/// What a test program says: its target as cargo names it, and which of its tests fail.
fn program(target: &str, fails: &[&str]) -> String {
    let n = fails.len();
    let said = fails.iter().map(|f| format!("---- {f} stdout ----\ntest result: ok. 9 passed; 0 failed; \n"));
    let (how, failures, hint) = if n == 0 {
        ("ok", String::new(), String::new())
    } else {
        let names: String = fails.iter().map(|f| format!("    {f}\n")).collect();
        let failures = format!("failures:\n\n{}\n\nfailures:\n{names}\n", said.collect::<String>());
        ("FAILED", failures, format!("error: test failed, to rerun pass `{target}`\n"))
    };
    format!(
        "     Running tests/x.rs (target/debug/deps/x-0a1b2c3d)\n\nrunning {} tests\ntest fine ... ok\n\n{failures}test result: \
         {how}. 1 passed; {n} failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.01s\n\n{hint}",
        n + 1
    )
}

/// What cargo says at the end.
fn closing(targets: &[&str]) -> String {
    let s = if targets.len() == 1 { "" } else { "s" };
    let list: String = targets.iter().map(|t| format!("    `{t}`\n")).collect();
    format!("error: {} target{s} failed:\n{list}", targets.len())
}

const A: &str = "-p a --test rules";
const B: &str = "-p b --test rules";
const ABORT: &str = "     Running tests/y.rs (target/debug/deps/y-0a)\n\nrunning 1 test\nerror: test failed, to rerun pass \
                     `-p b --test rules`\n\nCaused by:\n  process didn't exit successfully: `y-0a` (signal: 6, SIGABRT)\n";
const ONE: &str = "a/rules::late | its cause | #34\n";
const FOUR: &str = "a/t::a | x | 1\na/t::b | x | 1\na/t::c | x | 1\na/t::d | x | 1\n";
const PASSES: &str = "listed, but passes or is not in the run: a/rules::late";

#[rstest]
#[case::all_pass(program(A, &[]), 0, "", Ok(""))]
#[case::unlisted(program(A, &["late"]) + &closing(&[A]), 101, "", Err("failed and is not listed: a/rules::late"))]
#[case::listed(program(A, &["late"]) + &program(B, &[]) + &closing(&[A]), 101, ONE, Ok("known red: a/rules::late: its cause (#34)"))]
#[case::one_more(program(A, &["late", "more"]) + &closing(&[A]), 101, ONE, Err("failed and is not listed: a/rules::more"))]
#[case::of_one_name(program(A, &["late"]) + &program(B, &["late"]) + &closing(&[A, B]), 101, ONE, Err("not listed: b/rules::late"))]
#[case::two_of_one_name(program(A, &["late"]) + &program(B, &["late"]) + &closing(&[A, B]), 101, "a/rules::late | x | 1\nb/rules::late | y | 2\n", Ok("b/rules::late: y (2)"))]
#[case::of_the_other(program(A, &[]) + &program(B, &["late"]) + &closing(&[B]), 101, ONE, Err(PASSES))]
#[case::of_a_doc_test(program("-p a --doc", &["src/lib.rs - f (line 3)"]) + &closing(&["-p a --doc"]), 101, "a/doc::src/lib.rs - f (line 3) | x | 1", Ok("known red"))]
#[case::passes(program(A, &[]), 0, ONE, Err(PASSES))]
#[case::missing(program(B, &[]), 0, ONE, Err(PASSES))]
#[case::four_lines(program(A, &[]), 0, FOUR, Err("4 lines, 3 at most"))]
#[case::malformed(program(A, &[]), 0, "late | x | 1", Err("not 'package/target::test | cause | issue'"))]
#[case::no_cause(program(A, &["late"]) + &closing(&[A]), 101, "a/rules::late | | 1", Err("not 'package"))]
#[case::no_issue(program(A, &["late"]) + &closing(&[A]), 101, "a/rules::late | x", Err("not 'package"))]
#[case::no_closing(program(A, &["late"]), 101, ONE, Err("cargo ended with 101"))]
#[case::cut_short(program(A, &[]).split_once("test result").unwrap().0.to_owned(), 101, "", Err("ended without its result"))]
#[case::aborted(program(A, &["late"]) + ABORT + &closing(&[A, B]), 101, ONE, Err("ended without its result"))]
#[case::ends_badly(program(A, &["late"]) + "\nCaused by:\n  (signal: 11)\n" + &closing(&[A]), 101, ONE, Err("ended badly"))]
#[case::ends_badly_though_all_pass(program(A, &[]) + "error: test failed, to rerun pass `-p a --test rules`\n" + &closing(&[A]), 101, "", Err("differ"))]
#[case::not_built("error: could not compile `b` (test \"x\")\n".into(), 101, "", Err("no test was run"))]
#[case::a_doc_not_built(program(A, &["late"]) + &closing(&[A, "-p b --doc"]), 101, ONE, Err("cargo ended with 101"))]
#[case::another_status(program(A, &[]), 137, "", Err("cargo ended with 137"))]
#[case::another_count(program(A, &[]).replace("running 1 ", "running 2 "), 0, "", Err("another number of tests"))]
#[case::a_failure_unnamed(program(A, &["late"]).replace("    late\n", "") + &closing(&[A]), 101, "", Err("names 0 failures"))]
fn a_run_of_tests_is_judged(
    #[case] log: String,
    #[case] status: u8,
    #[case] known: &str,
    #[case] says: Result<&str, &str>,
) {
    let folder = TempDir::new().unwrap();
    let [output, list] = ["output", "list"].map(|f| folder.path().join(f));
    fs::write(&output, &log).unwrap();
    if !known.is_empty() {
        fs::write(&list, known).unwrap();
    }
    let (passed, said) = run(".ci/known-red", &[&output, Path::new(&status.to_string()), &list]);
    assert_eq!(passed, says.is_ok(), "{said}");
    assert!(said.contains(says.unwrap_or_else(|e| e)), "{said}");
}

const SITE: &str = "name = \"src\"\n\n[allow]\nmost = 8\n\n[[class]]\nname = \"a\"\n\n[[class]]\nname = \"b\"\nshare = [1, 2.5]\n";
const MADE: &str =
    "name = \"own\"\n\n[allow]\nmost = 4\n\n[[class]]\nname = \"a\"\nwindow_ms = 700\n\n[[class]]\nname = \
                    \"b\"\n\n[[class]]\nname = \"c\"\n";
const EDITS: &str = "source = \"k/src.toml\"\nchange = [[\"allow\", \"most\", 8, 4]]\nadd = [[\"class 0\", \"window_ms\", 700]]\n\
                     drop = [[\"class 1\", \"share\", [1, 2.5]]]\nmore = \"\\n[[class]]\\nname = \\\"c\\\"\\n\"\n";

#[rstest]
#[case::right("most", "most", Ok(MADE))]
#[case::other_value("8, 4", "6, 4", Err("[allow] 'most' is 8, expected to be 6"))]
#[case::other_type("8, 4", "8.0, 4", Err("[allow] 'most' is 8, expected to be 8.0"))]
#[case::no_key("\"most\"", "\"least\"", Err("[allow] 'least' is missing, expected to be 8"))]
#[case::no_table("class 1", "class 2", Err("no table [class 2], wanted for 'share'"))]
#[case::there_already("window_ms", "name", Err("[class 0] 'name' is \"a\", expected to be absent"))]
#[case::misspelt("add =", "adds =", Err("unknown key 'adds'"))]
#[case::no_source("source", "drop_of", Err("unknown key 'drop_of'"))]
#[case::another_source("src.toml", "none.toml", Err("none.toml'"))]
#[case::no_toml("[[class]]", "[[class]", Err("own.edits.toml: "))]
fn a_site_is_made_whole_or_not_at_all(
    #[case] put: &str,
    #[case] with: &str,
    #[case] comes: Result<&str, &str>,
) {
    let folder = TempDir::new().unwrap();
    let [kit, sites] = ["kit", "sites"].map(|f| folder.path().join(f));
    fs::create_dir_all(kit.join("k")).unwrap();
    fs::create_dir_all(sites.join("own")).unwrap();
    fs::write(sites.join("own/own.toml"), "as it was made before").unwrap();
    fs::write(kit.join("k/src.toml"), SITE).unwrap();
    fs::write(kit.join("k/wire.json"), "{}").unwrap();
    fs::write(sites.join("own.edits.toml"), EDITS.replace(put, with)).unwrap();
    let (made, said) = run("deploy/sites/make.py", &[&kit, &sites]);
    assert_eq!(made, comes.is_ok(), "{said}");
    let names = |f: &Path| {
        let mut all: Vec<_> =
            fs::read_dir(f).unwrap().map(|f| f.unwrap().file_name().into_string().unwrap()).collect();
        all.sort_unstable();
        all
    };
    match comes {
        Ok(text) => {
            assert_eq!(fs::read_to_string(sites.join("own/own.toml")).unwrap(), text);
            assert_eq!(names(&sites.join("own")), ["own.toml", "wire.json"]);
        }
        Err(line) => {
            assert!(said.contains(line) && said.lines().count() == 1, "{said}");
            assert_eq!(names(&sites), ["own.edits.toml"], "nothing half made, nor made before");
        }
    }
}

#[test]
fn without_the_kit_there_is_one_line() {
    let (made, said) = run("deploy/sites/make.py", &[Path::new("/nowhere")]);
    assert_eq!((made, said.as_str()), (false, "sites: no kit at /nowhere, so none can be made\n"));
}
