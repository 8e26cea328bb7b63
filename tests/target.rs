//! Tests the connections of a gateway to its targets when these send answers without end.

use std::time::Duration;

use redwinggrade::connection::memory::Budget;
use redwinggrade::connection::target::{Connection, ConnectionEvent, Operation, Target};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// The number of targets that send without end at the same time.
const TARGETS: usize = 64;
/// The memory for the bodies of all targets.
const ANSWERS_BYTES: usize = 16 << 20;
/// How much the process may grow: each connection reads 16 KiB ahead, and all bodies together may take 16 MiB.
const GROWTH_MAX_KIB: u64 = 32 << 10;
/// The time limit of the test, within which the bodies exceed their maximum.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Returns the highest memory that this process has held, in KiB.
fn peak_kib() -> u64 {
    let status =
        std::fs::read_to_string("/proc/self/status").expect("the system states the memory");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let digits = line.map(|it| it.trim_matches(|it: char| !it.is_ascii_digit()));
    digits
        .and_then(|it| it.parse().ok())
        .expect("the peak is a number")
}

/// Guards against a node that keeps all chunks that its targets send without end, and so runs out of memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_without_end_are_bounded_together() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let target = Target::new(address, Budget::open(ANSWERS_BYTES));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _request = stream.read(&mut [0; 4_096]).await;
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let chunks = b"1\r\na\r\n".repeat(1_000);
                let mut written = stream.write_all(head).await;
                while written.is_ok() {
                    written = stream.write_all(&chunks).await;
                }
            });
        }
    });
    let before = peak_kib();
    let (ends, mut ended) = mpsc::unbounded_channel();
    let connections: Vec<Connection<()>> = (0..TARGETS)
        .map(|_| {
            let ends = ends.clone();
            let on_event = move |event| {
                if matches!(
                    event,
                    ConnectionEvent::Done(..) | ConnectionEvent::Closed(_)
                ) {
                    let _unheard = ends.send(());
                }
            };
            Connection::open(&target, Some(((), Operation::Status)), |_| Ok(()), on_event)
        })
        .collect();
    let all_end = async {
        for _ in 0..TARGETS {
            ended.recv().await;
        }
    };
    let ended = tokio::time::timeout(TIMEOUT, all_end).await;
    assert!(ended.is_ok(), "an answer without end did not end");
    drop(connections);
    let grown = peak_kib() - before;
    println!("grown by {grown} KiB");
    assert!(grown <= GROWTH_MAX_KIB, "the process grew by {grown} KiB");
}
