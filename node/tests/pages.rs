//! Reads the README and the pages for operators and runs their commands: a command, its output, an example or
//! a path that is wrong fails here. What needs a running proxy is tested elsewhere.
use pulldown_cmark::{CodeBlockKind, Event, Parser, Tag, TagEnd};
use std::path::{Path, PathBuf};
use threadward::{cli, operators};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The code on a page.
struct Page {
    name: String,
    /// Code blocks: the language and the text of each.
    blocks: Vec<(String, String)>,
    /// Code within lines of text.
    inline_code: Vec<String>,
}

/// Reads the README and the pages for operators.
fn pages() -> Vec<Page> {
    let docs = std::fs::read_dir(root().join("docs")).unwrap().map(|f| f.unwrap().path());
    let is_page = |p: &PathBuf| p.file_name().unwrap().to_string_lossy().starts_with("operate-");
    let all = docs.filter(is_page).chain([root().join("README.md")]);
    let page = |path: PathBuf| {
        let text = std::fs::read_to_string(&path).unwrap();
        let (mut blocks, mut inline_code, mut in_code_block) = (Vec::new(), Vec::new(), false);
        for event in Parser::new(&text) {
            match event {
                Event::Start(Tag::CodeBlock(CodeBlockKind::Fenced(language))) => {
                    in_code_block = true;
                    blocks.push((language.to_string(), String::new()));
                }
                Event::Start(Tag::CodeBlock(CodeBlockKind::Indented)) => {
                    in_code_block = true;
                    blocks.push(Default::default());
                }
                Event::End(TagEnd::CodeBlock) => in_code_block = false,
                Event::Text(t) if in_code_block => blocks.last_mut().unwrap().1.push_str(&t),
                Event::Code(t) => inline_code.push(t.to_string()),
                _ => {}
            }
        }
        Page { name: path.file_name().unwrap().to_string_lossy().into(), blocks, inline_code }
    };
    all.map(page).collect()
}

/// Copies `deploy/` to a folder and makes all secrets but the one for gossip, as a reader of the pages has
/// them.
fn copy_deploy_files(folder: &Path) {
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
fn commands_and_examples_on_the_pages_are_right() {
    let folder = std::env::temp_dir().join(format!("threadward-pages-{}", std::process::id()));
    let commands = trycmd::TestCases::new();
    commands.register_bin("threadward", Path::new(env!("CARGO_BIN_EXE_threadward")));
    commands.env("LB_CONFIG", "none");
    let (mut command_count, mut example_count) = (0, 0);
    for page in pages() {
        let path = folder.join(&page.name);
        let own = path.with_extension("in");
        copy_deploy_files(&own);
        let mut console_text = String::new();
        for (language, text) in &page.blocks {
            let first = |l: &str| l.trim_start_matches("$ ").split(' ').next() == Some("threadward");
            match language.as_str() {
                "console" => {
                    command_count += text.lines().filter(|l| l.starts_with("$ ")).count();
                    // The tool expects an empty line after each output.
                    console_text.push_str(&format!("```console\n{}\n```\n", text.replace("\n$ ", "\n\n$ ")));
                }
                "toml" => {
                    example_count += 1;
                    let path = own.join("deploy/example.toml");
                    std::fs::write(&path, text).unwrap();
                    let read = operators::read(&path, "n0");
                    assert!(read.is_ok(), "{}: {}\n{text}", page.name, read.err().unwrap());
                }
                _ => assert!(!text.lines().any(first), "{}: not 'console', so not run:\n{text}", page.name),
            }
        }
        std::fs::write(&path, console_text).unwrap();
        commands.case(&path);
    }
    assert!(
        command_count >= 7 && example_count >= 1,
        "{command_count} commands, {example_count} examples: fewer than expected"
    );
    commands.run();
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn commands_targets_and_paths_on_the_pages_exist() {
    let makefile = std::fs::read_to_string(root().join("Makefile")).unwrap();
    let mut counts = [0; 3];
    for page in pages() {
        let lines = page.blocks.iter().flat_map(|(_, text)| text.lines());
        for line in lines.chain(page.inline_code.iter().map(String::as_str)) {
            let line = line.trim_start_matches("$ ");
            let mut line_words = line.split_whitespace().skip_while(|w| w.contains('=')).peekable();
            let Some(first) = line_words.peek().copied() else { continue };
            let at = format!("{}: {line}", page.name);
            if first == "threadward" || first.ends_with("/threadward") {
                counts[0] += 1;
                cli::parse(line_words.map(Into::into)).unwrap_or_else(|e| panic!("{at}: {e}"));
            } else if let ("make", Some(target)) = (first, line_words.nth(1)) {
                counts[1] += 1;
                assert!(makefile.contains(&format!("\n{target}:")), "{at}: no such target");
            } else if first == line
                && first.contains('/')
                && root().join(first.split('/').next().unwrap()).is_dir()
            {
                counts[2] += 1;
                assert!(root().join(first).exists(), "{at}: no such file");
            }
        }
    }
    assert!(counts.iter().all(|n| *n > 0), "{counts:?}");
}
