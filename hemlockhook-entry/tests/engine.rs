//! Tests of the engine with fakes at its interfaces.

mod support;

use std::time::Duration;

use async_channel::Receiver;
use googletest::prelude::*;
use hemlockhook_entry::event::{Action, Event, JobOperation, LinkEnd, Origin, Response};
use hemlockhook_ownership::Record;
use hemlockhook_proto::convert::Reply;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::refusal::Reason as RefusalReason;
use hemlockhook_proto::v1::{AgentFrame, AgentHello, PeerStatus, Refusal, Withdrawn};
use hemlockhook_types::{Answer, AnswerKind, FIRST_OFFSET, Reason, SHARD_COUNT};
use support::{AGENT, Bench, hello, reply, submission};

const KEY: &str = "sales-desk/one";

fn kind_of(reply: Option<Reply>) -> Option<(AnswerKind, Option<Reason>)> {
    match reply {
        Some(Reply::Answer(answer)) => Some((answer.kind(), answer.reason())),
        _ => None,
    }
}

#[gtest]
fn a_job_is_answered_whole_once_all_its_tasks_have_ended() {
    let mut bench = Bench::serving();
    let caller = bench.submit("one", "quote", &["1", "2"]);
    expect_that!(
        bench.starts(),
        unordered_elements_are![eq(&(KEY.to_owned(), 0)), eq(&(KEY.to_owned(), 1))]
    );

    bench.done(KEY, 1, "\"second\"");
    expect_that!(reply(&caller), none());
    bench.done(KEY, 0, "\"first\"");
    let (reply, stamps) = reply(&caller).expect("an answer");
    let results = vec![
        b"\"first\"".as_slice().into(),
        b"\"second\"".as_slice().into(),
    ];
    expect_that!(reply, eq(&Reply::Answer(Answer::Complete(results))));
    expect_that!(stamps.len(), eq(usize::from(SHARD_COUNT)));
}

#[gtest]
fn a_job_sent_again_starts_nothing_and_gets_the_same_answer() {
    let mut bench = Bench::serving();
    let first = bench.submit("one", "quote", &["1"]);
    let second = bench.submit("one", "quote", &["1"]);
    expect_that!(bench.starts().len(), eq(1));
    bench.done(KEY, 0, "7");
    let third = bench.submit("one", "quote", &["1"]);

    let complete = Some((AnswerKind::Complete, None));
    for caller in [first, second, third] {
        expect_that!(
            kind_of(reply(&caller).map(|(reply, _)| reply)),
            eq(complete)
        );
    }
    expect_that!(bench.starts(), is_empty());
    let other = bench.submit("one", "quote", &["2"]);
    expect_that!(
        reply(&other).map(|(reply, _)| reply),
        some(eq(&Reply::KeyReused))
    );
}

#[gtest]
fn a_failed_task_fails_the_job_and_stops_the_rest() {
    let mut bench = Bench::serving();
    let caller = bench.submit("one", "quote", &["1", "2", "3"]);
    let mut started: Vec<_> = bench.starts().into_iter().map(|(_, index)| index).collect();
    let first = started.remove(0);
    let result = v1::TaskResult {
        kind: v1::task_result::Kind::Failed.into(),
        reason: "status 500".to_owned(),
        ..v1::TaskResult::default()
    };
    let done = v1::TaskDone {
        key: KEY.to_owned(),
        index: first,
        result: Some(result),
    };
    bench.frame(AgentFrame {
        done: vec![done],
        ..AgentFrame::default()
    });

    let failed = Some((AnswerKind::Failed, Some(Reason::UpstreamFailed)));
    expect_that!(kind_of(reply(&caller).map(|(reply, _)| reply)), eq(failed));
    let cancels: Vec<_> = bench
        .sent()
        .into_iter()
        .flat_map(|frame| frame.cancels)
        .collect();
    let stopped: Vec<_> = cancels
        .iter()
        .flat_map(|cancel| cancel.indexes.clone())
        .collect();
    expect_that!(started, not(is_empty()));
    expect_that!(stopped, eq(&started));
}

