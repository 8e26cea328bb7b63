//! Follows the platform's store: lists and watches its prefixes, and publishes the node's own record in it.
//!
//! One task renews the node's lease, which also shows whether the store is available. One task reads which
//! nodes its data centre has, so that the node can decide when to list the store: hundreds of nodes that start
//! at once and list it together would fill its link for a second. One task for each prefix then lists it and,
//! on the few nodes that are elected to do so, watches it. A watch is restarted
//! from the last revision if its connection breaks or falls silent, or if other nodes have changes that it has not
//! delivered. While the store is unavailable, only the lease task calls it, because each call is paid for.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::Rng;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::meters::Meters;
use crate::connection::keyspace::{
    Batch, Era, Error, Event, Freshness, Item, Keyspace, Lease, Page, Revision,
};

/// How long one watch call waits for changes at the store before it returns without any. A connection that
/// broke without an error is detected earlier, because the store's revision is read meanwhile.
pub const WATCH_WAIT_MAX: Duration = Duration::from_secs(20);
/// The time that a watch call may take in addition to its wait.
pub const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// The interval at which the store's revision is read while a watch waits. A change must be in force within three
/// seconds, also if the connection of the watch has fallen silent.
pub const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a watch may take to deliver a change that the store's revision shows.
const DELIVERY_TIME_MAX: Duration = Duration::from_millis(100);
/// The first pause between a watch call with changes and the next one, so that changes arrive in batches.
pub const BATCH_PAUSE_MIN: Duration = Duration::from_millis(40);
/// The pause doubles up to this one during a burst of changes, such as a start of all targets. Each call is
/// paid for, and a change may take seconds to be in force.
pub const BATCH_PAUSE_MAX: Duration = Duration::from_millis(400);
/// Maximum of this pause during the [`STARTUP_PERIOD`] of a process, when all nodes and targets may register.
pub const STARTUP_BATCH_PAUSE_MAX: Duration = Duration::from_millis(1_200);
/// The time after the start of a process in which pauses may be longer. Callers arrive ten seconds after the
/// nodes have started.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(8);
/// If a watch call takes at least this long, a burst of changes has ended.
pub const BURST_GAP: Duration = Duration::from_secs(1);
/// The lifetime of the lease of a node's record. A record that outlives its node only causes heartbeats to a
/// node that no longer runs.
pub const LEASE_LIFETIME: Duration = Duration::from_secs(15);
/// The interval of lease renewals, by which a node that serves callers detects that the store is unavailable.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// The interval of lease renewals of a node that does not serve callers. It is longer because each renewal is
/// paid for.
pub const STANDBY_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Time limit for calls other than watches. The store answers within milliseconds, and within a quarter of
/// a second when it is slow.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum delay before a failed call of the lease task is retried. Listings and watches are retried after a
/// quarter of such a random delay, and only once the store counts as available.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
/// Maximum delay before a failed call of the lease task is retried.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// The number of consecutive failed calls after which the store counts as unavailable.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// A notification about the store.
#[derive(Debug)]
pub enum Notification {
    /// A prefix has been listed completely.
    Listed {
        /// The prefix that was listed.
        prefix: &'static str,
        /// All items under the prefix.
        items: Vec<Item>,
        /// The revision at which the listing was complete.
        revision: Revision,
        /// Whether the listing may be stale.
        freshness: Freshness,
    },
    /// A watch call has returned, possibly without changes.
    Changed {
        /// The prefix that is watched.
        prefix: &'static str,
        /// The changes since the previous notification, in the order of their revisions.
        events: Vec<Event>,
        /// Every change up to this revision has been delivered.
        revision: Revision,
    },
    /// The records of the nodes in this node's data centre have been read, possibly stale ones.
    Neighbours {
        /// The items that hold the records.
        items: Vec<Item>,
    },
    /// A watch has delivered every change that the store has made.
    Confirmed,
    /// The store has come back from an older copy. Notifications after this one come from that copy.
    Restored {
        /// The era that has begun.
        era: Era,
    },
    /// A task of the follower has ended because of a panic.
    Failed,
    /// The store has become available or unavailable.
    Availability {
        /// Whether the store answers.
        available: bool,
        /// The error of the last failed call, if the store is unavailable.
        cause: Option<Error>,
    },
}

