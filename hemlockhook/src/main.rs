//! The operators' command.

mod demo;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Operates hemlockhook, a dispatcher for sub-second tasks.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs a whole deployment in one process, with failures on the way
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::demo_args))] demo::DemoArgs),
}

fn main() -> eyre::Result<ExitCode> {
    let Command::Demo(args) = command().run();
    match demo::run(&args)? {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}
