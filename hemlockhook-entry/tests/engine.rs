//! Tests of jobs, shards and links in the engine, with fake agents, peers and log.

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
use support::{AGENT, EngineHarness, hello, submission, try_reply};

const KEY: &str = "sales-desk/one";

fn kind_of(reply: Option<Reply>) -> Option<(AnswerKind, Option<Reason>)> {
    match reply {
        Some(Reply::Answer(answer)) => Some((answer.kind(), answer.reason())),
        _ => None,
    }
}

#[gtest]
fn a_job_is_answered_with_all_results_once_its_last_task_has_ended() {
    let mut harness = EngineHarness::serving();
    let caller = harness.submit("one", "quote", &["1", "2"]);
    expect_that!(
        harness.take_starts(),
        unordered_elements_are![eq(&(KEY.to_owned(), 0)), eq(&(KEY.to_owned(), 1))]
    );

    harness.complete_task(KEY, 1, "\"second\"");
    expect_that!(try_reply(&caller), none());
    harness.complete_task(KEY, 0, "\"first\"");
    let (reply, stamps) = try_reply(&caller).expect("an answer");
    let results = vec![
        b"\"first\"".as_slice().into(),
        b"\"second\"".as_slice().into(),
    ];
    expect_that!(reply, eq(&Reply::Answer(Answer::Complete(results))));
    expect_that!(stamps.len(), eq(usize::from(SHARD_COUNT)));
}

#[gtest]
fn a_resubmitted_job_starts_no_task_again_and_gets_the_same_answer() {
    let mut harness = EngineHarness::serving();
    let first = harness.submit("one", "quote", &["1"]);
    let second = harness.submit("one", "quote", &["1"]);
    expect_that!(harness.take_starts().len(), eq(1));
    harness.complete_task(KEY, 0, "7");
    let third = harness.submit("one", "quote", &["1"]);

    let complete = Some((AnswerKind::Complete, None));
    for caller in [first, second, third] {
        expect_that!(
            kind_of(try_reply(&caller).map(|(reply, _)| reply)),
            eq(complete)
        );
    }
    expect_that!(harness.take_starts(), is_empty());
    let other = harness.submit("one", "quote", &["2"]);
    expect_that!(
        try_reply(&other).map(|(reply, _)| reply),
        some(eq(&Reply::KeyReused))
    );
}

#[gtest]
fn a_failed_task_fails_the_job_and_cancels_its_running_tasks() {
    let mut harness = EngineHarness::serving();
    let caller = harness.submit("one", "quote", &["1", "2", "3"]);
    let mut started: Vec<_> = harness
        .take_starts()
        .into_iter()
        .map(|(_, index)| index)
        .collect();
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
    harness.receive_frame(AgentFrame {
        done: vec![done],
        ..AgentFrame::default()
    });

    let failed = Some((AnswerKind::Failed, Some(Reason::UpstreamFailed)));
    expect_that!(
        kind_of(try_reply(&caller).map(|(reply, _)| reply)),
        eq(failed)
    );
    let cancels: Vec<_> = harness
        .take_sent_frames()
        .into_iter()
        .flat_map(|frame| frame.cancels)
        .collect();
    let cancelled: Vec<_> = cancels
        .iter()
        .flat_map(|cancel| cancel.indexes.clone())
        .collect();
    expect_that!(started, not(is_empty()));
    expect_that!(cancelled, eq(&started));
}

#[gtest]
fn a_start_refused_for_lack_of_a_grant_is_repeated() {
    let mut harness = EngineHarness::serving();
    let caller = harness.submit("one", "quote", &["1"]);
    expect_that!(harness.take_starts().len(), eq(1));
    let refusal = Refusal {
        key: KEY.to_owned(),
        index: 0,
        reason: RefusalReason::NoGrant.into(),
        floor: None,
    };
    harness.receive_frame(AgentFrame {
        refusals: vec![refusal],
        ..AgentFrame::default()
    });
    expect_that!(harness.take_starts().len(), eq(1));
    harness.complete_task(KEY, 0, "1");
    expect_that!(try_reply(&caller), some(anything()));
}