#[gtest]
fn a_start_that_was_refused_before_it_began_is_made_again() {
    let mut bench = Bench::serving();
    let caller = bench.submit("one", "quote", &["1"]);
    expect_that!(bench.starts().len(), eq(1));
    let refusal = Refusal {
        key: KEY.to_owned(),
        index: 0,
        reason: RefusalReason::NoGrant.into(),
        floor: None,
    };
    bench.frame(AgentFrame {
        refusals: vec![refusal],
        ..AgentFrame::default()
    });
    expect_that!(bench.starts().len(), eq(1));
    bench.done(KEY, 0, "1");
    expect_that!(reply(&caller), some(anything()));
}

#[gtest]
fn a_task_lost_with_its_agent_fails_the_job_and_is_not_started_again() {
    let mut bench = Bench::serving();
    let caller = bench.submit("one", "booking", &["1"]);
    expect_that!(bench.starts().len(), eq(1));
    bench.event(Event::LinkDown {
        agent: AGENT,
        end: LinkEnd::Refused,
    });
    let lost = Some((AnswerKind::Failed, Some(Reason::UpstreamLost)));
    expect_that!(kind_of(reply(&caller).map(|(reply, _)| reply)), eq(lost));
}

#[gtest]
fn a_job_is_refused_as_not_run_only_once_an_agent_has_marked_it() {
    let mut bench = Bench::serving();
    let caller = bench.submit("one", "no-such-service", &["1"]);
    expect_that!(reply(&caller), none());
    let withdraws: Vec<_> = bench
        .sent()
        .into_iter()
        .flat_map(|frame| frame.withdraws)
        .collect();
    expect_that!(withdraws.len(), eq(1));

    let withdrawn = vec![Withdrawn {
        key: KEY.to_owned(),
        refusal: None,
        floor: None,
    }];
    bench.frame(AgentFrame {
        withdrawn,
        ..AgentFrame::default()
    });
    let not_run = Some((AnswerKind::NotRun, Some(Reason::NoSuchService)));
    expect_that!(kind_of(reply(&caller).map(|(reply, _)| reply)), eq(not_run));
}

#[gtest]
fn a_job_whose_deadline_passes_while_it_runs_has_failed() {
    let mut bench = Bench::serving();
    let caller = bench.submit("one", "quote", &["1"]);
    bench.run_for(Duration::from_secs(6));
    let late = Some((AnswerKind::Failed, Some(Reason::Deadline)));
    expect_that!(kind_of(reply(&caller).map(|(reply, _)| reply)), eq(late));
}

#[gtest]
fn a_cancelled_job_stops_its_running_tasks() {
    let mut bench = Bench::serving();
    let caller = bench.submit("one", "quote", &["1"]);
    bench.sent();
    let (reply_to, canceller) = async_channel::bounded(1);
    let (operation, origin) = (JobOperation::Cancel, Origin::Caller);
    bench.event(Event::JobOperation {
        key: KEY.into(),
        operation,
        origin,
        reply_to,
    });

    let cancelled = Some((AnswerKind::Failed, Some(Reason::Cancelled)));
    for waiting in [caller, canceller] {
        expect_that!(
            kind_of(reply(&waiting).map(|(reply, _)| reply)),
            eq(cancelled)
        );
    }
    let cancels: Vec<_> = bench
        .sent()
        .into_iter()
        .flat_map(|frame| frame.cancels)
        .collect();
    expect_that!(cancels.len(), eq(1));
}

/// A peer that owns every shard.
fn owner() -> PeerStatus {
    PeerStatus {
        incarnation: 9,
        name: "other".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        owned: (0..u32::from(SHARD_COUNT))
            .map(|shard| v1::OwnedShard {
                shard,
                ballot: 1 << 20,
            })
            .collect(),
        ..PeerStatus::default()
    }
}

