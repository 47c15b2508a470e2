//! The operators' command.

mod cli;
mod client;
mod command;
mod demo;
mod output;

use std::env;
use std::process::ExitCode;

use bpaf::Args;

use crate::cli::{Command, Options};
use crate::output::Exit;

/// Columns that help and usage errors are wrapped at.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let options = match cli::options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return match failure.exit_code() {
                0 => Exit::Ok.into(),
                _ => Exit::Usage.into(),
            };
        }
    };
    match run(options) {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("hemlockhook: {report:#}");
            output::exit_of(&report).into()
        }
    }
}

fn run(options: Options) -> eyre::Result<Exit> {
    let format = options.output;
    match options.command {
        Command::Inventory(cmd) => command::inventory::run(cmd, format),
        Command::Config(cmd) => command::config::run(cmd, format),
        Command::Status(args) => command::status::run(&args, format),
        Command::Drain(args) => command::drain::run(&args, true, format),
        Command::Undrain(args) => command::drain::run(&args, false, format),
        Command::Job(cmd) => command::job::run(cmd, format),
        Command::Submit(args) => command::submit::run(args, format),
        Command::Report(cmd) => command::report::run(cmd, format),
        Command::Events(args) => command::events::run(&args, format),
        Command::Demo(args) => demo::run(args).map(|()| Exit::Ok),
    }
}

/// Returns the addresses of a comma-separated list in the environment.
fn addresses_from_env(name: &str) -> eyre::Result<Vec<std::net::SocketAddr>> {
    let Ok(list) = env::var(name) else {
        return Ok(Vec::new());
    };
    list.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .map(|item| {
            let parsed = item.parse();
            parsed.map_err(|_| output::usage(format!("{name}: `{item}` is not IP:PORT")))
        })
        .collect()
}