#[gtest]
fn a_task_lost_with_its_agent_fails_the_job_and_is_not_started_again() {
    let mut harness = EngineHarness::serving();
    let caller = harness.submit("one", "booking", &["1"]);
    expect_that!(harness.take_starts().len(), eq(1));
    harness.handle(Event::LinkDown {
        agent: AGENT,
        end: LinkEnd::Refused,
    });
    let lost = Some((AnswerKind::Failed, Some(Reason::UpstreamLost)));
    expect_that!(
        kind_of(try_reply(&caller).map(|(reply, _)| reply)),
        eq(lost)
    );
}

#[gtest]
fn a_job_is_answered_not_run_only_once_an_agent_has_confirmed_its_withdrawal() {
    let mut harness = EngineHarness::serving();
    let caller = harness.submit("one", "no-such-service", &["1"]);
    expect_that!(try_reply(&caller), none());
    let withdraws: Vec<_> = harness
        .take_sent_frames()
        .into_iter()
        .flat_map(|frame| frame.withdraws)
        .collect();
    expect_that!(withdraws.len(), eq(1));

    let withdrawn = vec![Withdrawn {
        key: KEY.to_owned(),
        refusal: None,
        floor: None,
    }];
    harness.receive_frame(AgentFrame {
        withdrawn,
        ..AgentFrame::default()
    });
    let not_run = Some((AnswerKind::NotRun, Some(Reason::NoSuchService)));
    expect_that!(
        kind_of(try_reply(&caller).map(|(reply, _)| reply)),
        eq(not_run)
    );
}

#[gtest]
fn a_job_whose_deadline_passes_while_it_runs_fails() {
    let mut harness = EngineHarness::serving();
    let caller = harness.submit("one", "quote", &["1"]);
    harness.run_for(Duration::from_secs(6));
    let late = Some((AnswerKind::Failed, Some(Reason::Deadline)));
    expect_that!(
        kind_of(try_reply(&caller).map(|(reply, _)| reply)),
        eq(late)
    );
}

#[gtest]
fn a_cancelled_job_stops_its_running_tasks() {
    let mut harness = EngineHarness::serving();
    let caller = harness.submit("one", "quote", &["1"]);
    harness.take_sent_frames();
    let (reply_to, canceller) = async_channel::bounded(1);
    let (operation, origin) = (JobOperation::Cancel, Origin::Caller);
    harness.handle(Event::JobOperation {
        key: KEY.into(),
        operation,
        origin,
        reply_to,
    });

    let cancelled = Some((AnswerKind::Failed, Some(Reason::Cancelled)));
    for receiver in [caller, canceller] {
        expect_that!(
            kind_of(try_reply(&receiver).map(|(reply, _)| reply)),
            eq(cancelled)
        );
    }
    let cancels: Vec<_> = harness
        .take_sent_frames()
        .into_iter()
        .flat_map(|frame| frame.cancels)
        .collect();
    expect_that!(cancels.len(), eq(1));
}

