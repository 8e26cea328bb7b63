//! Decides which requests run when a node runs nearly as many as it can.
//!
//! Load that it answers: more requests at the same time than the processor of the node completes in time, whatever the
//! state of the targets. The last part of the room is kept for urgent requests.

/// The part of the room that the least urgent requests do not fill.
const KEPT_FOR_URGENT: f64 = 0.25;
/// The share of the less urgent requests that run although only the kept room is left, so that none of them starves:
/// all requests together are served at most four times as often.
pub const FLOOR: f64 = 0.25;

/// Decides whether a request runs beside `running` others, of at most `max`.
///
/// `lag` is its place among the urgencies, from 0 for the most urgent to 1 for the least urgent one. `draw` is a random
/// number from 0 to 1.
pub fn admits(running: usize, max: usize, lag: f64, draw: f64) -> bool {
    if running > max {
        return false;
    }
    let room = max as f64 * (1.0 - KEPT_FOR_URGENT * lag);
    running as f64 <= room || draw < FLOOR
}
