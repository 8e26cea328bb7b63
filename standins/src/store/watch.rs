//! Watches: a streamed answer with one JSON object per line for each revision.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde_json::{Value, json};

use super::Service;
use super::data::{Data, Event, covers};
use super::message::{CreateRequest, Header};
use crate::http::Body;

/// How many lines wait in the answer before the watch waits for its reader.
const BUFFER: usize = 64;

/// Starts a watch; its task ends when the reader goes away or the stand-in stops.
pub(super) fn start(service: &Arc<Service>, request: CreateRequest) -> Response<Body> {
    let (sender, body) = Channel::<Bytes, Infallible>::new(BUFFER);
    let revision = service.data().revision;
    let next = if request.start_revision > 0 {
        request.start_revision
    } else {
        revision + 1
    };
    let task = run(Arc::clone(service), request, sender, revision, next);
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

async fn run(
    service: Arc<Service>,
    request: CreateRequest,
    mut sender: Sender<Bytes, Infallible>,
    revision: i64,
    mut next: i64,
) {
    let mut changed = service.changed.subscribe();
    let created = json!({ "header": Header::new(revision), "created": true });
    if send(&mut sender, &created).await.is_err() {
        return;
    }
    loop {
        let (lines, over) = {
            let data = service.data();
            collect(&data, &request, &mut next)
        };
        for line in &lines {
            if send(&mut sender, line).await.is_err() {
                return;
            }
        }
        if over || changed.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the answers since `next`, and whether the watch has ended.
fn collect(data: &Data, request: &CreateRequest, next: &mut i64) -> (Vec<Value>, bool) {
    let later = match data.events_since(*next) {
        Ok(later) => later,
        Err(oldest) => {
            let compacted = json!({
                "header": data.header(),
                "canceled": true,
                "compact_revision": oldest.to_string(),
            });
            return (vec![compacted], true);
        }
    };
    let mut lines = Vec::new();
    for (revision, events) in later {
        *next = revision + 1;
        let events: Vec<Value> = events
            .iter()
            .filter(|event| covers(&request.key, &request.range_end, &event.kv.key))
            .map(|event| shown(data, request, event))
            .collect();
        if !events.is_empty() {
            lines.push(json!({ "header": Header::new(revision), "events": events }));
        }
    }
    (lines, false)
}

fn shown(data: &Data, request: &CreateRequest, event: &Event) -> Value {
    let mut value = json!({ "kv": data.shown(&event.kv) });
    if event.deleted {
        // A put has the type with number zero, which the mapping leaves out.
        value["type"] = json!("DELETE");
    }
    if let (true, Some(previous)) = (request.prev_kv, &event.previous) {
        value["prev_kv"] = json!(data.shown(previous));
    }
    value
}

async fn send(sender: &mut Sender<Bytes, Infallible>, result: &Value) -> Result<(), ()> {
    let mut line = json!({ "result": result }).to_string();
    line.push('\n');
    sender.send_data(Bytes::from(line)).await.map_err(drop)
}
