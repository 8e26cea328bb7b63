//! Keeps a node's mirrors in step with the platform's store, and its record in the store.
//!
//! One task renews the node's lease and thereby finds out whether the store answers; one task for each
//! prefix lists it and then, on the few nodes that should, watches it. A watch that is cut, or that says nothing although other nodes
//! know of changes, is started again from the last revision. While the store does not answer, only the
//! lease's task calls it, because each call is counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use rand::Rng;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::meters::{Call, Meters};
use crate::connection::keyspace::{
    Batch, Error, Event, Freshness, Item, Keyspace, Lease, Revision,
};

/// The longest wait of one watch. A connection that died in silence is noticed sooner: by the lease's
/// renewals, or by other nodes that know of changes.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// How much longer than its wait a watch may take.
pub const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// The pause after a watch that brought changes.
pub const BATCH_PAUSE_MIN: Duration = Duration::from_millis(40);
/// The longest pause in a series of changes, such as a start of all targets: each call is counted, and
/// a change may take seconds to be in force.
pub const BATCH_PAUSE_MAX: Duration = Duration::from_millis(400);
/// The longest pause in the first [`STARTUP_PERIOD`] of a process, when all nodes and targets may register.
pub const STARTUP_BATCH_PAUSE_MAX: Duration = Duration::from_millis(1_200);
/// How long a process counts as just started; callers come ten seconds after the nodes.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(8);
/// The time without changes after which a series is over.
pub const BURST_GAP: Duration = Duration::from_secs(1);
/// The lifetime of the lease under which a node publishes itself. A record that outlives its node only costs
/// datagrams to it.
pub const LEASE_LIFETIME: Duration = Duration::from_secs(15);
/// The period of the lease's renewals, by which a node that serves callers finds out whether the store answers.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// The same for a node that serves no callers; each renewal is paid for.
pub const STANDBY_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// The time within which a call other than a watch must be answered. The store answers within
/// milliseconds, and within a quarter of a second when it is slow.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The shortest pause after a call that failed.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
/// The longest pause after a call that failed.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// Failed calls in a row after which the store counts as lost.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// What the store said.
#[derive(Debug)]
pub enum Notification {
    /// All items under a prefix, complete at the revision.
    Listed {
        /// The prefix.
        prefix: &'static str,
        /// The items.
        items: Vec<Item>,
        /// The revision.
        revision: Revision,
        /// How old the listing may be.
        freshness: Freshness,
    },
    /// Changes under a prefix.
    Changed {
        /// The prefix.
        prefix: &'static str,
        /// The changes.
        events: Vec<Event>,
        /// Every change up to this revision is among them or among earlier ones.
        revision: Revision,
    },
    /// The store answers again, or no longer.
    Availability {
        /// Whether it answers.
        available: bool,
        /// Why it does not.
        cause: Option<Error>,
    },
}

/// A running follower; dropping it ends its tasks.
#[derive(Debug)]
pub struct Follower {
    shared: Arc<Shared>,
    _tasks: Vec<AbortOnDropHandle<()>>,
}

/// What the tasks share.
#[derive(Debug)]
struct Shared {
    meters: Meters,
    available: AtomicBool,
    consecutive_failures: AtomicU32,
    stopping: AtomicBool,
    /// Whether this node serves callers.
    serving: AtomicBool,
    /// Whether this node watches the store; the first election decides it.
    watching: AtomicBool,
    /// Every change up to this revision has come from another node.
    known_revision: AtomicU64,
    /// Wakes tasks that wait for the store, and watches that must start again.
    state_changed: Notify,
    /// Wakes the lease's task.
    renewal_requested: Notify,
}

