//! What a node tells the others of the roll-outs that it takes part in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::evidence::{Answers, Tally};
use super::{Phase, RunId};

/// The maximum size of the reports in one datagram.
pub const REPORTS_MAX_BYTES: usize = 250;
/// The unit of ages in reports.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// A node's view of one roll-out, with its own counts since the start of the roll-out or of its process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Wire", from = "Wire")]
pub struct Report {
    /// The hash of the service's name.
    pub service: u32,
    /// The execution of the order.
    pub run: RunId,
    /// The phase in which the node is.
    pub phase: Phase,
    /// Whether the node knows that the version is bad.
    pub bad: bool,
    /// The time since the order, as far as the node knows.
    pub age: Duration,
    /// The node's open requests to old targets.
    pub open_old: u8,
    /// The node's own counts, by the hash of the route's name. Routes that do not fit are left out.
    pub routes: Vec<(u32, Tally)>,
}

/// The form of a report in a datagram, without names.
type Wire = (u32, u32, u8, u16, u8, Vec<(u32, Vec<u16>)>);

/// The bit that marks a bad version, beside the number of the phase.
const BAD: u8 = 4;

impl From<Report> for Wire {
    fn from(report: Report) -> Self {
        let phase = match report.phase {
            Phase::Canary => 0,
            Phase::Shifting => 1,
            Phase::Completed => 2,
            Phase::RolledBack => 3,
        };
        let age = report.age.as_millis() / AGE_UNIT.as_millis();
        let routes = report.routes.into_iter();
        (
            report.service,
            report.run.0,
            phase | if report.bad { BAD } else { 0 },
            u16::try_from(age).unwrap_or(u16::MAX),
            report.open_old,
            routes.map(|(route, tally)| (route, pack(&tally))).collect(),
        )
    }
}

impl From<Wire> for Report {
    fn from((service, run, flags, age, open_old, routes): Wire) -> Self {
        let phase = match flags & 3 {
            0 => Phase::Canary,
            1 => Phase::Shifting,
            2 => Phase::Completed,
            _ => Phase::RolledBack,
        };
        let routes = routes.into_iter();
        Self {
            service,
            run: RunId(run),
            phase,
            bad: flags & BAD != 0,
            age: AGE_UNIT * u32::from(age),
            open_old,
            routes: routes
                .map(|(route, packed)| (route, unpack(&packed)))
                .collect(),
        }
    }
}

/// Packs a tally into numbers, most of them small: the failures and the bits of the targets, the number of ranges with
/// answers of new targets, and the ranges with their counts.
fn pack(tally: &Tally) -> Vec<u16> {
    let count = |failed: u32| u16::try_from(failed).unwrap_or(u16::MAX);
    let mut packed = vec![
        count(tally.new.failed),
        count(tally.old.failed),
        u16::from(tally.failed_targets),
        u16::from(tally.asked_targets),
        tally.new.times.filled().count() as u16,
    ];
    let filled = tally.new.times.filled().chain(tally.old.times.filled());
    packed.extend(filled.flat_map(|(range, count)| [range, count]));
    packed
}

/// Reads what [`pack`] wrote. What is missing counts as zero.
fn unpack(packed: &[u16]) -> Tally {
    let mut tally = Tally::default();
    let at = |index: usize| packed.get(index).copied().unwrap_or_default();
    tally.new.failed = u32::from(at(0));
    tally.old.failed = u32::from(at(1));
    tally.failed_targets = at(2) as u8;
    tally.asked_targets = at(3) as u8;
    let pairs = packed.get(5..).unwrap_or_default().chunks_exact(2);
    for (index, pair) in pairs.enumerate() {
        let side: &mut Answers = if index < usize::from(at(4)) {
            &mut tally.new
        } else {
            &mut tally.old
        };
        side.times.set(pair[0], pair[1]);
    }
    tally
}

/// Returns the size of a report in a datagram.
pub fn encoded_len(report: &Report) -> usize {
    rmp_serde::to_vec(report)
        .expect("a report holds only types that can be encoded")
        .len()
}

/// Shortens a report to at most `room` bytes by leaving out routes, those with the fewest answers of new targets first.
/// Returns nothing if it does not fit without any.
pub fn fit(mut report: Report, room: usize) -> Option<Report> {
    report.routes.sort_by_key(|(_, tally)| {
        std::cmp::Reverse((tally.new.failed, tally.new.total(), tally.old.total()))
    });
    while encoded_len(&report) > room {
        report.routes.pop()?;
    }
    Some(report)
}
