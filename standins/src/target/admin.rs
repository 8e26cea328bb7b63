//! Admin interface of the targets of a process: commands, journal and verdict.

use std::sync::Arc;

use anyhow::{Context, bail, ensure};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;

use super::journal::JournalEntry;
use super::spec::{Holding, check_holdings};
use super::state::Faults;
use super::verdict::{Verdict, judge};
use super::{AdminState, Endpoint, Summary};
use crate::http::{self, Reply};

/// Limit for the number of journal entries in one response.
const MAX_PAGE_ENTRIES: usize = 100_000;

/// Command that changes one target or all targets of a data centre. Absent fields change nothing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// Name of the target; exactly one of `name` and `data_centre` must be given.
    pub name: Option<String>,
    /// Data centre, all targets of which get the command.
    pub data_centre: Option<String>,
    /// Ends all faults before the other fields take effect; versions and generation stay.
    pub restore: bool,
    /// Starts a new generation, which is cold; connections are closed and running work is lost.
    pub restart: bool,
    /// Makes the target cold without a new generation.
    pub cold: bool,
    /// Replaces the index versions and shards that the target holds.
    pub versions: Option<Vec<Holding>>,
    /// Whether new requests are answered with 503 and the target is listed as leaving; accepted requests
    /// run on.
    pub drain: Option<bool>,
    /// Whether the target is listed as leaving, but serves on.
    pub leave: Option<bool>,
    /// Whether requests are accepted and never answered; when this ends, the waiting connections are
    /// closed.
    pub hang: Option<bool>,
    /// Whether connections are refused and the open ones closed; running work goes on.
    pub down: Option<bool>,
    /// Whether `GET /status` shows `warm` and no load whatever the target's state is.
    pub misleading_status: Option<bool>,
    /// Factor by which requests that start from now on take longer.
    pub slow_factor: Option<f64>,
    /// Number of further answers that are lost: the work runs, then the connection is closed.
    pub lose_answers: Option<u64>,
    /// Number of pairs of concurrent requests that get each other's answers.
    pub cross_answers: Option<u64>,
}

impl Command {
    /// Returns a command for one target that changes nothing.
    pub fn target(name: &str) -> Self {
        Self {
            name: Some(name.to_owned()),
            ..Self::default()
        }
    }
}

/// Response to `GET /admin/journal?from=N`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalPage {
    /// Wall-clock time at which the process started, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Number of entries in the journal.
    pub total: usize,
    /// Value of `from` for the next page, if there is one.
    pub next: Option<usize>,
    /// Entries from `from` on, in the order of arrival.
    pub entries: Vec<JournalEntry>,
}

impl AdminState {
    /// Applies a command and queues the changes for the membership list; an invalid one changes nothing.
    pub(super) async fn command(&self, command: Command) -> anyhow::Result<()> {
        if let Some(factor) = command.slow_factor {
            ensure!(
                factor.is_finite() && factor > 0.0,
                "slow_factor must be positive"
            );
        }
        if let Some(versions) = &command.versions {
            check_holdings("versions", versions)?;
        }
        for endpoint in self.select(&command)? {
            endpoint.apply(&command).await;
            if let Some(queue) = &self.registration {
                queue.push(endpoint.listed_instance());
            }
        }
        Ok(())
    }

    /// Returns the targets that a command names.
    fn select(&self, command: &Command) -> anyhow::Result<Vec<&Endpoint>> {
        match (&command.name, &command.data_centre) {
            (Some(name), None) => {
                let position = self.positions.get(name);
                let position = position.with_context(|| format!("no target is called {name}"))?;
                Ok(vec![&self.endpoints[*position]])
            }
            (None, Some(data_centre)) => {
                let endpoints = self.endpoints.iter();
                let selected: Vec<_> = endpoints
                    .filter(|endpoint| endpoint.instance.spec.data_centre == *data_centre)
                    .collect();
                ensure!(!selected.is_empty(), "no target is in {data_centre}");
                Ok(selected)
            }
            _ => bail!("give either a name or a data_centre"),
        }
    }

    pub(super) fn summaries(&self) -> Vec<Summary> {
        self.endpoints.iter().map(Endpoint::summary).collect()
    }

    /// Returns the journal entries from a position on, up to [`MAX_PAGE_ENTRIES`].
    pub(super) fn page(&self, from: usize) -> JournalPage {
        let entries = self.journal.entries();
        let from = from.min(entries.len());
        let end = entries.len().min(from + MAX_PAGE_ENTRIES);
        JournalPage {
            started_unix_ms: self.journal.started_unix_ms,
            total: entries.len(),
            next: (end < entries.len()).then_some(end),
            entries: entries[from..end].to_vec(),
        }
    }

