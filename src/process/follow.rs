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

use super::meters::{Meters, StoreCallLabels};
use crate::connection::keyspace::{
    Batch, Error, Event, Freshness, Item, Keyspace, Lease, Revision,
};

/// The longest wait of one watch. A connection that died in silence is noticed sooner: by the lease's
/// renewals, or by other nodes that know of changes.
pub const WATCH: Duration = Duration::from_secs(20);
/// How much longer than its wait a watch may take.
pub const WATCH_MARGIN: Duration = Duration::from_millis(1_500);
/// The pause after a watch that brought changes.
pub const GATHER_MIN: Duration = Duration::from_millis(40);
/// The longest pause in a series of changes, such as a start of all targets: each call is counted, and
/// a change may take seconds to be in force.
pub const GATHER_MAX: Duration = Duration::from_millis(400);
/// The longest pause in the first [`START`] of a process, when all nodes and targets may register.
pub const GATHER_START: Duration = Duration::from_millis(1_200);
/// How long a process counts as just started; callers come ten seconds after the nodes.
pub const START: Duration = Duration::from_secs(8);
/// The time without changes after which a series is over.
pub const SERIES: Duration = Duration::from_secs(1);
/// The lifetime of the lease under which a node publishes itself. A record that outlives its node only costs
/// datagrams to it.
pub const LEASE: Duration = Duration::from_secs(15);
/// The period of the lease's renewals, by which a node that serves callers finds out whether the store answers.
pub const RENEW: Duration = Duration::from_millis(1_500);
/// The same for a node that serves no callers; each renewal is paid for.
pub const RENEW_RESTING: Duration = Duration::from_secs(5);
/// The time within which a call other than a watch must be answered. The store answers within
/// milliseconds, and within a quarter of a second when it is slow.
pub const CALL: Duration = Duration::from_secs(1);
/// The shortest pause after a call that failed.
const RETRY_MIN: Duration = Duration::from_millis(150);
/// The longest pause after a call that failed.
const RETRY_MAX: Duration = Duration::from_millis(500);
/// Failed calls in a row after which the store counts as lost.
const FAILURES: u32 = 2;

/// What the store said.
#[derive(Debug)]
pub enum Notice {
    /// All items under a prefix, complete at the revision.
    Listed {
        /// The prefix.
        prefix: &'static str,
        /// The items.
        items: Vec<Item>,
        /// The revision.
        revision: Revision,
        /// How old the listing may be.
        age: Freshness,
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
    Store {
        /// Whether it answers.
        answers: bool,
        /// Why it does not.
        cause: Option<Error>,
    },
}

/// A running follower; dropping it ends its tasks.
#[derive(Debug)]
pub struct Follow {
    link: Arc<Link>,
    _tasks: Vec<AbortOnDropHandle<()>>,
}

/// What the tasks share.
#[derive(Debug)]
struct Link {
    meters: Meters,
    answers: AtomicBool,
    failures: AtomicU32,
    stopping: AtomicBool,
    /// Whether this node serves callers.
    serving: AtomicBool,
    /// Whether this node watches the store; the first election decides it.
    watching: AtomicBool,
    /// Every change up to this revision has come from another node.
    known: AtomicU64,
    /// Wakes tasks that wait for the store, and watches that must start again.
    changed: Notify,
    /// Wakes the lease's task.
    renew: Notify,
}

impl Follow {
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
        F: Fn(Notice) + Clone + Send + Sync + 'static,
    {
        let link = Arc::new(Link {
            meters,
            answers: AtomicBool::new(true),
            failures: AtomicU32::new(0),
            stopping: AtomicBool::new(false),
            serving: AtomicBool::new(true),
            watching: AtomicBool::new(false),
            known: AtomicU64::new(0),
            changed: Notify::new(),
            renew: Notify::new(),
        });
        let mut tasks = Vec::with_capacity(prefixes.len() + 1);
        for &prefix in prefixes {
            let task = follow(
                Arc::clone(keyspace),
                Arc::clone(&link),
                prefix,
                notify.clone(),
            );
            tasks.push(AbortOnDropHandle::new(tokio::spawn(task)));
        }
        let task = publish(Arc::clone(keyspace), Arc::clone(&link), record, notify);
        tasks.push(AbortOnDropHandle::new(tokio::spawn(task)));
        Self {
            link,
            _tasks: tasks,
        }
    }

