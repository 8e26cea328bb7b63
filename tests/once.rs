//! Guards "at most once" (P7) and truthful "not run" (P6) for the ids that an incarnation issues.

use std::time::Duration;

use redwinggrade::request::id::{Error, Mint, Request, Session};
use redwinggrade::request::once::{Admission, Limits, Settlement, Table, digest};
use redwinggrade::time::Moment;
use redwinggrade::wire::run::Reply;
use redwinggrade::wire::{Incarnation, Reason};
use rstest::rstest;

const NODE: &str = "node-1.dc-2";

fn mint() -> Mint {
    Mint::open(NODE, Incarnation(0x5f), 7)
}

fn request(sequence: u64) -> Request {
    Request {
        session: mint().mint(Moment::from_micros(1)),
        sequence,
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn reply(length: usize) -> Settlement {
    Settlement::Answered(Reply {
        status: 200,
        body: vec![b'x'; length].into(),
    })
}

/// Two entries, each of at most 100 bytes of reply, kept for one second.
fn table() -> Table {
    Table::open(Limits {
        entries: 2,
        sessions: 2,
        bytes: 2 * (256 + 100),
        reply_bytes: 100,
        retention: Duration::from_secs(1),
        running: Duration::from_mins(1),
    })
}

/// Guards against node names that are mistaken for separators.
#[test]
fn an_issued_id_survives_its_text_form_and_verifies() {
    let text = request(12).to_string();
    let parsed: Request = text.parse().expect("an issued id is well formed");
    assert_eq!((parsed.session.node.as_str(), parsed.sequence), (NODE, 12));
    assert_eq!(parsed.to_string(), text);
    assert_eq!(mint().verify(&parsed), Ok(()));
}

/// Guards against two spellings of one id, which targets and journals would take for two requests.
#[rstest]
#[case("n.1.2.0000000000000003", Error::Missing("sequence"))]
#[case("1.2.0000000000000003-1", Error::Missing("incarnation"))]
#[case(".1.2.0000000000000003-1", Error::Missing("node name"))]
#[case("n.1.2.0000000000000003-01", Error::BadNumber("sequence"))]
#[case("n.1.2.0000000000000003-+1", Error::BadNumber("sequence"))]
#[case("n.1.2.0000000000000003-", Error::BadNumber("sequence"))]
#[case(
    "n.1.2.0000000000000003-18446744073709551616",
    Error::BadNumber("sequence")
)]
#[case("n.01.2.0000000000000003-1", Error::BadNumber("incarnation"))]
#[case("n.1.F.0000000000000003-1", Error::BadNumber("number"))]
#[case("n.1.2.3-1", Error::BadNumber("tag"))]
#[case("n.1.2.00000000000000g3-1", Error::BadNumber("tag"))]
fn a_malformed_id_is_refused(#[case] text: &str, #[case] expected: Error) {
    assert_eq!(text.parse::<Request>(), Err(expected));
}

#[test]
fn an_oversized_id_is_refused() {
    assert_eq!("x".repeat(257).parse::<Request>(), Err(Error::TooLong));
}

/// Guards against ids that another incarnation issued or that nobody issued.
#[rstest]
#[case(|it: &mut Session| it.tag ^= 1, Error::Forged)]
#[case(|it: &mut Session| it.number += 1, Error::Forged)]
#[case(|it: &mut Session| it.incarnation.0 += 1, Error::Foreign(NODE.into(), Incarnation(0x60)))]
#[case(|it: &mut Session| it.node = "m".into(), Error::Foreign("m".into(), Incarnation(0x5f)))]
fn a_changed_id_does_not_verify(#[case] change: fn(&mut Session), #[case] expected: Error) {
    let mut request = request(1);
    change(&mut request.session);
    assert_eq!(mint().verify(&request), Err(expected));
}

#[test]
fn sessions_of_one_moment_differ_and_another_key_forges_nothing() {
    let mut mint = mint();
    let first = mint.mint(at(5));
    assert_ne!(first, mint.mint(at(5)));
    let mut other = Mint::open(NODE, Incarnation(0x5f), 8);
    let forged = Request {
        session: other.mint(at(5)),
        sequence: 1,
    };
    assert_eq!(mint.verify(&forged), Err(Error::Forged));
}