/// Returns the state of a peer that owns every shard.
fn owner_status() -> PeerStatus {
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
fn the_late_reply_of_an_abandoned_call_cannot_refuse_a_job() {
    let mut harness = EngineHarness::new();
    harness.handle(Event::PeerStatus {
        status: owner_status(),
        reply_to: None,
    });
    let (reply_to, caller) = async_channel::bounded(1);
    let submission = submission("one", "quote", &["1"]);
    harness.handle(Event::Submit {
        submission,
        origin: Origin::Caller,
        reply_to,
    });
    let forwarded = |action: &Action| match action {
        Action::Forward { call, .. } => Some(*call),
        _ => None,
    };
    let calls: Vec<_> = harness.actions.iter().filter_map(forwarded).collect();
    expect_that!(calls.len(), eq(1));

    // The owner goes silent, and its call is abandoned.
    harness.run_for(Duration::from_secs(2));
    let refused = Answer::NotRun {
        reason: Reason::Deadline,
        detail: String::new(),
        retry_after: None,
    };
    let (key, call) = (KEY.into(), calls[0]);
    harness.handle(Event::ForwardReply {
        key,
        call,
        reply: Some(Reply::Answer(refused)),
    });
    expect_that!(try_reply(&caller), none());

    let complete = Answer::Complete(vec![b"1".as_slice().into()]);
    let key = KEY.into();
    harness.handle(Event::ForwardReply {
        key,
        call,
        reply: Some(Reply::Answer(complete.clone())),
    });
    let answer = try_reply(&caller).map(|(reply, _)| reply);
    expect_that!(answer, some(eq(&Reply::Answer(complete))));
}

#[gtest]
fn an_entry_that_lost_its_shards_forwards_its_jobs_to_the_new_owner() {
    let mut harness = EngineHarness::serving();
    let caller = harness.submit("one", "quote", &["1"]);
    harness.handle(Event::PeerStatus {
        status: owner_status(),
        reply_to: None,
    });
    harness.run_for(Duration::from_millis(200));
    harness.handle(Event::PeerStatus {
        status: owner_status(),
        reply_to: None,
    });
    expect_that!(try_reply(&caller), none());
    expect_true!(harness.actions.iter().any(is_forward));
}

fn send_operation(
    harness: &mut EngineHarness,
    operation: JobOperation,
    origin: Origin,
) -> Receiver<Response> {
    let (reply_to, rx) = async_channel::bounded(1);
    harness.handle(Event::JobOperation {
        key: KEY.into(),
        operation,
        origin,
        reply_to,
    });
    rx
}

#[gtest]
fn requests_that_wait_for_a_job_get_not_owner_when_its_shard_is_lost() {
    let mut harness = EngineHarness::serving();
    let (reply_to, forwarder) = async_channel::bounded(1);
    harness.handle(Event::Submit {
        submission: submission("one", "quote", &["1"]),
        origin: Origin::Entry,
        reply_to,
    });
    let local = send_operation(&mut harness, JobOperation::AwaitAnswer, Origin::Caller);
    let remote = send_operation(&mut harness, JobOperation::AwaitAnswer, Origin::Entry);
    harness.handle(Event::PeerStatus {
        status: owner_status(),
        reply_to: None,
    });
    harness.run_for(Duration::from_millis(40));
    for receiver in [forwarder, local, remote] {
        let reply = try_reply(&receiver).map(|(reply, _)| reply);
        expect_that!(reply, some(eq(&Reply::NotOwner)));
    }
}

#[gtest]
fn an_agent_lost_in_the_same_batch_of_events_that_announced_it_leaves_no_link() {
    let mut harness = EngineHarness::serving();
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
    // All three events are processed before the engine returns its actions.
    harness.engine.handle(
        harness.now,
        Event::MembershipRecords {
            records,
            at_end: true,
        },
    );
    harness
        .engine
        .handle(harness.now, Event::LinkUp { agent, hello });
    let end = LinkEnd::Refused;
    harness.handle(Event::LinkDown { agent, end });

    let status = harness.engine.status(harness.now);
    expect_that!(status.agents.len(), eq(1));
}

#[gtest]
fn reply_senders_of_disconnected_callers_are_dropped() {
    let mut harness = EngineHarness::serving();
    harness.submit("one", "quote", &["1"]);
    for _ in 0..1_000 {
        drop(send_operation(
            &mut harness,
            JobOperation::AwaitAnswer,
            Origin::Caller,
        ));
        drop(harness.submit("one", "quote", &["1"]));
    }
    expect_that!(harness.engine.waiter_count(), lt(20));
    let remaining = send_operation(&mut harness, JobOperation::AwaitAnswer, Origin::Caller);
    harness.complete_task(KEY, 0, "1");
    expect_that!(try_reply(&remaining), some(anything()));
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
fn an_old_announcement_does_not_replace_the_entry_heard_from_at_its_address() {
    let mut harness = EngineHarness::new();
    harness.handle(Event::PeerStatus {
        status: owner_status(),
        reply_to: None,
    });
    let old = entry_record(8, "127.0.0.1:9");
    harness.handle(Event::MembershipRecords {
        records: vec![(FIRST_OFFSET, Duration::ZERO, old)],
        at_end: true,
    });
    let peers = harness.engine.status(harness.now).peers;
    expect_that!(peers.len(), eq(1));
}

#[gtest]
fn jobs_that_waited_for_an_owner_are_forwarded_in_batches() {
    let mut harness = EngineHarness::new();
    let count = 5_000;
    let callers: Vec<_> = (0..count)
        .map(|index| harness.submit(&format!("k{index}"), "quote", &["1"]))
        .collect();
    harness.handle(Event::PeerStatus {
        status: owner_status(),
        reply_to: None,
    });
    let mut forwarded = Vec::new();
    for _ in 0..5 {
        let before = harness.actions.len();
        harness.now += Duration::from_millis(20);
        harness.handle(Event::Tick);
        let new = &harness.actions[before..];
        forwarded.push(new.iter().filter(|action| is_forward(action)).count());
    }
    expect_that!(forwarded, each(le(&2_000)));
    expect_that!(forwarded.iter().sum::<usize>(), eq(count));
    expect_that!(callers.len(), eq(count));
}

fn is_forward(action: &Action) -> bool {
    matches!(action, Action::Forward { .. })
}

#[gtest]
fn a_late_reply_for_an_earlier_job_of_a_key_does_not_answer_a_later_one() {
    let mut harness = EngineHarness::new();
    let first = harness.submit("one", "quote", &["1"]);
    harness.handle(Event::PeerStatus {
        status: owner_status(),
        reply_to: None,
    });
    harness.run_for(Duration::from_millis(40));
    let forwarded = |action: &Action| match action {
        Action::Forward { call, .. } => Some(*call),
        _ => None,
    };
    let call = harness.actions.iter().find_map(forwarded).expect("a call");
    harness.run_for(Duration::from_secs(7));
    let unreachable = Some((AnswerKind::Unknown, Some(Reason::OwnerUnreachable)));
    expect_that!(
        kind_of(try_reply(&first).map(|(reply, _)| reply)),
        eq(unreachable)
    );

    let second = harness.submit("one", "quote", &["2"]);
    let complete = Answer::Complete(vec![b"1".as_slice().into()]);
    harness.handle(Event::ForwardReply {
        key: KEY.into(),
        call,
        reply: Some(Reply::Answer(complete)),
    });
    expect_that!(try_reply(&second), none());
}

#[gtest]
fn the_handover_of_a_draining_entry_is_complete_once_peers_own_its_shards() {
    let mut harness = EngineHarness::serving();
    harness.handle(Event::Drain);
    // Without peers to take over the shards, there is nothing to wait for.
    expect_true!(harness.engine.is_handover_complete(harness.now));

    let mut peer = owner_status();
    let owned = std::mem::take(&mut peer.owned);
    harness.handle(Event::PeerStatus {
        status: peer.clone(),
        reply_to: None,
    });
    expect_false!(harness.engine.is_handover_complete(harness.now));
    harness.handle(Event::PeerStatus {
        status: PeerStatus { owned, ..peer },
        reply_to: None,
    });
    expect_true!(harness.engine.is_handover_complete(harness.now));
}

#[gtest]
fn a_claim_of_a_nonexistent_shard_takes_no_shard_away() {
    let mut harness = EngineHarness::serving();
    let claim = v1::OwnedShard {
        shard: 1 << 16,
        ballot: 1 << 20,
    };
    let status = PeerStatus {
        owned: vec![claim],
        ..owner_status()
    };
    let reply_to = None;
    harness.handle(Event::PeerStatus { status, reply_to });
    let shards = harness.engine.status(harness.now).shards.len();
    expect_that!(shards, eq(usize::from(SHARD_COUNT)));
}
