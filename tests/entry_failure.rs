//! Tests that an entry instance reports a failure of the tasks without which it would serve old settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::http::response;
use redwinggrade::connection::keyspace::{
    Batch, Era, Error, Freshness, Keyspace, Lease, Page, Revision, Write,
};
use redwinggrade::connection::memory::Budget;
use redwinggrade::connection::outbound::Memory;
use redwinggrade::connection::outbound::{Call, CallResult, Endpoint, Protocol};
use redwinggrade::process::budget::Bound;
use redwinggrade::process::entry::{Config, Entry, Platform};
use redwinggrade::quota;
use redwinggrade::rollout::Record;
use redwinggrade::version::item::{Codec, Item, ItemKind, Node};
use redwinggrade::wire::Incarnation;

/// How long a failure may take to be reported; the test waits for it, not for this time.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// A store whose listings make the client panic.
#[derive(Debug)]
struct PanickingStore;

impl Keyspace for PanickingStore {
    fn era(&self) -> Era {
        Era::default()
    }

    async fn list(&self, _: &str, _: Option<&str>, _: Freshness) -> Result<Page, Error> {
        panic!("unexpected listing");
    }

    async fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Batch, Error> {
        Err(Error::Refused(503))
    }

    async fn put(&self, _: &str, _: &[u8], _: Lease) -> Result<(), Error> {
        Ok(())
    }

    async fn write_if(&self, _: &[Write]) -> Result<Revision, Error> {
        Err(Error::Conflict)
    }

    async fn grant(&self, _: Duration) -> Result<Lease, Error> {
        Ok(Lease(1))
    }

    async fn renew(&self, _: Lease) -> Result<(), Error> {
        Ok(())
    }

    async fn revoke(&self, _: Lease) -> Result<(), Error> {
        Ok(())
    }
}

#[derive(Debug)]
struct NoTargets;

impl Protocol for NoTargets {
    fn request(&self, _: &Call, _: &Endpoint, _: Duration) -> Request<Full<Bytes>> {
        panic!("no target is known, so no request is sent");
    }

    fn interpret(&self, _: &Call, _: &response::Parts, _: Bytes, _: bool) -> CallResult {
        panic!("no request is sent, so no answer arrives");
    }
}

#[derive(Debug)]
struct NoItems;

impl Codec for NoItems {
    fn prefixes(&self) -> &[&'static str] {
        &["all/"]
    }

    fn classify(&self, _: &str) -> ItemKind {
        ItemKind::Other
    }

    fn decode(&self, _: &str, _: &[u8]) -> Item {
        Item::Unreadable("no item is known".to_owned())
    }

    fn nodes_prefix(&self, data_centre: &str) -> String {
        format!("nodes/{data_centre}/")
    }

    fn encode_node(&self, node: &Node) -> (String, Vec<u8>) {
        (format!("nodes/{}", node.name), Vec::new())
    }

    fn encode_rollout(&self, service: &str, _: &Record) -> [(String, Vec<u8>); 2] {
        ["records", "states"].map(|kind| (format!("{kind}/{service}"), Vec::new()))
    }
}

/// Guards against a process that goes on with old settings after a panic has ended the task that reads new
/// ones, and that nobody restarts because it still answers.
#[tokio::test]
async fn reports_panic_of_task_that_follows_store() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = Config {
        node: Node {
            name: "n1".to_owned(),
            incarnation: Incarnation(1),
            data_centre: "dc1".to_owned(),
            caller: address,
            peer: address,
            heartbeat: address,
            millicores: 250,
        },
        seeds: Vec::new(),
        extra_request_bound: Bound {
            ratio: 0.2,
            slack: 58.0,
        },
        quota_bound: quota::Bound::default(),
        grace_period: Duration::from_secs(6),
        rollout: None,
        target_heartbeat: Duration::from_secs(1),
        memory: Budget::unlimited(),
        target_memory: Memory::open(1 << 20, 8),
        balancing: redwinggrade::balancing::Mode::Separate,
    };
    let platform = Platform {
        keyspace: Arc::new(PanickingStore),
        protocol: NoTargets,
        codec: NoItems,
    };
    let entry = Entry::spawn(config, platform).await;
    let entry = entry.expect("the entry instance starts");
    let failed = tokio::time::timeout(REPORT_TIMEOUT, entry.failed()).await;
    assert!(failed.is_ok(), "the failure is not reported");
}
