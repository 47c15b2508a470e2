//! The command-line tool for operators.

mod cli;
mod client;
mod command;
mod demo;
mod help;
mod output;

use std::env;
use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

use crate::cli::Command;
use crate::output::{Exit, out};

/// Width at which usage errors are wrapped, in columns.
const ERROR_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match cli::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(failure).into(),
    };
    match run(command) {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("hemlockhook: {report:#}");
            output::exit_code_of(&report).into()
        }
    }
}

/// Prints the requested help or completion script, or the usage error.
fn print_parse_failure(failure: ParseFailure) -> Exit {
    match failure {
        ParseFailure::Stdout(help, _) => out!("{}", help.monochrome(true)),
        ParseFailure::Completion(script) => out!("{script}"),
        ParseFailure::Stderr(_) => {
            failure.print_message(ERROR_WIDTH);
            return Exit::Usage;
        }
    }
    Exit::Ok
}

fn run(command: Command) -> eyre::Result<Exit> {
    match command {
        Command::Inventory(cmd) => command::inventory::run(cmd),
        Command::Config(cmd) => command::config::run(cmd),
        Command::Status(args) => command::status::run(&args),
        Command::Drain(args) => command::drain::run(&args, true),
        Command::Undrain(args) => command::drain::run(&args, false),
        Command::Job(cmd) => command::job::run(cmd),
        Command::Submit(args) => command::submit::run(&args),
        Command::Report(cmd) => command::report::run(cmd),
        Command::Events(args) => command::events::run(&args),
        Command::Demo(args) => demo::run(&args).map(Exit::from),
    }
}

/// Returns the addresses of a comma-separated list in an environment variable.
fn addresses_from_env(name: &str) -> eyre::Result<Vec<std::net::SocketAddr>> {
    let Ok(list) = env::var(name) else {
        return Ok(Vec::new());
    };
    list.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .map(|item| {
            let parsed = item.parse();
            parsed.map_err(|_| output::usage_error(format!("{name}: `{item}` is not IP:PORT")))
        })
        .collect()
}