impl Follower {
    /// Starts to follow the prefixes, and to publish `record` under a lease.
    pub fn spawn<K, F>(
        keyspace: &Arc<K>,
        prefixes: &[&'static str],
        record: (String, Vec<u8>),
        meters: Meters,
        notify: F,
    ) -> Self
    where
        K: Keyspace,
        F: Fn(Notification) + Clone + Send + Sync + 'static,
    {
        let shared = Arc::new(Shared {
            meters,
            available: AtomicBool::new(true),
            consecutive_failures: AtomicU32::new(0),
            stopping: AtomicBool::new(false),
            serving: AtomicBool::new(true),
            watching: AtomicBool::new(false),
            known_revision: AtomicU64::new(0),
            state_changed: Notify::new(),
            renewal_requested: Notify::new(),
        });
        let mut tasks = Vec::with_capacity(prefixes.len() + 1);
        for &prefix in prefixes {
            let task = list_and_watch(
                Arc::clone(keyspace),
                Arc::clone(&shared),
                prefix,
                notify.clone(),
            );
            tasks.push(AbortOnDropHandle::new(tokio::spawn(task)));
        }
        let task = publish_record(Arc::clone(keyspace), Arc::clone(&shared), record, notify);
        tasks.push(AbortOnDropHandle::new(tokio::spawn(task)));
        Self {
            shared,
            _tasks: tasks,
        }
    }

    /// Starts the watches again, because another node knows of changes that this one has not seen.
    pub fn restart_watches(&self) {
        self.shared.state_changed.notify_waiters();
    }

    /// Begins to watch the store from a revision, or leaves that to other nodes.
    pub fn set_watching(&self, from: Option<Revision>) {
        let Revision(known) = from.unwrap_or_default();
        self.shared
            .known_revision
            .fetch_max(known, Ordering::AcqRel);
        let before = self.shared.watching.swap(from.is_some(), Ordering::AcqRel);
        if before != from.is_some() {
            self.shared.state_changed.notify_waiters();
        }
    }

    /// Tells whether this node serves callers, and so has to know soon whether the store answers.
    pub fn set_serving(&self, serves: bool) {
        let before = self.shared.serving.swap(serves, Ordering::AcqRel);
        if serves && !before {
            self.shared.renewal_requested.notify_one();
        }
    }

    /// Ends the node's lease.
    pub fn revoke_lease(&self) {
        self.shared.stopping.store(true, Ordering::Release);
        self.shared.renewal_requested.notify_one();
    }
}

impl Shared {
    fn record_success<F>(&self, notify: &F)
    where
        F: Fn(Notification),
    {
        self.consecutive_failures.store(0, Ordering::Release);
        if !self.available.swap(true, Ordering::AcqRel) {
            notify(Notification::Availability {
                available: true,
                cause: None,
            });
            self.state_changed.notify_waiters();
        }
    }

    fn record_failure<F>(&self, cause: &Error, notify: &F)
    where
        F: Fn(Notification),
    {
        let failures = self.consecutive_failures.fetch_add(1, Ordering::AcqRel) + 1;
        if failures >= UNAVAILABLE_AFTER_FAILURES && self.available.swap(false, Ordering::AcqRel) {
            notify(Notification::Availability {
                available: false,
                cause: Some(cause.clone()),
            });
            // Watches that still wait may have been cut without a sign.
            self.state_changed.notify_waiters();
        }
        self.renewal_requested.notify_one();
    }

    fn is_available(&self) -> bool {
        self.available.load(Ordering::Acquire)
    }

    fn is_watching(&self) -> bool {
        self.watching.load(Ordering::Acquire)
    }

    /// Returns up to which revision other nodes have given every change.
    fn known_revision(&self) -> Revision {
        Revision(self.known_revision.load(Ordering::Acquire))
    }
}

fn retry_delay() -> Duration {
    rand::rng().random_range(RETRY_DELAY_MIN..RETRY_DELAY_MAX)
}

/// Bounds the time of a call, and counts it.
async fn call_with_timeout<T, F>(
    meters: &Meters,
    name: &'static str,
    limit: Duration,
    call: F,
) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    let result = timeout(limit, call)
        .await
        .unwrap_or_else(|_elapsed| Err(Error::Lost("no answer in time".to_owned())));
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    let call = Call {
        call: name,
        outcome,
    };
    meters.store.get_or_create(&call).inc();
    result
}

/// Lists a prefix and then watches it, for ever.
async fn list_and_watch<K, F>(
    keyspace: Arc<K>,
    shared: Arc<Shared>,
    prefix: &'static str,
    notify: F,
) where
    K: Keyspace,
    F: Fn(Notification) + Send + Sync,
{
    let started = Instant::now();
    // Reads that may be old are cheap, and the watch brings what they lack.
    let mut freshness = Freshness::AllowStale;
    loop {
        let (items, mut after) = loop {
            match list_all(&*keyspace, &shared.meters, prefix, freshness).await {
                Ok(listed) => break listed,
                Err(cause) => {
                    shared.record_failure(&cause, &notify);
                    wait_until_available(&shared).await;
                }
            }
        };
        shared.record_success(&notify);
        notify(Notification::Listed {
            prefix,
            items,
            revision: after,
            freshness,
        });
        // After an old listing, a watch that does not wait brings what has changed since.
        let mut wait = match freshness {
            Freshness::AllowStale => Duration::ZERO,
            Freshness::Latest => WATCH_TIMEOUT,
        };
        let mut pause = BATCH_PAUSE_MIN;
        loop {
            if wait > Duration::ZERO && wait_until_watching(&shared).await {
                after = after.max(shared.known_revision());
                // The first answer tells whether this node's state is the newest.
                wait = Duration::ZERO;
            }
            let start = Instant::now();
            let watch = call_with_timeout(
                &shared.meters,
                "watch",
                wait + WATCH_TIMEOUT_MARGIN,
                keyspace.watch(prefix, after, wait),
            );
            let batch = tokio::select! {
                batch = watch => batch,
                () = shared.state_changed.notified() => {
                    wait_until_available(&shared).await;
                    continue;
                }
            };
            match batch {
                Ok(Batch { events, revision }) => {
                    shared.record_success(&notify);
                    after = after.max(revision);
                    wait = WATCH_TIMEOUT;
                    let has_events = !events.is_empty();
                    notify(Notification::Changed {
                        prefix,
                        events,
                        revision,
                    });
                    if start.elapsed() >= BURST_GAP {
                        pause = BATCH_PAUSE_MIN;
                    }
                    if has_events {
                        sleep(pause).await;
                        let pause_max = if started.elapsed() < STARTUP_PERIOD {
                            STARTUP_BATCH_PAUSE_MAX
                        } else {
                            BATCH_PAUSE_MAX
                        };
                        pause = (pause * 2).min(pause_max);
                    }
                }
                Err(Error::Compacted) => {
                    shared.record_success(&notify);
                    freshness = Freshness::Latest;
                    break;
                }
                Err(cause) => {
                    shared.record_failure(&cause, &notify);
                    wait_until_available(&shared).await;
                }
            }
        }
    }
}