    /// Starts the watches again, because another node knows of changes that this one has not seen.
    pub fn refresh(&self) {
        self.link.changed.notify_waiters();
    }

    /// Begins to watch the store from a revision, or leaves that to other nodes.
    pub fn watch(&self, from: Option<Revision>) {
        let Revision(known) = from.unwrap_or_default();
        self.link.known.fetch_max(known, Ordering::AcqRel);
        let before = self.link.watching.swap(from.is_some(), Ordering::AcqRel);
        if before != from.is_some() {
            self.link.changed.notify_waiters();
        }
    }

    /// Tells whether this node serves callers, and so has to know soon whether the store answers.
    pub fn serve(&self, serves: bool) {
        let before = self.link.serving.swap(serves, Ordering::AcqRel);
        if serves && !before {
            self.link.renew.notify_one();
        }
    }

    /// Ends the node's lease.
    pub fn leave(&self) {
        self.link.stopping.store(true, Ordering::Release);
        self.link.renew.notify_one();
    }
}

impl Link {
    fn succeed<F>(&self, notify: &F)
    where
        F: Fn(Notice),
    {
        self.failures.store(0, Ordering::Release);
        if !self.answers.swap(true, Ordering::AcqRel) {
            notify(Notice::Store {
                answers: true,
                cause: None,
            });
            self.changed.notify_waiters();
        }
    }

    fn fail<F>(&self, cause: &Error, notify: &F)
    where
        F: Fn(Notice),
    {
        let failures = self.failures.fetch_add(1, Ordering::AcqRel) + 1;
        if failures >= FAILURES && self.answers.swap(false, Ordering::AcqRel) {
            notify(Notice::Store {
                answers: false,
                cause: Some(cause.clone()),
            });
            // Watches that still wait may have been cut without a sign.
            self.changed.notify_waiters();
        }
        self.renew.notify_one();
    }

    fn answers(&self) -> bool {
        self.answers.load(Ordering::Acquire)
    }

    fn watching(&self) -> bool {
        self.watching.load(Ordering::Acquire)
    }

