//! Case 6: callers that leave early make a node lose targets for good.

#[path = "../standins-2/lab.rs"]
mod lab;

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::{HOST, Leaf, Node, Random, Record, Store, call, lock, request_head, spawn};

/// The index of grown Magnolia after it has been cut anew, with the leafs, slots and connections of its sheet.
const SHARDS: usize = 135;
const LEAFS_PER_SHARD: usize = 3;
const SLOTS: u32 = 2;
const CONNECTIONS: u32 = 67;
/// The mean work of `proof-browse`.
const WORK: Duration = Duration::from_millis(15);

/// The largest dose of `give_up` in the site files.
const LEAVING_SHARE: f64 = 0.3;
const LEAVING_TIME: Duration = Duration::from_secs(8);
const ROUNDS: usize = 4;
const PAUSE: Duration = Duration::from_secs(2);
/// `recovery_s` of the sheet.
const RECOVERY: Duration = Duration::from_secs(15);
/// How long the steady state is judged.
const JUDGED: Duration = Duration::from_secs(25);

/// A kind of request: its path, how many come in a second, its objective and its deadline.
struct Kind {
    path: &'static str,
    per_second: f64,
    objective_ms: u64,
    deadline_ms: u64,
}

const KINDS: [Kind; 2] = [
    Kind { path: "/browse/", per_second: 40.0, objective_ms: 150, deadline_ms: 2_000 },
    Kind { path: "/tin/", per_second: 10.0, objective_ms: 500, deadline_ms: 8_000 },
];

#[derive(Default)]
struct Count {
    sent: AtomicU64,
    served: AtomicU64,
    left: AtomicU64,
}

/// What the callers do at present.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Calm,
    Leaving,
    Judged,
    End,
}

struct Traffic {
    node: std::net::SocketAddr,
    phase: Mutex<Phase>,
    record: Record,
    /// For each kind: in all, and in the steady state that is judged.
    all: [Count; 2],
    judged: [Count; 2],
}