/// Waits until this node should watch the store; tells whether it had to wait.
async fn wait_until_watching(shared: &Shared) -> bool {
    let mut has_waited = false;
    loop {
        let changed = shared.state_changed.notified();
        if shared.is_watching() {
            return has_waited;
        }
        has_waited = true;
        changed.await;
    }
}

/// Waits a little, and then until the store answers.
async fn wait_until_available(shared: &Shared) {
    sleep(retry_delay() / 4).await;
    loop {
        let changed = shared.state_changed.notified();
        if shared.is_available() {
            return;
        }
        changed.await;
    }
}

async fn list_all<K>(
    keyspace: &K,
    meters: &Meters,
    prefix: &str,
    freshness: Freshness,
) -> Result<(Vec<Item>, Revision), Error>
where
    K: Keyspace,
{
    let mut items: Vec<Item> = Vec::new();
    let mut first = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let page = call_with_timeout(
            meters,
            "list",
            CALL_TIMEOUT,
            keyspace.list(prefix, after.as_deref(), freshness),
        )
        .await?;
        // Pages are no snapshot; the watch from the first one's revision repeats what changed since.
        let revision = *first.get_or_insert(page.revision);
        let is_empty_page = page.items.is_empty();
        items.extend(page.items);
        if !page.more || is_empty_page {
            return Ok((items, revision));
        }
    }
}

/// Publishes the node's record under a lease, and renews the lease.
async fn publish_record<K, F>(
    keyspace: Arc<K>,
    shared: Arc<Shared>,
    record: (String, Vec<u8>),
    notify: F,
) where
    K: Keyspace,
    F: Fn(Notification) + Send + Sync,
{
    let (key, value) = record;
    let mut lease: Option<Lease> = None;
    loop {
        if shared.stopping.load(Ordering::Acquire) {
            if let Some(lease) = lease.take() {
                // The lease runs out by itself if this call fails.
                let _ =
                    call_with_timeout(&shared.meters, "end", CALL_TIMEOUT, keyspace.revoke(lease))
                        .await;
            }
            return;
        }
        let result = match lease {
            Some(held) => {
                call_with_timeout(&shared.meters, "renew", CALL_TIMEOUT, keyspace.renew(held))
                    .await
                    .map(|()| held)
            }
            None => grant_and_put(&*keyspace, &shared.meters, &key, &value).await,
        };
        let wait = match result {
            Ok(held) => {
                lease = Some(held);
                shared.record_success(&notify);
                if shared.serving.load(Ordering::Acquire) {
                    RENEWAL_INTERVAL
                } else {
                    STANDBY_RENEWAL_INTERVAL
                }
            }
            Err(Error::NoLease) => {
                lease = None;
                shared.record_success(&notify);
                RETRY_DELAY_MIN
            }
            Err(cause) => {
                shared.record_failure(&cause, &notify);
                // If this connection died in silence, those of the watches may have as well.
                shared.state_changed.notify_waiters();
                retry_delay()
            }
        };
        // A failure elsewhere asks for a renewal at once, because it tells whether the store answers.
        let early_renewal = async {
            shared.renewal_requested.notified().await;
            sleep(RETRY_DELAY_MIN).await;
        };
        let _ = timeout(wait, early_renewal).await;
    }
}

async fn grant_and_put<K>(
    keyspace: &K,
    meters: &Meters,
    key: &str,
    value: &[u8],
) -> Result<Lease, Error>
where
    K: Keyspace,
{
    let lease = call_with_timeout(
        meters,
        "grant",
        CALL_TIMEOUT,
        keyspace.grant(LEASE_LIFETIME),
    )
    .await?;
    call_with_timeout(meters, "put", CALL_TIMEOUT, keyspace.put(key, value, lease)).await?;
    Ok(lease)
}
