//! Tests how the follower reads a store whose connections and replicas fail, on paused time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use redwinggrade::connection::keyspace::{
    Batch, Era, Error, Event, Freshness, Item, Keyspace, Lease, Page, Revision, Write,
};
use redwinggrade::process::follow::{Follower, Notification};
use redwinggrade::process::meters::Meters;
use redwinggrade::process::mirror::{Export, Mirror};
use rstest::rstest;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The prefix that the tests follow: all keys.
const PREFIX: &str = "";
/// The number of items in a page of a listing.
const PAGE_ITEMS: usize = 2;
/// A node counts as in touch with the store again this long after its connections have failed.
const STABLE_TIME: Duration = Duration::from_secs(4);
/// A change must be in force this long after the store has acknowledged it.
const CHANGE_BOUND: Duration = Duration::from_secs(3);

/// A store with faults, in the memory of the test.
#[derive(Debug)]
struct FaultyStore {
    state: Mutex<State>,
    /// The number of changes, for waiting watches.
    changed: tokio::sync::watch::Sender<usize>,
}

#[derive(Debug, Default)]
struct State {
    /// All changes; the revision of the first one is 1.
    events: Vec<Event>,
    /// How often the connections of waiting watches have fallen silent.
    silences: usize,
    /// The revision of the replica that answers stale reads of all pages but the first.
    lagging: Option<Revision>,
}

impl State {
    fn revision(&self) -> Revision {
        Revision(self.events.len() as u128)
    }

    /// Returns the contents at a revision.
    fn items_at(&self, revision: Revision) -> BTreeMap<&str, &Item> {
        let mut items = BTreeMap::new();
        for event in &self.events[..revision.0 as usize] {
            match event {
                Event::Put(item) => items.insert(item.key.as_str(), item),
                Event::Removed { key, .. } => items.remove(key.as_str()),
            };
        }
        items
    }
}

impl FaultyStore {
    fn open(keys: &[&str]) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: tokio::sync::watch::Sender::new(0),
        });
        for key in keys {
            store.write(key, "ready");
        }
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test thread panics")
    }

    fn write(&self, key: &str, value: &'static str) -> Revision {
        let mut state = self.state();
        let revision = Revision(state.revision().0 + 1);
        state.events.push(Event::Put(Item {
            key: key.to_owned(),
            value: Bytes::from_static(value.as_bytes()),
            revision,
        }));
        self.changed.send_replace(state.events.len());
        revision
    }

    /// Lets the connections of the waiting watches fall silent; new ones work.
    fn silence_watches(&self) {
        self.state().silences += 1;
    }

    /// Returns the contents, as keys and values.
    fn contents(&self) -> Vec<(String, Bytes)> {
        let state = self.state();
        let items = state.items_at(state.revision());
        let values = items.values();
        values
            .map(|item| (item.key.clone(), item.value.clone()))
            .collect()
    }
}

impl Keyspace for FaultyStore {
    fn era(&self) -> Era {
        Era::default()
    }

    async fn list(
        &self,
        _: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page, Error> {
        let state = self.state();
        let lagging = state.lagging.filter(|_| freshness == Freshness::AllowStale);
        let revision = match (after, lagging) {
            (Some(_), Some(lagging)) => lagging,
            _ => state.revision(),
        };
        let items = state.items_at(revision);
        let rest = items.values().filter(|it| Some(it.key.as_str()) > after);
        let rest: Vec<Item> = rest.copied().cloned().collect();
        Ok(Page {
            more: rest.len() > PAGE_ITEMS,
            items: rest.into_iter().take(PAGE_ITEMS).collect(),
            revision,
        })
    }

    async fn watch(&self, _: &str, after: Revision, wait: Duration) -> Result<Batch, Error> {
        let end = Instant::now() + wait;
        let silences = self.state().silences;
        let mut changed = self.changed.subscribe();
        let has_later = |count: &usize| *count as u128 > after.0;
        let _ = timeout_at(end, changed.wait_for(has_later)).await;
        if self.state().silences > silences {
            std::future::pending::<()>().await;
        }
        let state = self.state();
        Ok(Batch {
            events: state.events[after.0 as usize..].to_vec(),
            revision: state.revision(),
        })
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

/// A follower of the whole store with the mirror that its notifications fill.
struct Node {
    follower: Follower,
    notifications: UnboundedReceiver<Notification>,
    mirror: Mirror,
}

impl Node {
    fn spawn(store: &Arc<FaultyStore>) -> Self {
        let (sender, notifications) = unbounded_channel();
        let follower = Follower::spawn(
            store,
            &[PREFIX],
            "nodes/".to_owned(),
            ("nodes/n1".to_owned(), Vec::new()),
            Meters::open(),
            move |notification| {
                // The test may have ended.
                let _ = sender.send(notification);
            },
        );
        follower.start_listing(true);
        Self {
            follower,
            notifications,
            mirror: Mirror::open(PREFIX),
        }
    }

    /// Applies notifications until the mirror has every change up to `revision`.
    async fn follow_to(&mut self, revision: Revision) {
        while self.mirror.revision() < revision {
            let notification = self.notifications.recv().await;
            match notification.expect("the follower runs") {
                Notification::Listed {
                    items, revision, ..
                } => {
                    self.mirror.import(Export::Whole { items, revision });
                }
                Notification::Changed {
                    events, revision, ..
                } => {
                    for event in events {
                        self.mirror.apply(event);
                    }
                    self.mirror.advance(revision);
                }
                _ => continue,
            }
            self.follower.set_watching(Some(self.mirror.revision()));
        }
    }

    /// Returns the contents of the mirror, as keys and values.
    fn contents(&self) -> Vec<(String, Bytes)> {
        let Export::Whole { items, .. } = self.mirror.export(Revision::default()) else {
            panic!("an export from the start is whole");
        };
        items.into_iter().map(|it| (it.key, it.value)).collect()
    }
}

/// Guards against a silent connection of a watch that hides changes of the store, while calls on other connections
/// succeed.
#[rstest]
#[case::change_soon_after(Duration::from_millis(10), STABLE_TIME)]
#[case::change_in_stable_state(STABLE_TIME, CHANGE_BOUND)]
#[tokio::test(start_paused = true)]
async fn silent_watch_does_not_hide_changes(#[case] delay: Duration, #[case] bound: Duration) {
    let store = FaultyStore::open(&["a"]);
    let mut node = Node::spawn(&store);
    node.follow_to(Revision(1)).await;
    let written = store.write("b", "ready");
    node.follow_to(written).await;
    sleep(Duration::from_secs(1)).await;
    store.silence_watches();
    sleep(delay).await;
    let written = store.write("c", "ready");
    let followed = timeout(bound, node.follow_to(written)).await;
    assert!(
        followed.is_ok(),
        "the change was not delivered in {bound:?}"
    );
}

/// Guards against a change that no watch delivers, because a stale listing counts as complete up to the revision of a
/// page that is newer than a later one.
#[tokio::test(start_paused = true)]
async fn changes_between_pages_of_a_stale_listing_are_delivered() {
    let store = FaultyStore::open(&["a", "b", "c", "d", "e"]);
    let lagging = store.state().revision();
    store.write("e", "draining");
    store.write("a", "draining");
    store.state().lagging = Some(lagging);
    let mut node = Node::spawn(&store);
    let newest = store.state().revision();
    node.follow_to(newest).await;
    assert_eq!(node.contents(), store.contents());
}
