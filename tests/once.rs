//! Guards "at most once" (P7) and truthful "not run" (P6) for the ids that an incarnation issues.

use std::time::Duration;

use redwinggrade::request::id::Error::{self, *};
use redwinggrade::request::id::{Issuer, Request, Session};
use redwinggrade::request::once::Admission::{self, *};
use redwinggrade::request::once::Settlement::{self, *};
use redwinggrade::request::once::{Limits, Table, digest};
use redwinggrade::time::Moment;
use redwinggrade::wire::Incarnation;
use redwinggrade::wire::Reason::{self, *};
use redwinggrade::wire::run::Reply;
use rstest::rstest;

const NODE: &str = "node-1.dc-2";

fn mint(key: u128) -> Issuer {
    Issuer::open(NODE, Incarnation(0x5f), key)
}

/// A request of the session that was issued after `session` microseconds.
fn request(session: u64, sequence: u64) -> Request {
    let session = mint(7).issue(Moment::from_micros(session));
    Request { session, sequence }
}

fn reply(length: usize) -> Reply {
    let body = vec![b'x'; length].into();
    Reply { status: 200, body }
}

/// Two sessions and two entries, each of at most 100 bytes of reply, kept for one second.
struct World(Table);

impl World {
    fn open() -> Self {
        Self::with(2, 2, 2 * (256 + 100))
    }

    fn with(entries: usize, sessions: usize, bytes: usize) -> Self {
        Self(Table::open(Limits {
            entries,
            sessions,
            bytes,
            reply_bytes: 100,
            retention: Duration::from_secs(1),
            running_timeout: Duration::from_mins(1),
        }))
    }

    fn begin(&mut self, id: (u64, u64), digest: u128, millis: u64) -> Admission {
        let request = request(id.0, id.1);
        self.0.begin(&request, digest, Moment::from_millis(millis))
    }

    fn settle(&mut self, id: (u64, u64), settlement: Settlement, millis: u64) -> bool {
        let request = request(id.0, id.1);
        self.0
            .settle(&request, settlement, Moment::from_millis(millis))
    }
}

/// Guards against node names that are mistaken for separators.
#[test]
fn an_issued_id_survives_its_text_form_and_verifies() {
    let text = request(1, 12).to_string();
    let parsed: Request = text.parse().expect("an issued id is well formed");
    assert_eq!((parsed.to_string(), parsed.sequence), (text, 12));
    assert_eq!(parsed.session.node, NODE);
    assert_eq!(mint(7).verify(&parsed), Ok(()));
}

/// Guards against two spellings of one id, which targets and journals would take for two requests.
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
fn a_malformed_id_is_refused(#[case] text: &str, #[case] expected: Error) {
    assert_eq!(text.parse::<Request>(), Err(expected));
}

/// Guards against ids that another incarnation issued or that nobody issued.
#[rstest]
#[case(|it: &mut Session| it.tag ^= 1, Forged)]
#[case(|it: &mut Session| it.number += 1, Forged)]
#[case(|it: &mut Session| *it = mint(8).issue(Moment::ZERO), Forged)]
#[case(|it: &mut Session| it.incarnation.0 += 1, Foreign(NODE.into(), Incarnation(0x60)))]
#[case(|it: &mut Session| it.node = "m".into(), Foreign("m".into(), Incarnation(0x5f)))]
fn a_changed_id_does_not_verify(#[case] change: fn(&mut Session), #[case] expected: Error) {
    let mut request = request(1, 1);
    change(&mut request.session);
    assert_eq!(mint(7).verify(&request), Err(expected));
}

#[test]
fn sessions_of_one_moment_differ() {
    let mut mint = mint(7);
    assert_ne!(mint.issue(Moment::ZERO), mint.issue(Moment::ZERO));
}

