//! Registration of the targets at the membership list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::Endpoint;
use crate::http;
use crate::members::{Instance, Role, State};

/// Delay before a failed registration is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Changes that the membership list does not have yet; of each target only the latest.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    pending: Arc<Mutex<Vec<Instance>>>,
    changed: Arc<Notify>,
}

impl Queue {
    pub(super) fn push(&self, instance: Instance) {
        let mut pending = self.pending.lock().expect("no holder of this lock panics");
        pending.retain(|other| other.name != instance.name);
        pending.push(instance);
        self.changed.notify_one();
    }

    /// Sends changes to the membership list until `stop` is cancelled.
    pub(super) async fn send_changes(self, members: SocketAddr, stop: CancellationToken) {
        let send = async {
            loop {
                self.changed.notified().await;
                let batch = {
                    let mut pending = self.pending.lock().expect("no holder of this lock panics");
                    std::mem::take(&mut *pending)
                };
                if let Err(error) = register_instances(members, batch.clone()).await {
                    eprintln!("registration at {members} failed: {error:#}; trying again");
                    tokio::time::sleep(RETRY_DELAY).await;
                    let mut pending = self.pending.lock().expect("no holder of this lock panics");
                    let newer = std::mem::replace(&mut *pending, batch);
                    drop(pending);
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

/// Adds or replaces instances in the membership list.
pub(super) async fn register_instances(
    members: SocketAddr,
    instances: Vec<Instance>,
) -> anyhow::Result<()> {
    http::call_json(members, "POST", "/admin/instances", &json!(instances)).await?;
    Ok(())
}

impl Endpoint {
    /// Returns the entry of the target for the membership list.
    pub(super) fn listed_instance(&self) -> Instance {
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
