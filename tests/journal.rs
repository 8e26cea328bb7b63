//! Tests the parser of log lines: malformed lines are reported, and the trace of a request is in order
//! although wall clocks jump.

use std::process::{Command, Output};

use redwinggrade::process::journal::read::{Line, ParseError, Trace, render};
use rstest::rstest;

fn log_line(node: &str, at_us: u64, unix_us: u64, event: &str) -> String {
    format!(
        r#"{{"at_us":{at_us},"event":"{event}","level":"INFO","node":"{node}","request":"q1","unix_us":{unix_us}}}"#
    )
}

/// Guards against truncated lines, or lines that lack a common field, that are accepted as valid.
#[rstest]
#[case::cut_off(r#"{"at_us":1,"eve"#, None)]
#[case::no_node(r#"{"at_us":1,"event":"x","level":"INFO","unix_us":1}"#, Some("node"))]
#[case::other_type(
    r#"{"at_us":"1","event":"x","level":"INFO","node":"n","unix_us":1}"#,
    Some("at_us")
)]
fn rejects_malformed_line(#[case] text: &str, #[case] field: Option<&str>) {
    match Line::parse(text) {
        Err(ParseError::Field(name)) => assert_eq!(Some(name), field),
        Err(ParseError::Syntax(_)) => assert_eq!(field, None),
        Ok(line) => panic!("{line:?} was accepted"),
    }
}

/// Guards against a wrong order of a node's lines after its wall clock was set back.
#[test]
fn orders_lines_although_wall_clock_jumps_back() {
    let lines = [
        log_line("n1", 2_000, 1_000_000, "second"),
        log_line("n2", 70_000, 5_001_500, "third"),
        log_line("n1", 1_000, 5_000_000, "first"),
        log_line("n1", 4_000, 1_002_000, "fourth"),
    ];
    let mut trace = Trace::default();
    for text in lines {
        trace.add(Line::parse(&text).expect("well formed"), "q1");
    }
    let lines = trace.into_lines();
    let events: Vec<&str> = lines.iter().map(|line| line.event.as_str()).collect();
    assert_eq!(events, ["first", "second", "third", "fourth"]);
    assert_eq!(render(&lines).lines().count(), 4);
}

fn run_client(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_redwinggrade"))
        .args(arguments)
        .output()
        .expect("the client starts")
}

/// Guards against a client that stops at a truncated line or at the prefix of a log shipper, and against a
/// malformed line that `logs check` does not report with its file and line number.
#[test]
fn trace_and_logs_check_report_malformed_lines() {
    let directory = tempfile::tempdir().expect("a directory can be made");
    let file = directory.path().join("n1.log");
    let good = log_line("n1", 1_000, 5_000_000, "request ended");
    let text = format!("prefix of a shipper {good}\n{{\"at_us\":7,\"ev");
    std::fs::write(&file, text).expect("the file can be written");
    let file = file.to_str().expect("the path is text");

    let traced = run_client(&["trace", "q1", file]);
    assert_eq!(traced.status.code(), Some(0));
    let out = String::from_utf8_lossy(&traced.stdout).into_owned();
    assert!(
        out.contains("request ended") && out.contains("1 malformed"),
        "{out}"
    );

    let unknown = run_client(&["trace", "q2", file]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("no line is about request q2"));

    let checked = run_client(&["logs", "check", file]);
    assert_eq!(checked.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&checked.stderr).contains("n1.log:2:"));
}
