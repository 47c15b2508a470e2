//! `hemlockhook drain` and `hemlockhook undrain`.

use hemlockhook_inventory::admin::{DrainReply, DrainRequest};
use serde_json::json;

use crate::cli::DrainArgs;
use crate::client::{Client, EntryReply, describe_failures, exit_code_of_failures};
use crate::output::{Exit, Format, failure, outln, print_json};

/// Asks entries, one after the other, to drain an upstream or to return it to service. One entry
/// that reaches the agent is enough, as the agent notifies the others.
pub fn run(args: &DrainArgs, leaving: bool) -> eyre::Result<Exit> {
    let client = Client::start();
    let request = DrainRequest {
        upstream: args.upstream.clone(),
        leaving,
    };
    let mut replies: Vec<EntryReply<DrainReply>> = Vec::new();
    for address in args.entries.addresses()? {
        let result = client.post(address, "/v1/drain", &request);
        replies.push(EntryReply { address, result });
        if replies.last().is_some_and(|last| last.result.is_ok()) {
            break;
        }
    }

    let Some(drain_reply) = replies.iter().find_map(|reply| reply.result.as_ref().ok()) else {
        return Err(failure(
            exit_code_of_failures(&replies),
            describe_failures(&replies),
        ));
    };
    match (args.output, leaving) {
        (Format::Json, _) => print_json(&json!(drain_reply))?,
        (Format::Text, true) => {
            outln!("{} is draining: it gets no new tasks", drain_reply.upstream)
        }
        (Format::Text, false) => outln!("{} is back in service", drain_reply.upstream),
    }
    Ok(Exit::Ok)
}
