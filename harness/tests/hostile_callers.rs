//! Tests that callers without limits of their own cannot end a node: crowds of bodies that each stay inside the limits,
//! together far above the memory of the node.
//!
//! The checks do not depend on the speed of the machine: the process lives, its peak memory stays under a bound, and
//! an ordinary query is answered after the crowd.

use std::time::Duration;

use anyhow::Context;
use redwinggrade_demo::fixture::{Fixture, Layout, SEARCH_INDEX};
use rstest::rstest;
use standins::crowd::Crowd;

/// The memory that a node may use, in MiB.
const MEMORY_MB: u64 = 96;
/// The connections of a crowd; one part in this number of them sends its request completely.
const CROWD: usize = 1_200;
const COMPLETE_ONE_IN: usize = 10;
/// The largest body of a query, in bytes.
const BODY_MAX_BYTES: usize = 64 << 10;
/// How many bytes short of their end most of a crowd stop.
const MISSING_BYTES: usize = 40;
/// How long a crowd stays, longer than a body may take.
const STAY: Duration = Duration::from_secs(3);

/// How the connections of a crowd send their bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    /// With a length, in one write.
    Whole,
    /// In chunks of 16 KiB.
    LargeChunks,
    /// In chunks of one byte, 8 KiB in all.
    ByteChunks,
}

impl Form {
    fn request(self, is_complete: bool) -> Vec<u8> {
        let head = |length: &str| {
            format!(
                "POST /v1/query/{}/match HTTP/1.1\r\nHost: node\r\nDeadline-Ms: 1500\r\n{length}\r\n\r\n",
                SEARCH_INDEX.name
            )
            .into_bytes()
        };
        let chunked = |size: usize, total: usize| {
            let start = format!("{size:x}\r\n").into_bytes();
            let chunk = [start, vec![b'x'; size], b"\r\n".to_vec()].concat();
            let body = chunk.repeat(total / size);
            [
                head("Transfer-Encoding: chunked"),
                body,
                b"0\r\n\r\n".to_vec(),
            ]
            .concat()
        };
        let mut request = match self {
            Self::Whole => {
                let head = head(&format!("Content-Length: {BODY_MAX_BYTES}"));
                [head, vec![b'x'; BODY_MAX_BYTES]].concat()
            }
            Self::LargeChunks => chunked(16 << 10, BODY_MAX_BYTES),
            Self::ByteChunks => chunked(1, 8 << 10),
        };
        if !is_complete {
            request.truncate(request.len() - MISSING_BYTES);
        }
        request
    }
}

/// Returns the peak memory of a process in KiB.
fn peak_kib(process: u32) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let line = line.context("a running process has a peak")?;
    Ok(line.trim_matches(|it: char| !it.is_ascii_digit()).parse()?)
}

/// Guards against bodies of legal size that together exceed the memory of a node.
#[rstest]
#[case::whole(Form::Whole)]
#[case::in_large_chunks(Form::LargeChunks)]
#[case::in_chunks_of_one_byte(Form::ByteChunks)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_bodies_do_not_exceed_memory_of_node(#[case] form: Form) -> anyhow::Result<()> {
    let layout = Layout {
        memory_mb: Some(MEMORY_MB),
        ..Layout::ONE_CELL
    };
    let mut fixture = Fixture::start(layout).await?;
    let process = fixture.fleet.process_id(0).context("the node runs")?;
    let at_rest = peak_kib(process)?;
    for _ in 0..2 {
        let requests = (0..CROWD).map(|number| form.request(number % COMPLETE_ONE_IN == 0));
        let crowd = Crowd::open(fixture.fleet.nodes[0].caller, requests);
        tokio::time::sleep(STAY).await;
        drop(crowd);
    }
    fixture.wait_until_complete().await?;
    let peak = peak_kib(process)?;
    println!("VmHWM {peak} KiB, {at_rest} before the crowds");
    anyhow::ensure!(
        peak <= MEMORY_MB << 10,
        "VmHWM {peak} KiB, {MEMORY_MB} MiB allowed"
    );
    Ok(())
}