fn main() {
    let directory = std::env::args().nth(1).expect("the directory for settings and logs is given");
    let record_path = std::env::args().nth(2).expect("the path of the record is given");
    let is_troubled = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::open(Path::new(&record_path));
    let store = Store::start();
    let services: Vec<String> = (0..SHARDS).map(|it| format!("s{it}")).collect();
    for (number, service) in services.iter().enumerate() {
        for copy in 0..LEAFS_PER_SHARD {
            let body = vec![b'a' + (number % 26) as u8; 400];
            let leaf = Leaf::start(&format!("{service}-{copy}"), service, WORK, body);
            leaf.register(&store, "se-atl", SLOTS);
        }
    }
    for copy in 0..5 {
        let leaf = Leaf::start(&format!("desk-{copy}"), "desk", Duration::from_millis(120), vec![b'x'; 6_000]);
        leaf.register(&store, "se-atl", 4);
    }
    let version = |number: u32, routes: &[String]| {
        let service = |name: &str| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":{CONNECTIONS},\"warmup_s\":3.0,\"warmup_per_s\":0.0}}")
        };
        let mut known: Vec<String> = services.iter().map(|it| service(it)).collect();
        known.push(service("desk"));
        format!(
            "{{\"version\":{number},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            routes.join(","),
            known.join(",")
        )
    };
    let shards: Vec<String> = services.iter().map(|it| format!("\"{it}\"")).collect();
    let query = |kind: &Kind, top: u32, coverage: f64| {
        format!(
            "{{\"name\":\"r{0}\",\"host\":\"{HOST}\",\"prefix\":\"{0}\",\"kind\":\"idempotent\",\"timeout_ms\":{1},\
             \"target_latency_ms\":{2},\"priority\":1,\"gather\":[{3}],\"max_attempts\":2,\"top_k\":{top},\
             \"min_coverage\":{coverage}}}",
            kind.path, kind.deadline_ms, kind.objective_ms, shards.join(",")
        )
    };
    let tin = format!(
        "{{\"name\":\"r/tin/\",\"host\":\"{HOST}\",\"prefix\":\"/tin/\",\"kind\":\"idempotent\",\"timeout_ms\":8000,\
         \"target_latency_ms\":500,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2}}"
    );
    let first = [tin];
    store.put("op/config", &version(1, &first));
    let mut node = Node::start(Path::new(&directory), "edge-se-atl-1", store.address);
    if !node.wait_ready(Duration::from_secs(20)) {
        record.tell("the node did not become ready");
        std::process::exit(2);
    }
    let routes = [&first[..], &[query(&KINDS[0], 20, 0.95)]].concat();
    store.put("op/config", &version(2, &routes));
    record.tell("the operator adds the route /browse/ over 135 shards in version 2");
    // Callers arrive ten seconds after the node has started.
    thread::sleep(Duration::from_secs(10));

    let traffic = Arc::new(Traffic {
        node: node.callers,
        phase: Mutex::new(Phase::Calm),
        record: record.clone(),
        all: Default::default(),
        judged: Default::default(),
    });
    let senders: Vec<_> = (0..KINDS.len())
        .map(|index| {
            let traffic = Arc::clone(&traffic);
            spawn(move || send_kind(&traffic, index))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    for round in 1..=ROUNDS {
        if is_troubled {
            record.tell(&format!("round {round}: {LEAVING_SHARE} of the callers leave within half of their objective"));
            *lock(&traffic.phase) = Phase::Leaving;
        }
        thread::sleep(LEAVING_TIME);
        *lock(&traffic.phase) = Phase::Calm;
        thread::sleep(PAUSE);
    }
    record.tell("no caller leaves any more");
    thread::sleep(RECOVERY);
    record.tell("steady state, judged from here on");
    *lock(&traffic.phase) = Phase::Judged;
    thread::sleep(JUDGED);
    *lock(&traffic.phase) = Phase::End;
    for sender in senders {
        sender.join().expect("the callers do not panic");
    }
    thread::sleep(Duration::from_secs(3));
    let is_running = node.is_running();
    std::process::exit(judge(&traffic, &record, is_running));
}

/// Compares the route that was added later with the first one, as the rule does.
fn judge(traffic: &Traffic, record: &Record, is_running: bool) -> i32 {
    let share = |counts: &[&Count]| {
        let sum = |it: fn(&Count) -> &AtomicU64| counts.iter().map(|count| it(count).load(Ordering::SeqCst)).sum::<u64>();
        let (sent, served) = (sum(|it| &it.sent), sum(|it| &it.served));
        (sent, served, served as f64 / sent.max(1) as f64)
    };
    for (kind, (all, judged)) in KINDS.iter().zip(traffic.all.iter().zip(&traffic.judged)) {
        let ((sent, served, _), (late_sent, late_served, _)) = (share(&[all]), share(&[judged]));
        let left = all.left.load(Ordering::SeqCst);
        record.tell(&format!(
            "{}: {sent} sent, {served} served, {left} left early; in the steady state {late_sent} sent, {late_served} served",
            kind.path
        ));
    }
    let (sent, _, later) = share(&[&traffic.judged[0]]);
    let (_, _, first) = share(&[&traffic.judged[1]]);
    record.tell(&format!("the node still runs: {is_running}"));
    if sent < 20 || first < 0.5 || !is_running {
        record.tell("the case could not run: too few requests, or the first route is not served");
        return 2;
    }
    if later < first / 4.0 {
        record.tell(&format!("CONFIG broken: later route served {later:.3} of the time, first route {first:.3}"));
        return 1;
    }
    record.tell(&format!("held: later route served {later:.3} of the time, first route {first:.3}"));
    0
}

/// Sends the requests of one kind at random times, each on a new connection.
fn send_kind(traffic: &Arc<Traffic>, index: usize) {
    let kind = &KINDS[index];
    let mut random = Random(0x9e37_79b9 + index as u64);
    let mut next = Instant::now();
    for number in 0.. {
        next += Duration::from_secs_f64(-(1.0 - random.share()).ln() / kind.per_second);
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let phase = *lock(&traffic.phase);
        if phase == Phase::End {
            return;
        }
        let leaves = phase == Phase::Leaving && index == 0 && random.share() < LEAVING_SHARE;
        let patience = Duration::from_micros((random.share() * kind.objective_ms as f64 * 500.0) as u64);
        let traffic = Arc::clone(traffic);
        spawn(move || {
            let id = format!("q{index}-{number}");
            let head = request_head("GET", &format!("{}x", kind.path), &id, kind.deadline_ms);
            if leaves {
                traffic.all[index].left.fetch_add(1, Ordering::SeqCst);
                leave(traffic.node, &head, patience);
                traffic.record.line(&format!("{id} left after {} ms", patience.as_millis()));
                return;
            }
            let answer = call(traffic.node, &head, b"", Duration::from_millis(kind.deadline_ms + 500));
            let status = answer.as_ref().map_or(0, lab::Message::status);
            let missing = answer.as_ref().ok().and_then(|it| it.header("x-missing-parts")).unwrap_or("-").to_owned();
            traffic.record.line(&format!("{id} status {status}, missing parts {missing}"));
            let counts = [&traffic.all[index], &traffic.judged[index]];
            let counted = if phase == Phase::Judged { &counts[..] } else { &counts[..1] };
            for count in counted {
                count.sent.fetch_add(1, Ordering::SeqCst);
                count.served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
            }
        });
    }
}

/// Sends a request and closes the connection before its answer has come.
fn leave(node: std::net::SocketAddr, head: &str, patience: Duration) {
    let Ok(mut stream) = std::net::TcpStream::connect_timeout(&node, Duration::from_secs(1)) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = std::io::Write::write_all(&mut stream, format!("{head}\r\n").as_bytes());
    thread::sleep(patience);
}
