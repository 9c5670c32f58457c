//! The command line. It owns the words, their help and what they come to. It must never read a file or do what is asked:
//! `main` does. Errors go to standard error with exit code 2, help and version to standard output with 0.
use clap::error::ErrorKind;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Steering proxy of cache depots.
///
/// Without a command it runs, as `threadward run` does. The platform's configuration is the file that the environment
/// variable LB_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "threadward", version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the proxy until SIGTERM; SIGHUP reads its files anew, SIGUSR1 prints the counters
    Run(Run),
    /// Reads the operators' file as a start would, and says whether it is right
    Check {
        /// The operators' file
        file: PathBuf,
        /// The name of the proxy that would read it
        #[arg(long, value_name = "NAME", default_value = "n0")]
        name: String,
        /// Prints the result as JSON
        #[arg(long)]
        json: bool,
    },
    /// Makes a secret for gossip in a new file and prints the public key
    NewGossipKey {
        /// Where the secret goes; an existing file is never touched
        file: PathBuf,
    },
}

/// What a run takes.
#[derive(Debug, Args)]
struct Run {
    /// The operators' file: signed links, agent, gossip, budgets
    #[arg(long, value_name = "FILE")]
    fronts: Option<PathBuf>,
}

/// What is asked for.
#[derive(Debug, PartialEq)]
pub enum Invocation {
    Run(Option<PathBuf>),
    Check {
        file: PathBuf,
        name: String,
        json: bool,
    },
    CreateKey(PathBuf),
    /// A text for standard output: help, or the version.
    Print(String),
}

/// # Errors
/// One line that says what is wrong with the words; where they ask for a run, that it cannot start.
pub fn parse(words: impl IntoIterator<Item = std::ffi::OsString>) -> Result<Invocation, String> {
    let words: Vec<_> = words.into_iter().collect();
    let asks = words.get(1).is_some_and(|w| w == "check" || w == "new-gossip-key");
    let cli = match Cli::try_parse_from(words) {
        Ok(cli) => cli,
        Err(e) if matches!(e.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion) => {
            return Ok(Invocation::Print(e.to_string()));
        }
        Err(e) => {
            let text = e.to_string();
            // Up to the first empty line; what is missing stands below the words that say so.
            let said: Vec<&str> = text.lines().map(str::trim).take_while(|l| !l.is_empty()).collect();
            let said = said.join(" ");
            let what = if asks { "" } else { "cannot start: " };
            let said = said.trim_start_matches("error: ");
            return Err(format!("{what}{said}; `threadward --help` says more"));
        }
    };
    Ok(match cli.command {
        None => Invocation::Run(cli.run.fronts),
        Some(Command::Run(run)) => Invocation::Run(run.fronts),
        Some(Command::Check { file, name, json }) => Invocation::Check { file, name, json },
        Some(Command::NewGossipKey { file }) => Invocation::CreateKey(file),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn asked(words: &str) -> Result<Invocation, String> {
        parse(["threadward"].into_iter().chain(words.split_whitespace()).map(Into::into))
    }

    #[test]
    fn words_come_to_what_is_asked() {
        assert_eq!(asked(""), Ok(Invocation::Run(None)));
        assert_eq!(asked("run"), Ok(Invocation::Run(None)));
        for words in ["--fronts a.toml", "run --fronts a.toml"] {
            assert_eq!(asked(words), Ok(Invocation::Run(Some("a.toml".into()))));
        }
        let check = |name: &str, json| Invocation::Check { file: "a.toml".into(), name: name.into(), json };
        assert_eq!(asked("check a.toml"), Ok(check("n0", false)));
        assert_eq!(asked("check a.toml --name n3 --json"), Ok(check("n3", true)));
        assert_eq!(asked("new-gossip-key k"), Ok(Invocation::CreateKey("k".into())));
        for words in ["--help", "run --help", "--version"] {
            assert!(matches!(asked(words), Ok(Invocation::Print(t)) if t.contains("threadward")), "{words}");
        }
    }

    #[test]
    fn bad_words_get_one_line() {
        for words in
            ["--front a", "check", "run now", "--fronts", "--fronts a run", "new-gossip-key", "check a --b"]
        {
            let line = asked(words).unwrap_err();
            assert!(line.lines().count() == 1 && line.ends_with("says more"), "{words}: {line}");
            let asks = words.starts_with("check") || words.starts_with("new");
            assert_eq!(line.starts_with("cannot start: "), !asks, "{words}: {line}");
        }
    }
}
