//! Tests of the parsing and validation of jobs, and of the responses to callers.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_entry::api::preferred_wait;
use hemlockhook_entry::request::{parse_forwarded, parse_job};
use hemlockhook_entry::response::job_response;
use hemlockhook_entry::settings::Limits;
use hemlockhook_proto::convert::Reply;
use hemlockhook_types::{Answer, Reason};
use http::{HeaderMap, HeaderValue};
use http_body_util::BodyExt;

const VALID: &str = r#"{"team":"sales-desk","service":"quote","deadline_ms":1000,
    "tasks":[{"payload":{"a":1},"declared_ms":50,"class":"small"},{"payload":"text"}]}"#;

#[gtest]
fn a_valid_job_is_parsed() {
    let job = parse_job("k-1", VALID.as_bytes(), &Limits::default()).expect("a valid job");
    expect_that!(&*job.key, eq("sales-desk/k-1"));
    expect_that!(job.tasks.len(), eq(2));
    expect_that!(&*job.tasks[0].payload, eq(br#"{"a":1}"#.as_slice()));
    expect_false!(job.idempotent);
}

#[gtest]
fn the_fingerprint_depends_on_content_but_not_on_the_deadline() {
    let limits = Limits::default();
    let read = |text: &str| {
        parse_job("k", text.as_bytes(), &limits)
            .expect("valid")
            .fingerprint
    };
    expect_that!(read(&VALID.replace("1000", "2000")), eq(read(VALID)));
    expect_that!(
        read(&VALID.replace("\"text\"", "\"next\"")),
        not(eq(read(VALID)))
    );
    expect_that!(
        read(&VALID.replace("quote", "booking")),
        not(eq(read(VALID)))
    );
}

#[gtest]
fn a_forwarded_job_must_match_its_key() {
    expect_that!(
        parse_forwarded(&"sales-desk/k".into(), VALID.as_bytes()),
        ok(anything())
    );
    expect_that!(
        parse_forwarded(&"other/k".into(), VALID.as_bytes()),
        err(anything())
    );
}

#[gtest]
fn bad_jobs_are_refused_with_a_clear_error() {
    let limits = Limits {
        tasks: 2,
        ..Limits::default()
    };
    let cases = [
        ("k", "{"),
        ("k", "[1,2]"),
        ("k", r#"["t","s",false,1000,[{"payload":1}]]"#),
        (
            "k",
            r#"{"team":"t","service":"s","deadline_ms":1,"tasks":[[1,50,"small"]]}"#,
        ),
        ("k", r#"{"team":1}"#),
        ("k", &VALID.replace("\"team\"", "\"taem\"")),
        ("k", &VALID.replace("sales-desk", "sales desk")),
        ("k", &VALID.replace("sales-desk", "")),
        ("k", &VALID.replace("1000", "0")),
        ("k", &VALID.replace("1000", "-1")),
        ("k", &VALID.replace("1000", "999999999999")),
        ("k", &VALID.replace("50,", "0,")),
        ("k", &VALID.replace("\"small\"", "\"sm/all\"")),
        (
            "k",
            &VALID.replace("{\"payload\":\"text\"}", "{\"payload\":1},{\"payload\":2}"),
        ),
        (
            "k",
            r#"{"team":"t","service":"s","deadline_ms":1,"tasks":[]}"#,
        ),
        ("", VALID),
        ("k/2", VALID),
        (&"k".repeat(129), VALID),
    ];
    let errors: Vec<_> = cases
        .iter()
        .map(
            |(key, body)| match parse_job(key, body.as_bytes(), &limits) {
                Ok(_) => "taken".to_owned(),
                Err(err) => err.to_string(),
            },
        )
        .collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[gtest]
fn every_kind_of_answer_has_its_status_and_its_body() {
    let detail = "why".to_owned();
    let wait = Some(std::time::Duration::from_millis(1_500));
    let replies = [
        Reply::Answer(Answer::Complete(vec![
            b"{\"price\":12}".as_slice().into(),
            b"plain".as_slice().into(),
            [0xff, 0].as_slice().into(),
        ])),
        Reply::Answer(Answer::Failed {
            reason: Reason::UpstreamFailed,
            task: Some(3),
            detail: detail.clone(),
        }),
        Reply::Answer(Answer::Failed {
            reason: Reason::Cancelled,
            task: None,
            detail: detail.clone(),
        }),
        Reply::Answer(Answer::Failed {
            reason: Reason::Deadline,
            task: None,
            detail: detail.clone(),
        }),
        Reply::Answer(Answer::NotRun {
            reason: Reason::Overloaded,
            detail: detail.clone(),
            retry_after: wait,
        }),
        Reply::Answer(Answer::NotRun {
            reason: Reason::NoSuchService,
            detail: detail.clone(),
            retry_after: None,
        }),
        Reply::Answer(Answer::Unknown {
            reason: Reason::AccountIncomplete,
            detail,
        }),
        Reply::Pending,
        Reply::NotFound,
        Reply::KeyReused,
        Reply::NotOwner,
    ];
    let responses: Vec<_> = replies.iter().map(format_response).collect();
    insta::assert_snapshot!(responses.join("\n\n"));
}

fn format_response(reply: &Reply) -> String {
    let response = job_response(&"sales-desk/k".into(), reply);
    let (parts, body) = response.into_parts();
    let body = async_io::block_on(body.collect())
        .expect("a complete body")
        .to_bytes();
    let retry_after = parts
        .headers
        .get("retry-after")
        .map(|value| format!("{value:?}"));
    let media_type = &parts.headers["content-type"];
    let body = String::from_utf8_lossy(&body);
    format!(
        "{} {media_type:?} {}\n{body}",
        parts.status,
        retry_after.unwrap_or_default()
    )
}

#[gtest]
fn a_preferred_wait_is_limited_to_an_hour_and_differs_from_none() {
    let wait = |text: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert("prefer", HeaderValue::from_static(text));
        preferred_wait(&headers).ok().flatten()
    };
    let hour = Duration::from_secs(3_600);
    expect_that!(wait("wait=3600"), some(eq(hour)));
    expect_that!(wait("wait=9999"), some(eq(hour)));
    expect_that!(wait("respond-async"), some(eq(Duration::ZERO)));
    expect_that!(wait("handling=lenient"), none());
}
