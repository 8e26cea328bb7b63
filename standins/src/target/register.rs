//! Registration of the targets at the membership list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::Place;
use crate::http;
use crate::members::{Instance, Role, State};

/// How long a failed registration waits before it is sent again.
const RETRY: Duration = Duration::from_millis(200);

/// Changes of state that the membership list does not have yet, the latest of each target only.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    waiting: Arc<Mutex<Vec<Instance>>>,
    changed: Arc<Notify>,
}

impl Queue {
    pub(super) fn push(&self, instance: Instance) {
        let mut waiting = self.waiting.lock().expect("no holder of this lock panics");
        waiting.retain(|other| other.name != instance.name);
        waiting.push(instance);
        self.changed.notify_one();
    }

    /// Sends changes until `stop`.
    pub(super) async fn run(self, members: SocketAddr, stop: CancellationToken) {
        let send = async {
            loop {
                self.changed.notified().await;
                let taken = {
                    let mut waiting = self.waiting.lock().expect("no holder of this lock panics");
                    std::mem::take(&mut *waiting)
                };
                if let Err(error) = post(members, taken.clone()).await {
                    eprintln!("registration at {members} failed: {error:#}; trying again");
                    tokio::time::sleep(RETRY).await;
                    let mut waiting = self.waiting.lock().expect("no holder of this lock panics");
                    let newer = std::mem::replace(&mut *waiting, taken);
                    drop(waiting);
                    for instance in newer {
                        self.push(instance);
                    }
                    self.changed.notify_one();
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = send => {}
        }
    }
}

/// Sends instances to the membership list.
pub(super) async fn post(members: SocketAddr, instances: Vec<Instance>) -> anyhow::Result<()> {
    http::call_json(members, "POST", "/admin/instances", &json!(instances)).await?;
    Ok(())
}

impl Place {
    /// Returns the target as the membership list shows it.
    pub(super) fn listed(&self) -> Instance {
        let spec = &self.instance.spec;
        let faults = self.instance.state().faults;
        Instance {
            name: spec.name.clone(),
            role: Role::Target,
            address: self.address,
            data_centre: spec.data_centre.clone(),
            index: spec.index.clone(),
            service: spec.service.clone(),
            replica: spec.replica,
            state: if faults.drain || faults.leave {
                State::Leaving
            } else {
                State::Live
            },
        }
    }
}