/// A running follower of the store. Dropping it ends its tasks.
#[derive(Debug)]
pub struct Follower {
    shared: Arc<Shared>,
    _tasks: Vec<AbortOnDropHandle<()>>,
}

/// The state that the tasks share.
#[derive(Debug)]
struct Shared {
    meters: Meters,
    /// The key of the node's own record.
    record_key: String,
    available: AtomicBool,
    consecutive_failures: AtomicU32,
    /// The [`Era`] of the store in which its answers were last notified.
    era: AtomicU64,
    /// Whether the store has answered since this node has started.
    has_answered: AtomicBool,
    stopping: AtomicBool,
    /// Whether this node serves callers.
    serving: AtomicBool,
    /// Whether this node may list the store.
    listing: AtomicBool,
    /// Whether this node reads the changes after a stale listing from the store.
    updates_from_store: AtomicBool,
    /// Whether this node watches the store. It does not before the first election of nodes.
    watching: AtomicBool,
    /// Every change up to this revision is in the mirrors; other nodes may have delivered it.
    known_revision: Mutex<Revision>,
    /// Wakes tasks that wait for the store, and watches that must be restarted.
    state_changed: Notify,
    /// Wakes the lease task.
    renewal_requested: Notify,
}

impl Follower {
    /// Starts to follow the prefixes and to publish `record`, a key with its value, under a lease. The
    /// prefixes are listed after [`Self::start_listing`]; `neighbours_prefix` is read at once.
    ///
    /// `notify` is called from the tasks for each listing, watch call, confirmation and change of availability.
    pub fn spawn<K, F>(
        keyspace: &Arc<K>,
        prefixes: &[&'static str],
        neighbours_prefix: String,
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
            record_key: record.0.clone(),
            available: AtomicBool::new(true),
            consecutive_failures: AtomicU32::new(0),
            era: AtomicU64::new(0),
            has_answered: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            serving: AtomicBool::new(true),
            listing: AtomicBool::new(false),
            updates_from_store: AtomicBool::new(false),
            watching: AtomicBool::new(false),
            known_revision: Mutex::default(),
            state_changed: Notify::new(),
            renewal_requested: Notify::new(),
        });
        let mut tasks = Vec::with_capacity(prefixes.len() + 2);
        let task = read_neighbours(
            Arc::clone(keyspace),
            Arc::clone(&shared),
            neighbours_prefix,
            notify.clone(),
        );
        tasks.push(supervise(task, notify.clone()));
        for &prefix in prefixes {
            let task = list_and_watch(
                Arc::clone(keyspace),
                Arc::clone(&shared),
                prefix,
                notify.clone(),
            );
            tasks.push(supervise(task, notify.clone()));
        }
        let task = publish_record(
            Arc::clone(keyspace),
            Arc::clone(&shared),
            record,
            notify.clone(),
        );
        tasks.push(supervise(task, notify));
        Self {
            shared,
            _tasks: tasks,
        }
    }

    /// Lets the node list the store. Further calls have no effect.
    ///
    /// `from_store` tells whether the node then reads from the store what the listing lacks, which may be
    /// seconds old. Other nodes get it from those of their data centre, because each call is paid for.
    pub fn start_listing(&self, from_store: bool) {
        self.shared
            .updates_from_store
            .fetch_or(from_store, Ordering::AcqRel);
        if !self.shared.listing.swap(true, Ordering::AcqRel) {
            self.shared.state_changed.notify_waiters();
        }
    }

    /// Restarts the watches, because another node has changes that they have not delivered.
    pub fn restart_watches(&self) {
        self.shared.state_changed.notify_waiters();
    }

    /// Starts watching the store after a revision, or stops it so that other nodes deliver the changes.
    pub fn set_watching(&self, from: Option<Revision>) {
        self.shared.raise_known_revision(from.unwrap_or_default());
        let before = self.shared.watching.swap(from.is_some(), Ordering::AcqRel);
        if before != from.is_some() {
            self.shared.state_changed.notify_waiters();
        }
    }

    /// Sets whether this node serves callers and therefore must detect soon that the store is unavailable.
    pub fn set_serving(&self, serves: bool) {
        let before = self.shared.serving.swap(serves, Ordering::AcqRel);
        if serves && !before {
            self.shared.renewal_requested.notify_one();
        }
    }

    /// Ends the lease task, and revokes the lease of a node that serves callers, which removes its record.
    pub fn revoke_lease(&self) {
        self.shared.stopping.store(true, Ordering::Release);
        self.shared.renewal_requested.notify_one();
    }
}