/// Guards against a second run of an id, whatever became of the first one.
#[rstest]
#[case::running(None, Admission::Running)]
#[case::answered(
    Some(reply(3)),
    Admission::Answer(Reply { status: 200, body: "xxx".into() })
)]
#[case::unknown(Some(Settlement::Unknown), Admission::Refuse(Reason::OutcomeUnknown))]
#[case::not_run(Some(Settlement::NotRun(Reason::Shed)), Admission::Start)]
#[case::reply_too_large(Some(reply(1_000)), Admission::Refuse(Reason::OutcomeUnknown))]
fn a_repeated_id_meets_what_became_of_it(
    #[case] settlement: Option<Settlement>,
    #[case] expected: Admission,
) {
    let mut table = table();
    assert_eq!(table.begin(&request(1), 5, at(0)), Admission::Start);
    if let Some(settlement) = settlement {
        assert!(table.settle(&request(1), settlement, at(1)));
        assert!(!table.settle(&request(1), reply(1), at(1)), "settled twice");
    }
    assert_eq!(
        table.begin(&request(1), 6, at(2)),
        Admission::Refuse(Reason::ReusedRequestId)
    );
    assert_eq!(table.begin(&request(1), 5, at(2)), expected);
}

/// Guards against a run whose task was lost and that blocks its id for ever, or lets it run again.
#[test]
fn a_run_that_never_settles_becomes_unknown() {
    let mut table = table();
    table.begin(&request(1), 5, at(0));
    assert_eq!(
        table.begin(&request(1), 5, at(60_000)),
        Admission::Refuse(Reason::OutcomeUnknown)
    );
    assert!(!table.settle(&request(1), reply(1), at(60_001)));
}

/// Guards against a full table that drops entries within their retention, or forgets that an id ran.
/// The highest sequence shows that the watermark does not overflow.
#[rstest]
#[case::answered(reply(3))]
#[case::unknown(Settlement::Unknown)]
#[case::not_run(Settlement::NotRun(Reason::Shed))]
fn a_full_table_refuses_new_ids_and_then_raises_the_watermark(#[case] settlement: Settlement) {
    let mut table = table();
    table.begin(&request(u64::MAX), 5, at(0));
    table.begin(&request(1), 5, at(0));
    table.settle(&request(u64::MAX), settlement, at(0));
    assert_eq!(
        table.begin(&request(2), 5, at(999)),
        Admission::Refuse(Reason::QueueFull)
    );
    table.expire(at(1_000));
    assert_eq!((table.len(), table.bytes()), (1, 256 + 100));
    for sequence in [2, u64::MAX] {
        assert_eq!(
            table.begin(&request(sequence), 5, at(1_000)),
            Admission::Refuse(Reason::RequestIdTooOld)
        );
    }
    assert_eq!(table.begin(&request(1), 5, at(1_000)), Admission::Running);
}

/// Guards against replies that together exceed the bytes of the table.
#[test]
fn bytes_are_bounded() {
    let mut table = table();
    table.begin(&request(1), 5, at(0));
    table.settle(&request(1), reply(101), at(0));
    assert_eq!(
        table.begin(&request(2), 5, at(1)),
        Admission::Refuse(Reason::QueueFull)
    );
    assert_eq!(table.begin(&request(2), 5, at(1_000)), Admission::Start);
}

/// Guards against sessions that are forgotten together with their watermark.
#[test]
fn a_forgotten_session_is_refused_and_a_newer_one_is_not() {
    let (mut table, mut mint) = (table(), mint());
    let requests: Vec<Request> = (1..=3)
        .map(|it| Request {
            session: mint.mint(at(it)),
            sequence: 1,
        })
        .collect();
    for request in &requests[..2] {
        table.begin(request, 5, at(4));
        table.settle(request, Settlement::Unknown, at(4));
    }
    assert_eq!(
        table.begin(&requests[2], 5, at(5)),
        Admission::Refuse(Reason::QueueFull)
    );
    table.expire(at(2_000));
    assert_eq!(table.begin(&requests[2], 5, at(2_000)), Admission::Start);
    for (request, expected) in requests.iter().zip([Reason::RequestIdTooOld; 2]) {
        assert_eq!(
            table.begin(request, 5, at(2_000)),
            Admission::Refuse(expected)
        );
    }
}

#[test]
fn a_digest_tells_requests_apart_whose_parts_are_split_differently() {
    assert_ne!(digest("ab", "c", None, b""), digest("a", "bc", None, b""));
    assert_ne!(
        digest("a", "b", Some("c"), b""),
        digest("a", "b", None, b"c")
    );
}
