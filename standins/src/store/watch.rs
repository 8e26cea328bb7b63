//! Watches, each a streamed response with one JSON object per line and revision.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde_json::{Value, json};

use super::Service;
use super::keyspace::{Event, Keyspace, in_range};
use super::message::{CreateRequest, Header};
use crate::http::Body;

/// Number of lines that are buffered for a slow reader; the watch waits while the buffer is full.
const MAX_BUFFERED_LINES: usize = 64;

/// Starts a watch and returns its streamed response. Its task ends when the reader disconnects or the
/// stand-in stops.
pub(super) fn start(service: &Arc<Service>, request: CreateRequest) -> Response<Body> {
    let (sender, body) = Channel::<Bytes, Infallible>::new(MAX_BUFFERED_LINES);
    let revision = service.keyspace().revision;
    let next = if request.start_revision > 0 {
        request.start_revision
    } else {
        revision + 1
    };
    let task = stream_changes(Arc::clone(service), request, sender, revision, next);
    let stop = service.stop.clone();
    service.tracker.spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = task => {}
        }
    });
    let mut response = Response::new(body.boxed_unsync());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Sends the first line and then a line for each revision until the watch ends.
async fn stream_changes(
    service: Arc<Service>,
    request: CreateRequest,
    mut sender: Sender<Bytes, Infallible>,
    revision: i64,
    mut next: i64,
) {
    let mut changed = service.revision_changed.subscribe();
    let created = json!({ "header": Header::new(revision), "created": true });
    if send_result(&mut sender, &created).await.is_err() {
        return;
    }
    loop {
        let (lines, ended) = {
            let keyspace = service.keyspace();
            next_lines(&keyspace, &request, &mut next)
        };
        for line in &lines {
            if send_result(&mut sender, line).await.is_err() {
                return;
            }
        }
        if ended || changed.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the lines since the revision `next`, which it advances, and whether the watch has ended.
fn next_lines(keyspace: &Keyspace, request: &CreateRequest, next: &mut i64) -> (Vec<Value>, bool) {
    let revisions = match keyspace.events_since(*next) {
        Ok(revisions) => revisions,
        Err(oldest) => {
            let compacted = json!({
                "header": keyspace.header(),
                "canceled": true,
                "compact_revision": oldest.to_string(),
            });
            return (vec![compacted], true);
        }
    };
    let mut lines = Vec::new();
    for (revision, events) in revisions {
        *next = revision + 1;
        let events: Vec<Value> = events
            .iter()
            .filter(|event| in_range(&request.key, &request.range_end, &event.kv.key))
            .map(|event| event_json(keyspace, request, event))
            .collect();
        if !events.is_empty() {
            lines.push(json!({ "header": Header::new(revision), "events": events }));
        }
    }
    (lines, false)
}

/// Returns a change as a watch shows it.
fn event_json(keyspace: &Keyspace, request: &CreateRequest, event: &Event) -> Value {
    let mut value = json!({ "kv": keyspace.response_kv(&event.kv) });
    if event.deleted {
        // The type of a put is the enum value zero, which the mapping leaves out.
        value["type"] = json!("DELETE");
    }
    if let (true, Some(previous)) = (request.prev_kv, &event.previous) {
        value["prev_kv"] = json!(keyspace.response_kv(previous));
    }
    value
}

/// Sends one line; fails if the reader has disconnected.
async fn send_result(sender: &mut Sender<Bytes, Infallible>, result: &Value) -> Result<(), ()> {
    let mut line = json!({ "result": result }).to_string();
    line.push('\n');
    sender.send_data(Bytes::from(line)).await.map_err(drop)
}
