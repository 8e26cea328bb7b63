//! Tests request ids and the at-most-once table: a request runs at most once (P7), and "not run" is never
//! claimed wrongly (P6).

use std::time::Duration;

use redwinggrade::request::id::Error::{self, *};
use redwinggrade::request::id::{Issuer, Request, Session};
use redwinggrade::request::once::Disposition::{self, *};
use redwinggrade::request::once::RunOutcome::{self, *};
use redwinggrade::request::once::{Limits, Table, digest};
use redwinggrade::time::Moment;
use redwinggrade::wire::Incarnation;
use redwinggrade::wire::Reason::{self, *};
use redwinggrade::wire::run::Reply;
use rstest::rstest;

const NODE: &str = "node-1.dc-2";

fn issuer(key: u128) -> Issuer {
    Issuer::open(NODE, Incarnation(0x5f), key)
}

/// Returns a request of the session that was issued at `session` microseconds.
fn request(session: u64, sequence: u64) -> Request {
    let session = issuer(7).issue(Moment::from_micros(session));
    Request { session, sequence }
}

fn reply(length: usize) -> Reply {
    let body = vec![b'x'; length].into();
    Reply { status: 200, body }
}

/// A table for two sessions and two entries with replies of up to 100 bytes each, retained for one second.
struct TestTable(Table);

impl TestTable {
    fn open() -> Self {
        Self::with(2, 2, 2 * (256 + 100))
    }

    fn with(entries: usize, sessions: usize, bytes: usize) -> Self {
        Self(Table::new(Limits {
            entries,
            sessions,
            bytes,
            reply_bytes: 100,
            retention: Duration::from_secs(1),
            running_timeout: Duration::from_mins(1),
        }))
    }

    fn begin(&mut self, id: (u64, u64), digest: u128, millis: u64) -> Disposition {
        let request = request(id.0, id.1);
        self.0.begin(&request, digest, Moment::from_millis(millis))
    }

    fn settle(&mut self, id: (u64, u64), outcome: RunOutcome, millis: u64) -> bool {
        let request = request(id.0, id.1);
        self.0
            .settle(&request, outcome, Moment::from_millis(millis))
    }
}

/// Guards against parsing errors when a node name contains a separator of the id.
#[test]
fn parses_and_verifies_issued_id() {
    let text = request(1, 12).to_string();
    let parsed: Request = text.parse().expect("an issued id is well formed");
    assert_eq!((parsed.to_string(), parsed.sequence), (text, 12));
    assert_eq!(parsed.session.node, NODE);
    assert_eq!(issuer(7).verify(&parsed), Ok(()));
}

/// Guards against several spellings of one id, which targets and logs would treat as different requests.
#[rstest]
#[case("n.1.2.0000000000000003", Missing("sequence"))]
#[case("1.2.0000000000000003-1", Missing("incarnation"))]
#[case(".1.2.0000000000000003-1", Missing("node name"))]
#[case("n.1.2.0000000000000003-01", BadNumber("sequence"))]
#[case("n.1.2.0000000000000003-+1", BadNumber("sequence"))]
#[case("n.1.2.0000000000000003-", BadNumber("sequence"))]
#[case("n.1.2.0000000000000003-18446744073709551616", BadNumber("sequence"))]
#[case("n.01.2.0000000000000003-1", BadNumber("incarnation"))]
#[case("n.1.F.0000000000000003-1", BadNumber("number"))]
#[case("n.1.2.3-1", BadNumber("tag"))]
#[case("n.1.2.00000000000000g3-1", BadNumber("tag"))]
#[case(&"x".repeat(257), TooLong)]
fn rejects_malformed_id(#[case] text: &str, #[case] expected: Error) {
    assert_eq!(text.parse::<Request>(), Err(expected));
}

/// Guards against accepting an id that another incarnation issued or that was made up.
#[rstest]
#[case(|it: &mut Session| it.tag ^= 1, Forged)]
#[case(|it: &mut Session| it.number += 1, Forged)]
#[case(|it: &mut Session| *it = issuer(8).issue(Moment::ZERO), Forged)]
#[case(|it: &mut Session| it.incarnation.0 += 1, Foreign(NODE.into(), Incarnation(0x60)))]
#[case(|it: &mut Session| it.node = "m".into(), Foreign("m".into(), Incarnation(0x5f)))]
fn rejects_forged_or_foreign_id(#[case] change: fn(&mut Session), #[case] expected: Error) {
    let mut request = request(1, 1);
    change(&mut request.session);
    assert_eq!(issuer(7).verify(&request), Err(expected));
}

