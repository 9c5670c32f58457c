//! Parses the command line. Files are read and commands carried out by `main`, which prints errors to
//! standard error with exit code 2, and help and version to standard output with exit code 0.
use clap::error::ErrorKind;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Steering proxy of cache depots.
///
/// Without a command it runs, as `threadward run` does. The platform's configuration is the file that the
/// environment variable LB_CONFIG names.
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

/// What the command line asks for.
#[derive(Debug, PartialEq)]
pub enum Invocation {
    /// To run the proxy, with the operators' file if one is given.
    Run(Option<PathBuf>),
    /// To check the operators' file as the proxy `name` would read it.
    Check { file: PathBuf, name: String, json: bool },
    /// To create a gossip secret in a new file.
    CreateKey(PathBuf),
    /// To print a text on standard output: the help, or the version.
    Print(String),
}

/// Parses the words of the command line, the program's name first.
///
/// # Errors
/// One line that says what is wrong with the words; if they ask for a run, it begins by saying that the
/// program cannot start.
pub fn parse(words: impl IntoIterator<Item = std::ffi::OsString>) -> Result<Invocation, String> {
    let words: Vec<_> = words.into_iter().collect();
    let other_command = words.get(1).is_some_and(|w| w == "check" || w == "new-gossip-key");
    let cli = match Cli::try_parse_from(words) {
        Ok(cli) => cli,
        Err(e) if matches!(e.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion) => {
            return Ok(Invocation::Print(e.to_string()));
        }
        Err(e) => {
            let text = e.to_string();
            // The message up to the first empty line: missing arguments are listed in lines of their own
            // below the first.
            let said: Vec<&str> = text.lines().map(str::trim).take_while(|l| !l.is_empty()).collect();
            let said = said.join(" ");
            let what = if other_command { "" } else { "cannot start: " };
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

    fn parse_words(words: &str) -> Result<Invocation, String> {
        parse(["threadward"].into_iter().chain(words.split_whitespace()).map(Into::into))
    }

    #[test]
    fn command_lines_are_parsed() {
        assert_eq!(parse_words(""), Ok(Invocation::Run(None)));
        assert_eq!(parse_words("run"), Ok(Invocation::Run(None)));
        for words in ["--fronts a.toml", "run --fronts a.toml"] {
            assert_eq!(parse_words(words), Ok(Invocation::Run(Some("a.toml".into()))));
        }
        let check = |name: &str, json| Invocation::Check { file: "a.toml".into(), name: name.into(), json };
        assert_eq!(parse_words("check a.toml"), Ok(check("n0", false)));
        assert_eq!(parse_words("check a.toml --name n3 --json"), Ok(check("n3", true)));
        assert_eq!(parse_words("new-gossip-key k"), Ok(Invocation::CreateKey("k".into())));
        for words in ["--help", "run --help", "--version"] {
            assert!(
                matches!(parse_words(words), Ok(Invocation::Print(t)) if t.contains("threadward")),
                "{words}"
            );
        }
    }

    #[test]
    fn bad_words_get_one_line() {
        for words in
            ["--front a", "check", "run now", "--fronts", "--fronts a run", "new-gossip-key", "check a --b"]
        {
            let line = parse_words(words).unwrap_err();
            assert!(line.lines().count() == 1 && line.ends_with("says more"), "{words}: {line}");
            let other_command = words.starts_with("check") || words.starts_with("new");
            assert_eq!(line.starts_with("cannot start: "), !other_command, "{words}: {line}");
        }
    }
}