#[gtest]
fn the_late_reply_of_a_call_that_was_given_up_cannot_refuse_a_job() {
    let mut bench = Bench::new();
    bench.event(Event::PeerStatus {
        status: owner(),
        reply_to: None,
    });
    let (reply_to, caller) = async_channel::bounded(1);
    let submission = submission("one", "quote", &["1"]);
    bench.event(Event::Submit {
        submission,
        origin: Origin::Caller,
        reply_to,
    });
    let relayed = |action: &Action| match action {
        Action::Forward { call, .. } => Some(*call),
        _ => None,
    };
    let calls: Vec<_> = bench.actions.iter().filter_map(relayed).collect();
    expect_that!(calls.len(), eq(1));

    // The owner falls silent, and its call is given up.
    bench.run_for(Duration::from_secs(2));
    let refused = Answer::NotRun {
        reason: Reason::Deadline,
        detail: String::new(),
        retry_after: None,
    };
    let (key, call) = (KEY.into(), calls[0]);
    bench.event(Event::ForwardReply {
        key,
        call,
        reply: Some(Reply::Answer(refused)),
    });
    expect_that!(reply(&caller), none());

    let complete = Answer::Complete(vec![b"1".as_slice().into()]);
    let key = KEY.into();
    bench.event(Event::ForwardReply {
        key,
        call,
        reply: Some(Reply::Answer(complete.clone())),
    });
    let answer = reply(&caller).map(|(reply, _)| reply);
    expect_that!(answer, some(eq(&Reply::Answer(complete))));
}

#[gtest]
fn an_entry_that_lost_its_shards_passes_its_jobs_on_to_their_owner() {
    let mut bench = Bench::serving();
    let caller = bench.submit("one", "quote", &["1"]);
    bench.event(Event::PeerStatus {
        status: owner(),
        reply_to: None,
    });
    bench.run_for(Duration::from_millis(200));
    bench.event(Event::PeerStatus {
        status: owner(),
        reply_to: None,
    });
    expect_that!(reply(&caller), none());
    expect_true!(bench.actions.iter().any(is_relay));
}

fn ask(bench: &mut Bench, operation: JobOperation, origin: Origin) -> Receiver<Response> {
    let (reply_to, rx) = async_channel::bounded(1);
    bench.event(Event::JobOperation {
        key: KEY.into(),
        operation,
        origin,
        reply_to,
    });
    rx
}

#[gtest]
fn those_who_wait_for_a_job_are_told_when_its_shard_is_lost() {
    let mut bench = Bench::serving();
    let (reply_to, forwarder) = async_channel::bounded(1);
    bench.event(Event::Submit {
        submission: submission("one", "quote", &["1"]),
        origin: Origin::Entry,
        reply_to,
    });
    let local = ask(&mut bench, JobOperation::AwaitAnswer, Origin::Caller);
    let remote = ask(&mut bench, JobOperation::AwaitAnswer, Origin::Entry);
    bench.event(Event::PeerStatus {
        status: owner(),
        reply_to: None,
    });
    bench.run_for(Duration::from_millis(40));
    for waiting in [forwarder, local, remote] {
        let reply = reply(&waiting).map(|(reply, _)| reply);
        expect_that!(reply, some(eq(&Reply::NotOwner)));
    }
}

#[gtest]
fn an_agent_that_goes_as_it_comes_leaves_no_link_behind() {
    let mut bench = Bench::serving();
    let agent = 3;
    let record = Record::Agent {
        incarnation: agent,
        name: "orders-os-2".to_owned(),
        address: "127.0.0.1:3".to_owned(),
        services: vec!["quote".into()],
        data_center: "osijek".to_owned(),
    };
    let records = vec![(FIRST_OFFSET + 2, Duration::ZERO, record)];
    let hello = AgentHello {
        incarnation: agent,
        ..hello()
    };
    // All of them are taken in before the engine decides.
    bench.engine.handle(
        bench.now,
        Event::MembershipRecords {
            records,
            at_end: true,
        },
    );
    bench
        .engine
        .handle(bench.now, Event::LinkUp { agent, hello });
    let end = LinkEnd::Refused;
    bench.event(Event::LinkDown { agent, end });

    let status = bench.engine.status(bench.now);
    expect_that!(status.agents.len(), eq(1));
}

#[gtest]
fn callers_that_gave_up_are_forgotten() {
    let mut bench = Bench::serving();
    bench.submit("one", "quote", &["1"]);
    for _ in 0..1_000 {
        drop(ask(&mut bench, JobOperation::AwaitAnswer, Origin::Caller));
        drop(bench.submit("one", "quote", &["1"]));
    }
    expect_that!(bench.engine.waiter_count(), lt(20));
    let still_there = ask(&mut bench, JobOperation::AwaitAnswer, Origin::Caller);
    bench.done(KEY, 0, "1");
    expect_that!(reply(&still_there), some(anything()));
}

