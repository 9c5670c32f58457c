//! The README and the pages for operators, read and run: a command, its output, an example or a path that is not right
//! fails here. What needs a running proxy is tested elsewhere.
use pulldown_cmark::{CodeBlockKind, Event, Parser, Tag, TagEnd};
use std::path::{Path, PathBuf};
use threadward::{cli, operators};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// What a page shows as code.
struct Page {
    name: String,
    /// Blocks and their language.
    blocks: Vec<(String, String)>,
    words: Vec<String>,
}

fn pages() -> Vec<Page> {
    let docs = std::fs::read_dir(root().join("docs")).unwrap().map(|f| f.unwrap().path());
    let is_page = |p: &PathBuf| p.file_name().unwrap().to_string_lossy().starts_with("operate-");
    let all = docs.filter(is_page).chain([root().join("README.md")]);
    let page = |path: PathBuf| {
        let text = std::fs::read_to_string(&path).unwrap();
        let (mut blocks, mut words, mut within) = (Vec::new(), Vec::new(), false);
        for event in Parser::new(&text) {
            match event {
                Event::Start(Tag::CodeBlock(CodeBlockKind::Fenced(language))) => {
                    within = true;
                    blocks.push((language.to_string(), String::new()));
                }
                Event::Start(Tag::CodeBlock(CodeBlockKind::Indented)) => {
                    within = true;
                    blocks.push(Default::default());
                }
                Event::End(TagEnd::CodeBlock) => within = false,
                Event::Text(t) if within => blocks.last_mut().unwrap().1.push_str(&t),
                Event::Code(t) => words.push(t.to_string()),
                _ => {}
            }
        }
        Page { name: path.file_name().unwrap().to_string_lossy().into(), blocks, words }
    };
    all.map(page).collect()
}

/// The root as a reader has it who has made all secrets but gossip's.
fn fill(folder: &Path) {
    std::fs::create_dir_all(folder.join("deploy/secrets")).unwrap();
    let all = std::fs::read_dir(root().join("deploy")).unwrap().map(|f| f.unwrap());
    for file in all.filter(|f| f.file_type().unwrap().is_file()) {
        std::fs::copy(file.path(), folder.join("deploy").join(file.file_name())).unwrap();
    }
    for name in ["depot-1.key", "budgets.key", "community"] {
        let key = "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY";
        std::fs::write(folder.join("deploy/secrets").join(name), key).unwrap();
    }
}

#[test]
fn what_the_pages_show_is_so() {
    let folder = std::env::temp_dir().join(format!("threadward-pages-{}", std::process::id()));
    let commands = trycmd::TestCases::new();
    commands.register_bin("threadward", Path::new(env!("CARGO_BIN_EXE_threadward")));
    commands.env("LB_CONFIG", "none");
    let (mut shown, mut examples) = (0, 0);
    for page in pages() {
        let path = folder.join(&page.name);
        let own = path.with_extension("in");
        fill(&own);
        let mut run = String::new();
        for (language, text) in &page.blocks {
            let first = |l: &str| l.trim_start_matches("$ ").split(' ').next() == Some("threadward");
            match language.as_str() {
                "console" => {
                    shown += text.lines().filter(|l| l.starts_with("$ ")).count();
                    // Each output ends with an empty line there.
                    run.push_str(&format!("```console\n{}\n```\n", text.replace("\n$ ", "\n\n$ ")));
                }
                "toml" => {
                    examples += 1;
                    let path = own.join("deploy/example.toml");
                    std::fs::write(&path, text).unwrap();
                    let read = operators::read(&path, "n0");
                    assert!(read.is_ok(), "{}: {}\n{text}", page.name, read.err().unwrap());
                }
                _ => assert!(!text.lines().any(first), "{}: not 'console', so not run:\n{text}", page.name),
            }
        }
        std::fs::write(&path, run).unwrap();
        commands.case(&path);
    }
    assert!(shown >= 7 && examples >= 1, "{shown} commands, {examples} examples: fewer than there were");
    commands.run();
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn what_the_pages_name_is_there() {
    let makefile = std::fs::read_to_string(root().join("Makefile")).unwrap();
    let mut seen = [0; 3];
    for page in pages() {
        let lines = page.blocks.iter().flat_map(|(_, text)| text.lines());
        for line in lines.chain(page.words.iter().map(String::as_str)) {
            let line = line.trim_start_matches("$ ");
            let mut words = line.split_whitespace().skip_while(|w| w.contains('=')).peekable();
            let Some(first) = words.peek().copied() else { continue };
            let at = format!("{}: {line}", page.name);
            if first == "threadward" || first.ends_with("/threadward") {
                seen[0] += 1;
                cli::parse(words.map(Into::into)).unwrap_or_else(|e| panic!("{at}: {e}"));
            } else if let ("make", Some(target)) = (first, words.nth(1)) {
                seen[1] += 1;
                assert!(makefile.contains(&format!("\n{target}:")), "{at}: no such target");
            } else if first == line
                && first.contains('/')
                && root().join(first.split('/').next().unwrap()).is_dir()
            {
                seen[2] += 1;
                assert!(root().join(first).exists(), "{at}: no such file");
            }
        }
    }
    assert!(seen.iter().all(|n| *n > 0), "{seen:?}");
}