/// Guards against a second run of an id, whatever became of the first one. A run whose task was lost
/// neither blocks its id for ever nor runs again.
#[rstest]
#[case::running(None, 2, Running)]
#[case::lost(None, 60_000, Refuse(OutcomeUnknown))]
#[case::answered(Some(Answered(reply(3))), 2, Answer(reply(3)))]
#[case::unknown(Some(Unknown), 2, Refuse(OutcomeUnknown))]
#[case::not_run(Some(NotRun(Shed)), 2, Start)]
#[case::too_large(Some(Answered(reply(1_000))), 2, Refuse(OutcomeUnknown))]
fn a_repeated_id_meets_what_became_of_it(
    #[case] settlement: Option<Settlement>,
    #[case] millis: u64,
    #[case] expected: Admission,
) {
    let mut world = World::open();
    assert_eq!(world.begin((1, 1), 5, 0), Start);
    if let Some(settlement) = settlement {
        assert!(world.settle((1, 1), settlement, 1));
    }
    assert_eq!(world.begin((1, 1), 6, millis), Refuse(ReusedRequestId));
    assert_eq!(world.begin((1, 1), 5, millis), expected);
    let running = matches!(expected, Running | Start);
    assert_eq!(world.settle((1, 1), Unknown, millis), running);
}

/// Guards against a full table that drops entries within their retention, or forgets that an id ran.
/// The highest sequence shows that the watermark does not overflow.
#[rstest]
#[case::answered(Answered(reply(3)), 2)]
#[case::unknown(Unknown, 2)]
#[case::not_run(NotRun(Shed), 2)]
#[case::bytes_are_bounded(Answered(reply(101)), 1)]
fn a_full_table_refuses_and_then_raises_the_watermark(
    #[case] settlement: Settlement,
    #[case] entries: u64,
) {
    let mut world = World::open();
    world.begin((1, u64::MAX), 5, 0);
    world.settle((1, u64::MAX), settlement, 0);
    for sequence in 1..entries {
        assert_eq!(world.begin((1, sequence), 5, 0), Start);
    }
    assert_eq!(world.begin((1, 2), 5, 999), Refuse(QueueFull));
    world.0.expire(Moment::from_millis(1_000));
    assert_eq!(world.0.len() as u64, entries - 1);
    assert_eq!(world.0.bytes() as u64, (entries - 1) * (256 + 100));
    for sequence in [2, u64::MAX] {
        assert_eq!(
            world.begin((1, sequence), 5, 1_000),
            Refuse(RequestIdTooOld)
        );
    }
    assert_eq!(world.begin((2, 1), 5, 1_000), Start);
}

/// Guards against sessions that are forgotten together with their watermark or their entries, and
/// against a table that only one of its limits bounds.
#[rstest]
#[case::entries(World::with(2, 9, 9_999), QueueFull)]
#[case::bytes(World::with(9, 9, 2 * (256 + 100)), QueueFull)]
#[case::sessions(World::with(9, 2, 9_999), RequestIdTooOld)]
fn a_forgotten_session_is_refused_and_a_newer_one_is_not(
    #[case] mut world: World,
    #[case] unused: Reason,
) {
    for id in [(1, 1), (2, 1)] {
        world.begin(id, 5, 0);
        world.settle(id, Unknown, 0);
    }
    assert_eq!(world.begin((3, 1), 5, 999), Refuse(QueueFull));
    world.0.expire(Moment::from_millis(1_000));
    for session in [3, 4] {
        assert_eq!(world.begin((session, 1), 5, 1_000), Start);
    }
    for id in [(1, 1), (2, 1)] {
        assert_eq!(world.begin(id, 5, 1_000), Refuse(RequestIdTooOld));
    }
    assert_eq!(world.begin((1, 2), 5, 1_000), Refuse(unused));
    assert_eq!(world.begin((4, 1), 5, 1_000), Running);
}

#[test]
fn a_digest_tells_requests_apart_whose_parts_are_split_differently() {
    assert_ne!(digest("ab", "c", None, b""), digest("a", "bc", None, b""));
    assert_ne!(
        digest("a", "b", Some("c"), b""),
        digest("a", "b", None, b"c")
    );
}
