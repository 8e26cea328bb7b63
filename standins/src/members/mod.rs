//! The membership list: instances that are live or leaving, shown with a lag.
//!
//! `GET /instances` gives the whole list. `GET /instances?since=R` gives only the instances that
//! changed after revision `R`, and under `removed` the names that were removed after it.

mod list;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::http::{self, Reply, Tasks};
pub use list::{Instance, Listing, Role, State};

/// How a membership stand-in starts.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where to listen; port 0 takes a free port.
    pub listen: SocketAddr,
    /// How far the answers lag behind the changes.
    pub lag: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag: Duration::ZERO,
        }
    }
}

/// Faults to set; an absent field keeps its value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How far the answers lag behind the changes, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Whether connections are closed instead of served.
    pub down: Option<bool>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Removal {
    name: String,
}

#[derive(Debug)]
struct Service {
    list: Mutex<list::List>,
    down: watch::Sender<bool>,
}

/// A running membership stand-in; it stops when dropped.
#[derive(Debug)]
pub struct Members {
    address: SocketAddr,
    service: Arc<Service>,
    tasks: Tasks,
}

/// Starts a membership stand-in.
pub async fn bind(config: Config) -> io::Result<Members> {
    let listener = TcpListener::bind(config.listen).await?;
    let address = listener.local_addr()?;
    let service = Arc::new(Service {
        list: Mutex::new(list::List::new(config.lag)),
        down: watch::Sender::new(false),
    });
    let tasks = Tasks::new();
    tasks.tracker.spawn(http::accept_connections(
        listener,
        Arc::clone(&service),
        service.down.subscribe(),
        tasks.stop.clone(),
        tasks.tracker.clone(),
    ));
    Ok(Members {
        address,
        service,
        tasks,
    })
}

impl Members {
    /// Returns the address that it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets faults, like `POST /admin/faults`.
    pub fn set_faults(&self, faults: Faults) {
        self.service.set_faults(faults);
    }

    /// Adds or replaces instances, like `POST /admin/instances`.
    pub fn upsert(&self, instances: Vec<Instance>) {
        self.service
            .with(|list| list.upsert(instances, Instant::now()));
    }

    /// Removes an instance, like `POST /admin/remove`; returns whether it was listed.
    pub fn remove(&self, name: &str) -> bool {
        self.service.with(|list| list.remove(name, Instant::now()))
    }

    /// Stops and waits until every connection is closed.
    pub async fn close(self) {
        self.tasks.close().await;
    }
}

impl Service {
    fn with<T>(&self, use_list: impl FnOnce(&mut list::List) -> T) -> T {
        use_list(&mut self.list.lock().expect("no holder of this lock panics"))
    }

    fn set_faults(&self, faults: Faults) {
        if let Some(lag) = faults.lag_ms {
            self.with(|list| list.set_lag(Duration::from_millis(lag)));
        }
        if let Some(down) = faults.down {
            self.down.send_replace(down);
        }
    }
}

impl http::Handle for Service {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let ok = || http::json_response(StatusCode::OK, &json!({}));
        let answer = match (request.method(), path.as_str()) {
            (&Method::GET, "/instances") => match since(request.uri().query()) {
                Ok(since) => {
                    let listing = self.with(|list| list.listing(since, Instant::now()));
                    http::json_response(StatusCode::OK, &listing)
                }
                Err(error) => http::error_response(StatusCode::BAD_REQUEST, &error),
            },
            (&Method::POST, "/admin/instances") => {
                match http::read_json::<Vec<Instance>>(request.into_body()).await {
                    Ok(instances) => {
                        self.with(|list| list.upsert(instances, Instant::now()));
                        ok()
                    }
                    Err(refusal) => refusal,
                }
            }
            (&Method::POST, "/admin/remove") => {
                match http::read_json::<Removal>(request.into_body()).await {
                    Ok(Removal { name }) => {
                        if self.with(|list| list.remove(&name, Instant::now())) {
                            ok()
                        } else {
                            http::error_response(StatusCode::NOT_FOUND, "no such instance")
                        }
                    }
                    Err(refusal) => refusal,
                }
            }
            (&Method::POST, "/admin/faults") => {
                match http::read_json::<Faults>(request.into_body()).await {
                    Ok(faults) => {
                        self.set_faults(faults);
                        ok()
                    }
                    Err(refusal) => refusal,
                }
            }
            _ => http::not_found(),
        };
        Ok(answer)
    }
}

/// Reads the revision of the query string; an absent one asks for the whole list.
fn since(query: Option<&str>) -> Result<u64, String> {
    let value = query
        .unwrap_or("")
        .split('&')
        .find_map(|pair| pair.strip_prefix("since="));
    value.map_or(Ok(0), |value| {
        value
            .parse()
            .map_err(|error| format!("since={value} is not a revision: {error}"))
    })
}