impl Shared {
    /// Records an answer of the store in an era, and notifies if the store has come back from an older copy or has
    /// become available again.
    fn record_success<F>(&self, era: Era, notify: &F)
    where
        F: Fn(Notification),
    {
        self.consecutive_failures.store(0, Ordering::Release);
        let previous = self.era.fetch_max(era.0, Ordering::AcqRel);
        let has_answered = self.has_answered.swap(true, Ordering::AcqRel);
        if has_answered && previous < era.0 {
            notify(Notification::Restored { era });
            // The watches wait for changes of a state that is gone.
            self.state_changed.notify_waiters();
        }
        if !self.available.swap(true, Ordering::AcqRel) {
            notify(Notification::Availability {
                available: true,
                cause: None,
            });
            self.state_changed.notify_waiters();
        }
    }

    /// Records a failed call, notifies if the store has become unavailable, and wakes the lease task.
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
            // The connections of waiting watches may have broken without an error.
            self.state_changed.notify_waiters();
        }
        self.renewal_requested.notify_one();
    }

    fn is_available(&self) -> bool {
        self.available.load(Ordering::Acquire)
    }

    fn may_list(&self) -> bool {
        self.listing.load(Ordering::Acquire)
    }

    fn is_watching(&self) -> bool {
        self.watching.load(Ordering::Acquire)
    }

    /// Returns the latest era of the store.
    fn era(&self) -> Era {
        Era(self.era.load(Ordering::Acquire))
    }

    /// Records that the mirrors have every change up to a revision, and returns the highest one recorded.
    fn raise_known_revision(&self, revision: Revision) -> Revision {
        let mut known = self
            .known_revision
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *known = known.max(revision);
        *known
    }
}

/// Runs a task, and notifies if it panics.
fn supervise<T, F>(task: T, notify: F) -> AbortOnDropHandle<()>
where
    T: Future<Output = ()> + Send + 'static,
    F: Fn(Notification) + Send + Sync + 'static,
{
    let task = AbortOnDropHandle::new(tokio::spawn(task));
    AbortOnDropHandle::new(tokio::spawn(async move {
        if task.await.is_err_and(|e| e.is_panic()) {
            notify(Notification::Failed);
        }
    }))
}

/// Returns a random delay before a retry, so that nodes do not call the store at the same time.
fn retry_delay() -> Duration {
    rand::rng().random_range(RETRY_DELAY_MIN..RETRY_DELAY_MAX)
}

/// Runs a call with a time limit, and counts it by name and outcome.
async fn call_with_timeout<T, F>(
    meters: &Meters,
    name: &'static str,
    limit: Duration,
    call: F,
) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    let result = timeout(limit, call).await.unwrap_or_else(|_elapsed| {
        Err(Error::Lost(
            "no answer within the time limit of the call".to_owned(),
        ))
    });
    meters.count_store_call(name, result.is_ok());
    result
}

/// Reads the records of the nodes in this node's data centre.
async fn read_neighbours<K, F>(keyspace: Arc<K>, shared: Arc<Shared>, prefix: String, notify: F)
where
    K: Keyspace,
    F: Fn(Notification) + Send + Sync,
{
    loop {
        match list_all(&*keyspace, &shared.meters, &prefix, Freshness::AllowStale).await {
            Ok((items, _)) => {
                shared.record_success(keyspace.era(), &notify);
                return notify(Notification::Neighbours { items });
            }
            Err(cause) => {
                shared.record_failure(&cause, &notify);
                wait_until_available(&shared).await;
            }
        }
    }
}