    /// Returns up to which revision other nodes have given every change.
    fn known(&self) -> Revision {
        Revision(self.known.load(Ordering::Acquire))
    }
}

fn pause() -> Duration {
    rand::rng().random_range(RETRY_MIN..RETRY_MAX)
}

/// Bounds the time of a call, and counts it.
async fn bounded<T, F>(
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
    let call = StoreCallLabels {
        call: name,
        outcome,
    };
    meters.store_calls.get_or_create(&call).inc();
    result
}

/// Lists a prefix and then watches it, for ever.
async fn follow<K, F>(keyspace: Arc<K>, link: Arc<Link>, prefix: &'static str, notify: F)
where
    K: Keyspace,
    F: Fn(Notice) + Send + Sync,
{
    let started = Instant::now();
    // Reads that may be old are cheap, and the watch brings what they lack.
    let mut age = Freshness::AllowStale;
    loop {
        let (items, mut after) = loop {
            match list(&*keyspace, &link.meters, prefix, age).await {
                Ok(listed) => break listed,
                Err(cause) => {
                    link.fail(&cause, &notify);
                    settle(&link).await;
                }
            }
        };
        link.succeed(&notify);
        notify(Notice::Listed {
            prefix,
            items,
            revision: after,
            age,
        });
        // After an old listing, a watch that does not wait brings what has changed since.
        let mut wait = match age {
            Freshness::AllowStale => Duration::ZERO,
            Freshness::Latest => WATCH,
        };
        let mut pause = GATHER_MIN;
        loop {
            if wait > Duration::ZERO && rest(&link).await {
                after = after.max(link.known());
                // The first answer tells whether this node's state is the newest.
                wait = Duration::ZERO;
            }
            let start = Instant::now();
            let watch = bounded(
                &link.meters,
                "watch",
                wait + WATCH_MARGIN,
                keyspace.watch(prefix, after, wait),
            );
            let batch = tokio::select! {
                batch = watch => batch,
                () = link.changed.notified() => {
                    settle(&link).await;
                    continue;
                }
            };
            match batch {
                Ok(Batch { events, revision }) => {
                    link.succeed(&notify);
                    after = after.max(revision);
                    wait = WATCH;
                    let some = !events.is_empty();
                    notify(Notice::Changed {
                        prefix,
                        events,
                        revision,
                    });
                    if start.elapsed() >= SERIES {
                        pause = GATHER_MIN;
                    }
                    if some {
                        sleep(pause).await;
                        let most = if started.elapsed() < START {
                            GATHER_START
                        } else {
                            GATHER_MAX
                        };
                        pause = (pause * 2).min(most);
                    }
                }
                Err(Error::Compacted) => {
                    link.succeed(&notify);
                    age = Freshness::Latest;
                    break;
                }
                Err(cause) => {
                    link.fail(&cause, &notify);
                    settle(&link).await;
                }
            }
        }
    }
}

/// Waits until this node should watch the store; tells whether it had to wait.
async fn rest(link: &Link) -> bool {
    let mut waited = false;
    loop {
        let changed = link.changed.notified();
        if link.watching() {
            return waited;
        }
        waited = true;
        changed.await;
    }
}

/// Waits a little, and then until the store answers.
async fn settle(link: &Link) {
    sleep(pause() / 4).await;
    loop {
        let changed = link.changed.notified();
        if link.answers() {
            return;
        }
        changed.await;
    }
}

async fn list<K>(
    keyspace: &K,
    meters: &Meters,
    prefix: &str,
    age: Freshness,
) -> Result<(Vec<Item>, Revision), Error>
where
    K: Keyspace,
{
    let mut items: Vec<Item> = Vec::new();
    let mut first = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let page = bounded(
            meters,
            "list",
            CALL,
            keyspace.list(prefix, after.as_deref(), age),
        )
        .await?;
        // Pages are no snapshot; the watch from the first one's revision repeats what changed since.
        let revision = *first.get_or_insert(page.revision);
        let stuck = page.items.is_empty();
        items.extend(page.items);
        if !page.more || stuck {
            return Ok((items, revision));
        }
    }
}

/// Publishes the node's record under a lease, and renews the lease.
async fn publish<K, F>(keyspace: Arc<K>, link: Arc<Link>, record: (String, Vec<u8>), notify: F)
where
    K: Keyspace,
    F: Fn(Notice) + Send + Sync,
{
    let (key, value) = record;
    let mut lease: Option<Lease> = None;
    loop {
        if link.stopping.load(Ordering::Acquire) {
            if let Some(lease) = lease.take() {
                // The lease runs out by itself if this call fails.
                let _ = bounded(&link.meters, "end", CALL, keyspace.revoke(lease)).await;
            }
            return;
        }
        let result = match lease {
            Some(held) => bounded(&link.meters, "renew", CALL, keyspace.renew(held))
                .await
                .map(|()| held),
            None => claim(&*keyspace, &link.meters, &key, &value).await,
        };
        let wait = match result {
            Ok(held) => {
                lease = Some(held);
                link.succeed(&notify);
                if link.serving.load(Ordering::Acquire) {
                    RENEW
                } else {
                    RENEW_RESTING
                }
            }
            Err(Error::NoLease) => {
                lease = None;
                link.succeed(&notify);
                RETRY_MIN
            }
            Err(cause) => {
                link.fail(&cause, &notify);
                // If this connection died in silence, those of the watches may have as well.
                link.changed.notify_waiters();
                pause()
            }
        };
        // A failure elsewhere asks for a renewal at once, because it tells whether the store answers.
        let urgent = async {
            link.renew.notified().await;
            sleep(RETRY_MIN).await;
        };
        let _ = timeout(wait, urgent).await;
    }
}

async fn claim<K>(keyspace: &K, meters: &Meters, key: &str, value: &[u8]) -> Result<Lease, Error>
where
    K: Keyspace,
{
    let lease = bounded(meters, "grant", CALL, keyspace.grant(LEASE)).await?;
    bounded(meters, "put", CALL, keyspace.put(key, value, lease)).await?;
    Ok(lease)
}
