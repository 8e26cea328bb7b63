//! Writes and transactions: all operations of a request take effect as one revision, or none does.

use std::collections::HashSet;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::data::{
    Data, Event, LEASE_NOT_FOUND, MAX_JOURNAL_WRITES, MAX_VALUE_BYTES, Refusal, invalid,
};
use super::message::{Compare, DeleteRange, KeyValue, Op, Put, Relation, Target, Txn};

impl Data {
    pub(super) fn put(&mut self, request: Put, now: Instant) -> Result<Value, Refusal> {
        let op = Op::Put(request);
        self.check(std::slice::from_ref(&op))?;
        let mut answers = self.apply(vec![op], now);
        Ok(answers.swap_remove(0).1)
    }

    pub(super) fn delete_range(
        &mut self,
        request: DeleteRange,
        now: Instant,
    ) -> Result<Value, Refusal> {
        let op = Op::DeleteRange(request);
        self.check(std::slice::from_ref(&op))?;
        let mut answers = self.apply(vec![op], now);
        Ok(answers.swap_remove(0).1)
    }

    pub(super) fn txn(&mut self, request: Txn, now: Instant) -> Result<Value, Refusal> {
        for compare in &request.compare {
            check_key(&compare.key)?;
        }
        self.check(&request.success)?;
        self.check(&request.failure)?;
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded {
            request.success
        } else {
            request.failure
        };
        let answers = self.apply(ops, now);
        let mut answer = self.answer();
        if succeeded {
            answer.insert("succeeded".to_owned(), json!(true));
        }
        if !answers.is_empty() {
            let responses: Vec<Value> = answers
                .into_iter()
                .map(|(name, value)| json!({ name: value }))
                .collect();
            answer.insert("responses".to_owned(), json!(responses));
        }
        Ok(Value::Object(answer))
    }

    /// Checks operations before any of them takes effect, so that a refused one changes nothing.
    fn check(&self, ops: &[Op]) -> Result<(), Refusal> {
        let mut put = HashSet::new();
        for op in ops {
            match op {
                Op::Put(request) => {
                    check_key(&request.key)?;
                    if request.value.len() > MAX_VALUE_BYTES {
                        return Err(invalid("etcdserver: request is too large"));
                    }
                    if request.lease != 0 && !self.leases.contains_key(&request.lease) {
                        return Err(LEASE_NOT_FOUND);
                    }
                    if !put.insert(&request.key) {
                        return Err(invalid("etcdserver: duplicate key given in txn request"));
                    }
                }
                Op::Range(request) => check_key(&request.key)?,
                Op::DeleteRange(request) => check_key(&request.key)?,
            }
            if op.is_write() && self.journal.len() >= MAX_JOURNAL_WRITES {
                return Err(Refusal {
                    code: 8,
                    message: "the stand-in's journal is full; restart it",
                });
            }
        }
        Ok(())
    }

    fn holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let number = |attribute: fn(&KeyValue) -> i64| kv.map_or(0, attribute);
        let order = match compare.target {
            Target::Version => number(|kv| kv.version).cmp(&compare.version),
            Target::Create => number(|kv| kv.create_revision).cmp(&compare.create_revision),
            Target::Mod => number(|kv| kv.mod_revision).cmp(&compare.mod_revision),
            // As in the real store, a comparison of the value of an absent key never holds.
            Target::Value => match kv {
                Some(kv) => kv.value.cmp(&compare.value),
                None => return false,
            },
        };
        match compare.result {
            Relation::Equal => order.is_eq(),
            Relation::Greater => order.is_gt(),
            Relation::Less => order.is_lt(),
            Relation::NotEqual => order.is_ne(),
        }
    }

    /// Applies checked operations as one revision and returns the answer to each.
    fn apply(&mut self, ops: Vec<Op>, now: Instant) -> Vec<(&'static str, Value)> {
        let next = self.revision + 1;
        let mut events = Vec::new();
        let mut answers = Vec::new();
        for op in ops {
            answers.push(match op {
                Op::Put(request) => ("response_put", self.put_key(request, next, &mut events)),
                Op::Range(request) => (
                    "response_range",
                    self.range(&request).expect("the operation was checked"),
                ),
                Op::DeleteRange(request) => (
                    "response_delete_range",
                    self.delete_keys(&request, next, &mut events),
                ),
            });
        }
        self.commit(events, now);
        for (_, answer) in &mut answers {
            answer["header"] = json!(self.header());
        }
        answers
    }

    fn put_key(&mut self, request: Put, revision: i64, events: &mut Vec<Event>) -> Value {
        let previous = self.keys.get(&request.key).cloned();
        let kv = KeyValue {
            key: request.key,
            create_revision: previous.as_ref().map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: previous.as_ref().map_or(0, |kv| kv.version) + 1,
            value: request.value,
            lease: request.lease,
        };
        if let Some(previous) = &previous {
            self.detach(previous);
        }
        if let Some(lease) = self.leases.get_mut(&kv.lease) {
            lease.keys.insert(kv.key.clone());
        }
        self.keys.insert(kv.key.clone(), kv.clone());
        let mut answer = self.answer();
        if let (true, Some(previous)) = (request.prev_kv, &previous) {
            answer.insert("prev_kv".to_owned(), json!(self.shown(previous)));
        }
        events.push(Event {
            kv,
            deleted: false,
            previous,
        });
        Value::Object(answer)
    }

    pub(super) fn delete_keys(
        &mut self,
        request: &DeleteRange,
        revision: i64,
        events: &mut Vec<Event>,
    ) -> Value {
        let found: Vec<KeyValue> = self
            .select(&request.key, &request.range_end)
            .cloned()
            .collect();
        let mut answer = self.answer();
        if !found.is_empty() {
            answer.insert("deleted".to_owned(), json!(found.len().to_string()));
            if request.prev_kv {
                let shown: Vec<_> = found.iter().map(|kv| self.shown(kv)).collect();
                answer.insert("prev_kvs".to_owned(), json!(shown));
            }
        }
        for kv in found {
            self.keys.remove(&kv.key);
            self.detach(&kv);
            events.push(Event {
                kv: KeyValue {
                    key: kv.key.clone(),
                    mod_revision: revision,
                    ..KeyValue::default()
                },
                deleted: true,
                previous: Some(kv),
            });
        }
        Value::Object(answer)
    }

    fn detach(&mut self, kv: &KeyValue) {
        if let Some(lease) = self.leases.get_mut(&kv.lease) {
            lease.keys.remove(&kv.key);
        }
    }
}

pub(super) fn check_key(key: &Bytes) -> Result<(), Refusal> {
    if key.is_empty() {
        return Err(invalid("etcdserver: key is not provided"));
    }
    Ok(())
}
