//! `hemlockhook drain` and `hemlockhook undrain`.

use hemlockhook_inventory::admin::{DrainReply, DrainRequest};
use serde_json::json;

use crate::cli::DrainArgs;
use crate::client::{Answered, Client, exit_of_unknown, no_answer};
use crate::output::{Exit, Format, failure, line, print_json};

/// Asks entries to let an upstream leave or come back. One entry that reaches its agent is enough:
/// the agent tells the others.
pub fn run(args: &DrainArgs, leaving: bool) -> eyre::Result<Exit> {
    let client = Client::start();
    let request = DrainRequest {
        upstream: args.upstream.clone(),
        leaving,
    };
    let mut answers: Vec<Answered<DrainReply>> = Vec::new();
    for address in args.entries.addresses()? {
        let answer = client.post(address, "/v1/drain", &request);
        answers.push(Answered { address, answer });
        if answers.last().is_some_and(|last| last.answer.is_ok()) {
            break;
        }
    }

    let Some(reply) = answers
        .iter()
        .find_map(|answered| answered.answer.as_ref().ok())
    else {
        return Err(failure(exit_of_unknown(&answers), no_answer(&answers)));
    };
    match (args.output, leaving) {
        (Format::Json, _) => print_json(&json!(reply))?,
        (Format::Text, true) => line!("{} is leaving: it gets nothing new", reply.upstream),
        (Format::Text, false) => line!("{} takes work again", reply.upstream),
    }
    Ok(Exit::Ok)
}