/// Lists a prefix and then watches it. It lists the prefix again if the store has compacted its changes, or has come
/// back from an older copy.
async fn list_and_watch<K, F>(
    keyspace: Arc<K>,
    shared: Arc<Shared>,
    prefix: &'static str,
    notify: F,
) where
    K: Keyspace,
    F: Fn(Notification) + Send + Sync,
{
    wait_until(&shared, Shared::may_list).await;
    let started = Instant::now();
    // Stale reads are cheap, and the watch delivers the changes that they lack.
    let mut freshness = Freshness::AllowStale;
    let mut is_restored = false;
    loop {
        let (items, mut after) = loop {
            match list_all(&*keyspace, &shared.meters, prefix, freshness).await {
                Ok((_, revision)) if revision.era() < shared.era() => {
                    let cause = Error::Lost("the listing is of an earlier era".to_owned());
                    shared.record_failure(&cause, &notify);
                    wait_until_available(&shared).await;
                }
                Ok(listed) => break listed,
                Err(cause) => {
                    shared.record_failure(&cause, &notify);
                    wait_until_available(&shared).await;
                }
            }
        };
        shared.record_success(after.era(), &notify);
        notify(Notification::Listed {
            prefix,
            items,
            revision: after,
            freshness,
        });
        // After a stale listing, a watch call that does not wait returns the changes since then.
        let updates_from_store = shared.updates_from_store.load(Ordering::Acquire);
        // After a restore, it confirms the listing.
        let mut wait = match freshness {
            Freshness::AllowStale if updates_from_store => Duration::ZERO,
            Freshness::Latest if is_restored => Duration::ZERO,
            Freshness::AllowStale | Freshness::Latest => WATCH_WAIT_MAX,
        };
        let mut pause = BATCH_PAUSE_MIN;
        let mut answered = Instant::now();
        loop {
            // A call that does not wait is made even if another node watches the store. Before a call that
            // waits, this node itself waits until it should watch.
            if wait > Duration::ZERO && wait_until(&shared, Shared::is_watching).await {
                after = shared.raise_known_revision(after);
                // A call that does not wait returns at once, and so soon confirms that this node has every
                // change.
                wait = Duration::ZERO;
            }
            if after.era() < shared.era() {
                // The store may have given the revision out again.
                freshness = Freshness::Latest;
                is_restored = true;
                break;
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
                // Availability of the store, the duty to watch it, or the state of the connections may have
                // changed. The watch call is dropped and started anew.
                () = shared.state_changed.notified() => {
                    wait_until_available(&shared).await;
                    continue;
                }
                () = confirm_until_missed(&*keyspace, &shared, prefix, after, answered, &notify),
                    if wait > Duration::ZERO =>
                {
                    wait = Duration::ZERO;
                    continue;
                }
            };
            match batch {
                Ok(Batch { revision, .. }) if revision.era() > after.era() => {
                    shared.record_success(revision.era(), &notify);
                }
                Ok(Batch { events, revision }) => {
                    shared.record_success(revision.era(), &notify);
                    after = after.max(revision);
                    wait = WATCH_WAIT_MAX;
                    answered = Instant::now();
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
                    shared.record_success(keyspace.era(), &notify);
                    is_restored = after.era() < shared.era();
                    // A stale listing could again be older than the compaction.
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

/// Confirms in intervals that a watch has delivered every change, by reading the store's revision on another
/// connection. Returns when the watch must be started again: it has not delivered a change, or the store has not
/// answered, so that the connection of the watch may have broken as well.
async fn confirm_until_missed<K, F>(
    keyspace: &K,
    shared: &Shared,
    prefix: &'static str,
    delivered: Revision,
    mut answered: Instant,
    notify: &F,
) where
    K: Keyspace,
    F: Fn(Notification),
{
    loop {
        sleep_until(answered + CONFIRMATION_INTERVAL).await;
        let read = keyspace.list(&shared.record_key, None, Freshness::Latest);
        match call_with_timeout(&shared.meters, "confirm", CALL_TIMEOUT, read).await {
            Ok(Page { revision, .. }) if revision <= delivered => {
                shared.record_success(revision.era(), notify);
                notify(Notification::Confirmed);
                answered = Instant::now();
            }
            Ok(Page { revision, .. }) => {
                shared.record_success(revision.era(), notify);
                sleep(DELIVERY_TIME_MAX).await;
                log::info!(
                    prefix, delivered:% = delivered, revision:% = revision;
                    "watch has not delivered a change; it is started again"
                );
                return;
            }
            Err(cause) => {
                shared.record_failure(&cause, notify);
                return wait_until_available(shared).await;
            }
        }
    }
}

/// Waits until the condition holds. Returns whether it had to wait.
async fn wait_until(shared: &Shared, condition: fn(&Shared) -> bool) -> bool {
    let mut has_waited = false;
    loop {
        let changed = shared.state_changed.notified();
        if condition(shared) {
            return has_waited;
        }
        has_waited = true;
        changed.await;
    }
}

/// Waits for a quarter of a random retry delay (37 to 125 ms), and then until the store is available.
async fn wait_until_available(shared: &Shared) {
    sleep(retry_delay() / 4).await;
    wait_until(shared, Shared::is_available).await;
}

/// Lists all items of a prefix, page by page. Returns them with the lowest revision of a page, up to which the listing
/// has every change.
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
    let (mut lowest, mut highest): (Option<Revision>, _) = (None, Revision::default());
    loop {
        let after = items.last().map(|item| item.key.clone());
        let page = call_with_timeout(
            meters,
            "list",
            CALL_TIMEOUT,
            keyspace.list(prefix, after.as_deref(), freshness),
        )
        .await?;
        if lowest.is_some_and(|lowest| lowest.era() != page.revision.era()) {
            return Err(Error::Lost(
                "the store has come back from an older copy between two pages".to_owned(),
            ));
        }
        // The pages are not one snapshot, and stale ones may come from replicas of different age.
        let revision = lowest.map_or(page.revision, |lowest| lowest.min(page.revision));
        lowest = Some(revision);
        highest = highest.max(page.revision);
        let is_empty_page = page.items.is_empty();
        items.extend(page.items);
        if !page.more || is_empty_page {
            log::info!(
                prefix, items = items.len(), revision:% = revision, newest_page:% = highest;
                "store listed"
            );
            return Ok((items, revision));
        }
    }
}

/// Publishes the node's record under a lease, and renews the lease until it is to be revoked.
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
    // The lease with the era in which it was granted. The store may give its id out again in a later one.
    let mut lease: Option<(Lease, Era)> = None;
    loop {
        lease = lease.filter(|(_, era)| *era == keyspace.era());
        if shared.stopping.load(Ordering::Acquire) {
            // The lease also expires by itself. Only the record of a node that serves callers is worth a call.
            if let Some((lease, _)) = lease.take()
                && shared.serving.load(Ordering::Acquire)
            {
                let _ =
                    call_with_timeout(&shared.meters, "end", CALL_TIMEOUT, keyspace.revoke(lease))
                        .await;
            }
            return;
        }
        let result = match lease {
            Some((held, era)) => {
                call_with_timeout(&shared.meters, "renew", CALL_TIMEOUT, keyspace.renew(held))
                    .await
                    .map(|()| (held, era))
            }
            None => grant_and_put(&*keyspace, &shared.meters, &key, &value).await,
        };
        let wait = match result {
            Ok(held) => {
                lease = Some(held);
                shared.record_success(keyspace.era(), &notify);
                if held.1 != keyspace.era() {
                    RETRY_DELAY_MIN
                } else if shared.serving.load(Ordering::Acquire) {
                    RENEWAL_INTERVAL
                } else {
                    STANDBY_RENEWAL_INTERVAL
                }
            }
            Err(Error::NoLease) => {
                lease = None;
                shared.record_success(keyspace.era(), &notify);
                RETRY_DELAY_MIN
            }
            Err(cause) => {
                shared.record_failure(&cause, &notify);
                // If this connection has broken without an error, those of the watches may have as well.
                shared.state_changed.notify_waiters();
                retry_delay()
            }
        };
        // A failed call of another task requests an early renewal, which shows whether the store is
        // available.
        let early_renewal = async {
            shared.renewal_requested.notified().await;
            sleep(RETRY_DELAY_MIN).await;
        };
        let _ = timeout(wait, early_renewal).await;
    }
}

/// Requests a new lease, and writes the node's record under it. Returns the lease and the era in which it
/// was granted.
async fn grant_and_put<K>(
    keyspace: &K,
    meters: &Meters,
    key: &str,
    value: &[u8],
) -> Result<(Lease, Era), Error>
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
    let era = keyspace.era();
    call_with_timeout(meters, "put", CALL_TIMEOUT, keyspace.put(key, value, lease)).await?;
    Ok((lease, era))
}
