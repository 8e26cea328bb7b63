//! Stand-ins of the platform and the drivers of the review's cases.
//!
//! Usage: `cases NAME DIR`, from the root of the repository. Writes `record.txt` to `DIR` and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.
//! Uses the standard library only.

mod cases;
mod http;
mod leaf;
mod node;
mod proxy;
mod record;
mod store;

use std::path::Path;
use std::process::exit;
use std::time::Duration;

/// Ends the run if a case takes longer than it may.
const RUN_TIME_MAX: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, directory] = arguments.as_slice() else {
        eprintln!("usage: cases NAME DIR");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if let Err(e) = record::open(Path::new(directory)) {
        eprintln!("cannot write the record: {e}");
        exit(2);
    }
    std::thread::spawn(|| {
        std::thread::sleep(RUN_TIME_MAX);
        record::note("the case took too long");
        node::kill_all();
        exit(2);
    });
    let run = std::panic::catch_unwind(|| cases::run(name, trouble));
    node::kill_all();
    let code = match run {
        Ok(Ok(violations)) if violations.is_empty() => {
            record::note("RESULT: the rule held");
            0
        }
        Ok(Ok(violations)) => {
            for violation in violations.iter().take(10) {
                record::note(&format!("violation: {violation}"));
            }
            let count = violations.len();
            record::note(&format!("RESULT: the rule was broken ({count} violations)"));
            1
        }
        Ok(Err(e)) => {
            record::note(&format!("RESULT: the case could not run: {e}"));
            2
        }
        Err(_panic) => {
            record::note("RESULT: the case could not run: the driver panicked");
            2
        }
    };
    exit(code);
}
