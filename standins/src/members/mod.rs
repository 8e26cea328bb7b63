//! Stand-in for the membership list: live and leaving instances, shown with a configurable lag.
//!
//! `GET /instances` returns the whole list. `GET /instances?since=R` returns only the instances that
//! changed after revision `R`, and in `removed` the names that were removed after it. `POST` requests to
//! `/admin/instances`, `/admin/remove` and `/admin/faults` change the list and set faults.

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

/// Configuration of a membership stand-in.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Time from a change until responses show it.
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

/// Faults to set; an absent field leaves its fault unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time from a change until responses show it, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Whether connections other than those of admin requests are closed without a response.
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

/// Running membership stand-in, which stops when this value is dropped.
#[derive(Debug)]
pub struct Members {
    address: SocketAddr,
    service: Arc<Service>,
    tasks: Tasks,
}

/// Binds the listening socket and starts a membership stand-in.
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
    /// Returns the address on which the stand-in listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets faults, as `POST /admin/faults` does.
    pub fn set_faults(&self, faults: Faults) {
        self.service.set_faults(faults);
    }

    /// Adds or replaces instances, as `POST /admin/instances` does.
    pub fn upsert(&self, instances: Vec<Instance>) {
        self.service
            .with_list(|list| list.upsert(instances, Instant::now()));
    }

    /// Removes an instance, as `POST /admin/remove` does; returns whether it was in the list.
    pub fn remove(&self, name: &str) -> bool {
        self.service
            .with_list(|list| list.remove(name, Instant::now()))
    }

    /// Stops the stand-in and waits until every connection is closed.
    pub async fn close(self) {
        self.tasks.close().await;
    }
}

impl Service {
    fn with_list<T>(&self, operation: impl FnOnce(&mut list::List) -> T) -> T {
        operation(&mut self.list.lock().expect("no holder of this lock panics"))
    }

    fn set_faults(&self, faults: Faults) {
        if let Some(lag) = faults.lag_ms {
            self.with_list(|list| list.set_lag(Duration::from_millis(lag)));
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
        let response = match (request.method(), path.as_str()) {
            (&Method::GET, "/instances") => match parse_since(request.uri().query()) {
                Ok(since) => {
                    let listing = self.with_list(|list| list.listing(since, Instant::now()));
                    http::json_response(StatusCode::OK, &listing)
                }
                Err(error) => http::error_response(StatusCode::BAD_REQUEST, &error),
            },
            (&Method::POST, "/admin/instances") => {
                match http::read_json::<Vec<Instance>>(request.into_body()).await {
                    Ok(instances) => {
                        self.with_list(|list| list.upsert(instances, Instant::now()));
                        ok()
                    }
                    Err(response) => response,
                }
            }
            (&Method::POST, "/admin/remove") => {
                match http::read_json::<Removal>(request.into_body()).await {
                    Ok(Removal { name }) => {
                        if self.with_list(|list| list.remove(&name, Instant::now())) {
                            ok()
                        } else {
                            http::error_response(StatusCode::NOT_FOUND, "no such instance")
                        }
                    }
                    Err(response) => response,
                }
            }
            (&Method::POST, "/admin/faults") => {
                match http::read_json::<Faults>(request.into_body()).await {
                    Ok(faults) => {
                        self.set_faults(faults);
                        ok()
                    }
                    Err(response) => response,
                }
            }
            _ => http::not_found(),
        };
        Ok(response)
    }
}

/// Returns the value of `since` in a query string, or 0, which requests the whole list, if it is absent.
fn parse_since(query: Option<&str>) -> Result<u64, String> {
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
