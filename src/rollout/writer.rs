//! Writes the record and the status of a roll-out to the store, in one conditional transaction.

use std::sync::Arc;
use std::time::Duration;

use super::Record;
use crate::connection::keyspace::{Error, Freshness, Item, Keyspace, Revision, Write};
use crate::version::item::{self, Codec};

/// The number of attempts at one write, each after reading what the store holds.
const ATTEMPTS: u32 = 3;
/// The delay before another attempt. An answer that was lost may belong to a write that the store applies a little later.
const ATTEMPT_DELAY: Duration = Duration::from_millis(150);
/// The time limit of all attempts. A store that accepts calls and never answers must not hold the state back.
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// Writes the record unless the store holds a later phase of the same run, or the record of a later order. Returns the
/// record that the store holds then, or nothing if that is not known.
pub async fn write<K>(
    keyspace: &K,
    codec: &Arc<dyn Codec>,
    service: &str,
    record: Record,
) -> Option<Record>
where
    K: Keyspace,
{
    let attempts = async {
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(ATTEMPT_DELAY).await;
            }
            match try_write(keyspace, codec, service, &record).await {
                Ok(stored) => return Some(stored),
                // Another node has written, or the answer was lost; the next attempt reads what is there.
                Err(Error::Conflict | Error::Lost(_)) => {}
                Err(e) => {
                    log::info!(service, error:% = e; "roll-out not written; it is tried again");
                    return None;
                }
            }
        }
        log::info!(service, attempts = ATTEMPTS; "roll-out not written; it is tried again");
        None
    };
    tokio::time::timeout(TIME_LIMIT, attempts)
        .await
        .unwrap_or_default()
}

async fn try_write<K>(
    keyspace: &K,
    codec: &Arc<dyn Codec>,
    service: &str,
    record: &Record,
) -> Result<Record, Error>
where
    K: Keyspace,
{
    let [(record_key, record_value), (status_key, status_value)] =
        codec.encode_rollout(service, record);
    let stored = read(keyspace, &record_key).await?;
    let status = read(keyspace, &status_key).await?;
    if let Some(known) = stored.as_ref().and_then(|it| decode(codec, it)) {
        let is_same_run = known.run == record.run;
        let is_same = is_same_run
            && known.phase == record.phase
            && known.order_revision() == record.order_revision();
        let is_later = is_same_run && (known.phase > record.phase || known.phase.is_final())
            || !is_same_run && known.order_revision() > record.order_revision();
        let status_is_same = status.as_ref().map(|it| &*it.value) == Some(&*status_value);
        // A final phase stays, but a later revision of its order is recorded.
        let is_final_again = is_same_run
            && known.phase.is_final()
            && known.phase == record.phase
            && known.order_revision() < record.order_revision();
        if (is_same && status_is_same) || (is_later && !is_same && !is_final_again) {
            return Ok(known);
        }
    }
    let revision = |item: &Option<Item>| item.as_ref().map(|it| it.revision);
    let writes = [
        Write {
            key: record_key,
            value: record_value,
            expected: revision(&stored),
        },
        Write {
            key: status_key,
            value: status_value,
            expected: revision(&status),
        },
    ];
    let _revision: Revision = keyspace.write_if(&writes).await?;
    Ok(record.clone())
}

/// Reads one key.
async fn read<K>(keyspace: &K, key: &str) -> Result<Option<Item>, Error>
where
    K: Keyspace,
{
    let page = keyspace.list(key, None, Freshness::Latest).await?;
    // Pages are sorted, so the key itself is the first one that starts with it.
    Ok(page.items.into_iter().find(|item| item.key == key))
}

fn decode(codec: &Arc<dyn Codec>, item: &Item) -> Option<Record> {
    match codec.decode(&item.key, &item.value) {
        item::Item::Rollout(record) => Some(record),
        _ => None,
    }
}