/// Returns the announcement of an entry.
fn entry_record(incarnation: u64, address: &str) -> Record {
    Record::Entry {
        incarnation,
        name: "other".to_owned(),
        address: address.to_owned(),
        data_center: "osijek".to_owned(),
    }
}

#[gtest]
fn an_old_announcement_does_not_replace_the_entry_that_answers_at_the_address() {
    let mut bench = Bench::new();
    bench.event(Event::PeerStatus {
        status: owner(),
        reply_to: None,
    });
    let old = entry_record(8, "127.0.0.1:9");
    bench.event(Event::MembershipRecords {
        records: vec![(FIRST_OFFSET, Duration::ZERO, old)],
        at_end: true,
    });
    let peers = bench.engine.status(bench.now).peers;
    expect_that!(peers.len(), eq(1));
}

#[gtest]
fn jobs_that_waited_for_an_owner_are_passed_on_in_parts() {
    let mut bench = Bench::new();
    let count = 5_000;
    let callers: Vec<_> = (0..count)
        .map(|index| bench.submit(&format!("k{index}"), "quote", &["1"]))
        .collect();
    bench.event(Event::PeerStatus {
        status: owner(),
        reply_to: None,
    });
    let mut relayed = Vec::new();
    for _ in 0..5 {
        let before = bench.actions.len();
        bench.now += Duration::from_millis(20);
        bench.event(Event::Tick);
        let new = &bench.actions[before..];
        relayed.push(new.iter().filter(|action| is_relay(action)).count());
    }
    expect_that!(relayed, each(le(&2_000)));
    expect_that!(relayed.iter().sum::<usize>(), eq(count));
    expect_that!(callers.len(), eq(count));
}

fn is_relay(action: &Action) -> bool {
    matches!(action, Action::Forward { .. })
}

#[gtest]
fn the_late_reply_to_an_earlier_job_of_a_key_is_not_given_to_a_later_one() {
    let mut bench = Bench::new();
    let first = bench.submit("one", "quote", &["1"]);
    bench.event(Event::PeerStatus {
        status: owner(),
        reply_to: None,
    });
    bench.run_for(Duration::from_millis(40));
    let relayed = |action: &Action| match action {
        Action::Forward { call, .. } => Some(*call),
        _ => None,
    };
    let call = bench.actions.iter().find_map(relayed).expect("a call");
    bench.run_for(Duration::from_secs(7));
    let unreachable = Some((AnswerKind::Unknown, Some(Reason::OwnerUnreachable)));
    expect_that!(
        kind_of(reply(&first).map(|(reply, _)| reply)),
        eq(unreachable)
    );

    let second = bench.submit("one", "quote", &["2"]);
    let complete = Answer::Complete(vec![b"1".as_slice().into()]);
    bench.event(Event::ForwardReply {
        key: KEY.into(),
        call,
        reply: Some(Reply::Answer(complete)),
    });
    expect_that!(reply(&second), none());
}

#[gtest]
fn a_draining_entry_has_handed_over_once_others_own_its_shards() {
    let mut bench = Bench::serving();
    bench.event(Event::Drain);
    // With nobody to take the shards over, there is nothing to wait for.
    expect_true!(bench.engine.is_handover_complete(bench.now));

    let mut peer = owner();
    let owned = std::mem::take(&mut peer.owned);
    bench.event(Event::PeerStatus {
        status: peer.clone(),
        reply_to: None,
    });
    expect_false!(bench.engine.is_handover_complete(bench.now));
    bench.event(Event::PeerStatus {
        status: PeerStatus { owned, ..peer },
        reply_to: None,
    });
    expect_true!(bench.engine.is_handover_complete(bench.now));
}

#[gtest]
fn a_claim_of_a_shard_that_does_not_exist_takes_none_away() {
    let mut bench = Bench::serving();
    let claim = v1::OwnedShard {
        shard: 1 << 16,
        ballot: 1 << 20,
    };
    let status = PeerStatus {
        owned: vec![claim],
        ..owner()
    };
    let reply_to = None;
    bench.event(Event::PeerStatus { status, reply_to });
    let shards = bench.engine.status(bench.now).shards.len();
    expect_that!(shards, eq(usize::from(SHARD_COUNT)));
}