    /// Returns the verdict; fails if the journal is full.
    pub(super) fn verdict(&self) -> anyhow::Result<Verdict> {
        ensure!(
            !self.journal.is_full(),
            "the journal is full, so no verdict is possible"
        );
        let mut verdict = {
            let entries = self.journal.entries();
            let specs = self
                .endpoints
                .iter()
                .map(|endpoint| &endpoint.instance.spec);
            judge(&entries, specs)
        };
        verdict.started_unix_ms = self.journal.started_unix_ms;
        for endpoint in &self.endpoints {
            let state = endpoint.instance.state();
            verdict.connection_overruns += state.connection_overruns;
            verdict.malformed += state.malformed;
        }
        Ok(verdict)
    }
}

impl Endpoint {
    fn summary(&self) -> Summary {
        let spec = &self.instance.spec;
        let state = self.instance.state();
        Summary {
            name: spec.name.clone(),
            address: self.address,
            data_centre: spec.data_centre.clone(),
            index: spec.index.clone(),
            service: spec.service.clone(),
            replica: spec.replica,
            generation: state.run.generation,
            cold: state.is_cold(spec),
            versions: state.versions.clone(),
        }
    }

    /// Applies a command to this target.
    async fn apply(&self, command: &Command) {
        let instance = &self.instance;
        if command.restart {
            instance.restart();
        }
        let accepting = {
            let mut state = instance.state();
            let before = state.faults;
            if command.restore {
                state.faults = Faults::default();
            }
            if command.cold {
                state.make_cold();
            }
            if let Some(versions) = &command.versions {
                state.versions.clone_from(versions);
            }
            let faults = &mut state.faults;
            set_if_given(&mut faults.drain, command.drain);
            set_if_given(&mut faults.leave, command.leave);
            set_if_given(&mut faults.hang, command.hang);
            set_if_given(&mut faults.down, command.down);
            set_if_given(&mut faults.misleading_status, command.misleading_status);
            set_if_given(&mut faults.slow_factor, command.slow_factor);
            set_if_given(&mut faults.lose_answers, command.lose_answers);
            set_if_given(&mut faults.cross_answers, command.cross_answers);
            let faults = *faults;
            if !(faults.drain || faults.leave) {
                state.leaving_ms = None;
            } else if state.leaving_ms.is_none() {
                state.leaving_ms = Some(instance.journal.elapsed_ms(Instant::now()));
            }
            if (faults.down && !before.down) || (before.hang && !faults.hang) {
                instance.close_connections(&mut state);
            }
            !faults.down
        };
        instance.accepting.send_replace(accepting);
        // The command is complete once the port is open or closed. An error means that the process is
        // stopping.
        let mut listening = self.listening.clone();
        let _ = listening
            .wait_for(|listening| *listening == accepting)
            .await;
    }
}

/// Sets a field if there is a value for it.
fn set_if_given<T: Copy>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

impl http::Handle for AdminState {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let response = match (request.method(), path.as_str()) {
            (&Method::POST, "/admin/target") => {
                match http::read_json::<Command>(request.into_body()).await {
                    Ok(command) => match self.command(command).await {
                        Ok(()) => http::json_response(StatusCode::OK, &json!({})),
                        Err(error) => http::error_response(
                            StatusCode::UNPROCESSABLE_ENTITY,
                            &format!("{error:#}"),
                        ),
                    },
                    Err(response) => response,
                }
            }
            (&Method::GET, "/admin/targets") => {
                http::json_response(StatusCode::OK, &self.summaries())
            }
            (&Method::GET, "/admin/journal") => {
                let query = request.uri().query().unwrap_or("from=0");
                match query.strip_prefix("from=").map(str::parse) {
                    Some(Ok(from)) => http::json_response(StatusCode::OK, &self.page(from)),
                    _ => http::error_response(StatusCode::BAD_REQUEST, "the query is from=NUMBER"),
                }
            }
            (&Method::GET, "/admin/verdict") => match self.verdict() {
                Ok(verdict) => http::json_response(StatusCode::OK, &verdict),
                Err(error) => {
                    http::error_response(StatusCode::INSUFFICIENT_STORAGE, &format!("{error:#}"))
                }
            },
            _ => http::not_found(),
        };
        Ok(response)
    }
}
