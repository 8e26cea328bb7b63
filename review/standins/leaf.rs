//! A stand-in for a leaf: it runs each request at once and records it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::http::{Message, Reply, Server, serve};
use crate::record;
use crate::store::Store;

/// A request that a leaf has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    /// When the request arrived, in seconds since the start of the run.
    pub at: f64,
}

/// How a leaf answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Behaviour {
    /// The value of `Server-Limit` in the answers, if there is one.
    pub limit: Option<f64>,
    /// For how long the leaf works on a request.
    pub work: Duration,
}

#[derive(Debug, Clone)]
pub struct Leaf {
    pub id: String,
    service: String,
    zone: String,
    server: Server,
    runs: Arc<Mutex<Vec<Run>>>,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl Leaf {
    pub fn start(id: &str, service: &str, zone: &str) -> std::io::Result<Self> {
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let behaviour: Arc<Mutex<Behaviour>> = Arc::default();
        let (known, served) = (Arc::clone(&runs), service.to_owned());
        let (own, present) = (id.to_owned(), Arc::clone(&behaviour));
        let server = serve(move |request| {
            let present = *present.lock().unwrap_or_else(PoisonError::into_inner);
            answer(&own, &served, present, &request, &known)
        })?;
        Ok(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            server,
            runs,
            behaviour,
        })
    }

    /// Writes the leaf's entry to the store.
    pub fn report(&self, store: &Store, state: &str) {
        let Self {
            id,
            service,
            zone,
            server,
            ..
        } = self;
        let address = server.address;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1\",\
             \"capacity\":4,\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":1764900000000}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    /// Ends the leaf without notice.
    pub fn crash(&self) {
        self.server.crash();
        record::log(&format!("leaf {} crashes", self.id));
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

fn answer(
    id: &str,
    service: &str,
    behaviour: Behaviour,
    request: &Message,
    runs: &Mutex<Vec<Run>>,
) -> Reply {
    let instance = ("x-instance-id".to_owned(), id.to_owned());
    if request.path() == "/health" {
        let mut health = Message::json(200, "{}".into());
        health.headers.push(instance);
        return Reply::Answer(health);
    }
    let refusal = |status: u16| {
        let mut refusal = Message::json(status, "{}".into());
        refusal.headers.push(("x-not-executed".into(), "1".into()));
        Reply::Answer(refusal)
    };
    let Some(request_id) = request.header("x-request-id") else {
        return refusal(400);
    };
    if request
        .header("x-target-instance")
        .is_some_and(|it| it != id)
    {
        return refusal(421);
    }
    let run = Run {
        request: request_id.to_owned(),
        at: record::elapsed(),
    };
    record::log(&format!(
        "leaf {id} of {service} runs {request_id} ({})",
        request.target()
    ));
    runs.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(run);
    let seal = format!("seal.{id}.{request_id}");
    std::thread::sleep(behaviour.work);
    // 25 records of 16 bytes.
    let body = format!("{service:>8.8}{:>8.8}", request_id).repeat(25);
    let mut response = Message::json(200, body);
    response.headers.push(instance);
    response
        .headers
        .push(("x-request-id".into(), request_id.to_owned()));
    response.headers.push(("x-response-seal".into(), seal));
    if let Some(limit) = behaviour.limit {
        response
            .headers
            .push(("server-limit".into(), limit.to_string()));
    }
    Reply::Answer(response)
}
