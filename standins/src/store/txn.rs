//! Writes and transactions. All operations of a request take effect in one revision, or none does.

use std::collections::HashSet;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::keyspace::{
    Event, Keyspace, LEASE_NOT_FOUND, MAX_JOURNAL_WRITES, MAX_VALUE_BYTES, RequestError,
    invalid_argument,
};
use super::message::{Compare, CompareResult, CompareTarget, DeleteRange, KeyValue, Op, Put, Txn};

impl Keyspace {
    /// Writes one key and returns the response.
    pub(super) fn put(&mut self, request: Put, now: Instant) -> Result<Value, RequestError> {
        let op = Op::Put(request);
        self.validate(std::slice::from_ref(&op))?;
        let mut answers = self.apply(vec![op], now);
        Ok(answers.swap_remove(0).1)
    }

    /// Deletes a range of keys and returns the response.
    pub(super) fn delete_range(
        &mut self,
        request: DeleteRange,
        now: Instant,
    ) -> Result<Value, RequestError> {
        let op = Op::DeleteRange(request);
        self.validate(std::slice::from_ref(&op))?;
        let mut answers = self.apply(vec![op], now);
        Ok(answers.swap_remove(0).1)
    }

    /// Evaluates the comparisons of a transaction, applies the branch that they select and returns the
    /// response.
    pub(super) fn txn(&mut self, request: Txn, now: Instant) -> Result<Value, RequestError> {
        for compare in &request.compare {
            validate_key(&compare.key)?;
        }
        self.validate(&request.success)?;
        self.validate(&request.failure)?;
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.comparison_holds(compare));
        let ops = if succeeded {
            request.success
        } else {
            request.failure
        };
        let answers = self.apply(ops, now);
        let mut answer = self.response_with_header();
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
    fn validate(&self, ops: &[Op]) -> Result<(), RequestError> {
        let mut put = HashSet::new();
        for op in ops {
            match op {
                Op::Put(request) => {
                    validate_key(&request.key)?;
                    if request.value.len() > MAX_VALUE_BYTES {
                        return Err(invalid_argument("etcdserver: request is too large"));
                    }
                    if request.lease != 0 && !self.leases.contains_key(&request.lease) {
                        return Err(LEASE_NOT_FOUND);
                    }
                    if !put.insert(&request.key) {
                        return Err(invalid_argument(
                            "etcdserver: duplicate key given in txn request",
                        ));
                    }
                }
                Op::Range(request) => validate_key(&request.key)?,
                Op::DeleteRange(request) => validate_key(&request.key)?,
            }
            if op.is_write() && self.journal.len() >= MAX_JOURNAL_WRITES {
                return Err(RequestError {
                    code: 8,
                    message: "the stand-in's journal is full; restart it",
                });
            }
        }
        Ok(())
    }

    /// Returns whether a condition of a transaction is true; an absent key has the attributes 0.
    fn comparison_holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let number = |attribute: fn(&KeyValue) -> i64| kv.map_or(0, attribute);
        let order = match compare.target {
            CompareTarget::Version => number(|kv| kv.version).cmp(&compare.version),
            CompareTarget::Create => number(|kv| kv.create_revision).cmp(&compare.create_revision),
            CompareTarget::Mod => number(|kv| kv.mod_revision).cmp(&compare.mod_revision),
            // As in the real store, a comparison with the value of an absent key is never true.
            CompareTarget::Value => match kv {
                Some(kv) => kv.value.cmp(&compare.value),
                None => return false,
            },
        };
        match compare.result {
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }

    /// Applies validated operations as one revision; returns the name and the body of the response to
    /// each.
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

    /// Writes one key at `revision` and returns the response, still with the header from before the
    /// commit.
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
            self.detach_from_lease(previous);
        }
        if let Some(lease) = self.leases.get_mut(&kv.lease) {
            lease.keys.insert(kv.key.clone());
        }
        self.keys.insert(kv.key.clone(), kv.clone());
        let mut answer = self.response_with_header();
        if let (true, Some(previous)) = (request.prev_kv, &previous) {
            answer.insert("prev_kv".to_owned(), json!(self.response_kv(previous)));
        }
        events.push(Event {
            kv,
            deleted: false,
            previous,
        });
        Value::Object(answer)
    }

    /// Deletes a range of keys at `revision` and returns the response, still with the header from before
    /// the commit.
    pub(super) fn delete_keys(
        &mut self,
        request: &DeleteRange,
        revision: i64,
        events: &mut Vec<Event>,
    ) -> Value {
        let found: Vec<KeyValue> = self
            .entries_in_range(&request.key, &request.range_end)
            .cloned()
            .collect();
        let mut answer = self.response_with_header();
        if !found.is_empty() {
            answer.insert("deleted".to_owned(), json!(found.len().to_string()));
            if request.prev_kv {
                let shown: Vec<_> = found.iter().map(|kv| self.response_kv(kv)).collect();
                answer.insert("prev_kvs".to_owned(), json!(shown));
            }
        }
        for kv in found {
            self.keys.remove(&kv.key);
            self.detach_from_lease(&kv);
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

    /// Removes a key from the keys of its lease.
    fn detach_from_lease(&mut self, kv: &KeyValue) {
        if let Some(lease) = self.leases.get_mut(&kv.lease) {
            lease.keys.remove(&kv.key);
        }
    }
}

/// Refuses an empty key.
pub(super) fn validate_key(key: &Bytes) -> Result<(), RequestError> {
    if key.is_empty() {
        return Err(invalid_argument("etcdserver: key is not provided"));
    }
    Ok(())
}