/// Guards against equal ids for the requests of two callers whose sessions are issued at the same time.
#[test]
fn issues_distinct_sessions_at_same_time() {
    let mut issuer = issuer(7);
    assert_ne!(issuer.issue(Moment::ZERO), issuer.issue(Moment::ZERO));
}

/// Guards against a second run of an id, in whatever state the first run is. A run whose task was lost must
/// neither block its id for ever nor be repeated.
#[rstest]
#[case::running(None, 2, Running)]
#[case::run_lost(None, 60_000, Refuse(OutcomeUnknown))]
#[case::answered(Some(Answered(reply(3))), 2, Answer(reply(3)))]
#[case::unknown(Some(Unknown), 2, Refuse(OutcomeUnknown))]
#[case::not_run(Some(NotRun(Shed)), 2, Start)]
#[case::too_large(Some(Answered(reply(1_000))), 2, Refuse(OutcomeUnknown))]
fn repeated_id_gets_state_of_first_run(
    #[case] outcome: Option<RunOutcome>,
    #[case] millis: u64,
    #[case] expected: Disposition,
) {
    let mut table = TestTable::open();
    assert_eq!(table.begin((1, 1), 5, 0), Start);
    if let Some(outcome) = outcome {
        assert!(table.settle((1, 1), outcome, 1));
    }
    assert_eq!(table.begin((1, 1), 6, millis), Refuse(ReusedRequestId));
    assert_eq!(table.begin((1, 1), 5, millis), expected);
    let running = matches!(expected, Running | Start);
    assert_eq!(table.settle((1, 1), Unknown, millis), running);
}

/// Guards against a full table that evicts entries within their retention or forgets that an id has run. The
/// highest sequence number checks that the watermark does not overflow.
#[rstest]
#[case::answered(Answered(reply(3)), 2)]
#[case::unknown(Unknown, 2)]
#[case::not_run(NotRun(Shed), 2)]
#[case::bytes_are_bounded(Answered(reply(101)), 1)]
fn full_table_refuses_until_retention_ends_then_raises_watermark(
    #[case] outcome: RunOutcome,
    #[case] entries: u64,
) {
    let mut table = TestTable::open();
    table.begin((1, u64::MAX), 5, 0);
    table.settle((1, u64::MAX), outcome, 0);
    for sequence in 1..entries {
        assert_eq!(table.begin((1, sequence), 5, 0), Start);
    }
    assert_eq!(table.begin((1, 2), 5, 999), Refuse(QueueFull));
    table.0.expire(Moment::from_millis(1_000));
    assert_eq!(table.0.len() as u64, entries - 1);
    assert_eq!(table.0.bytes() as u64, (entries - 1) * (256 + 100));
    for sequence in [2, u64::MAX] {
        assert_eq!(
            table.begin((1, sequence), 5, 1_000),
            Refuse(RequestIdTooOld)
        );
    }
    assert_eq!(table.begin((2, 1), 5, 1_000), Start);
}

/// Guards against sessions that are evicted together with their watermark or their entries, and against a
/// table that ignores one of its limits.
#[rstest]
#[case::entries(TestTable::with(2, 9, 9_999), QueueFull)]
#[case::bytes(TestTable::with(9, 9, 2 * (256 + 100)), QueueFull)]
#[case::sessions(TestTable::with(9, 2, 9_999), RequestIdTooOld)]
fn refuses_evicted_session_and_accepts_newer_one(
    #[case] mut table: TestTable,
    #[case] expected_for_evicted: Reason,
) {
    for id in [(1, 1), (2, 1)] {
        table.begin(id, 5, 0);
        table.settle(id, Unknown, 0);
    }
    assert_eq!(table.begin((3, 1), 5, 999), Refuse(QueueFull));
    table.0.expire(Moment::from_millis(1_000));
    for session in [3, 4] {
        assert_eq!(table.begin((session, 1), 5, 1_000), Start);
    }
    for id in [(1, 1), (2, 1)] {
        assert_eq!(table.begin(id, 5, 1_000), Refuse(RequestIdTooOld));
    }
    assert_eq!(table.begin((1, 2), 5, 1_000), Refuse(expected_for_evicted));
    assert_eq!(table.begin((4, 1), 5, 1_000), Running);
}

/// Guards against two different requests that count as the same because their concatenated parts are equal.
#[test]
fn digest_distinguishes_parts_split_at_different_places() {
    assert_ne!(digest("ab", "c", None, b""), digest("a", "bc", None, b""));
    assert_ne!(
        digest("a", "b", Some("c"), b""),
        digest("a", "b", None, b"c")
    );
}
