//! The view: an immutable snapshot of the targets and nodes that a node knows.
//!
//! It is built from the settings, the membership list, the cell records and the target summaries of gateways.
//! The control actor replaces the whole view after a change, and a request uses one view from start to end.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::gateway::OwnedTarget;
use super::{address, owner};
use crate::connection::members::{Instance, List, Role, State};
use crate::process::cell::{HANDOVER_GRACE, Ownership};
use crate::time::Moment;
use crate::version::directory::{Directory, Target};
use crate::version::tree::{self, Tree};
use crate::wire::exchange::{Record, Summary};
use crate::wire::{Incarnation, Load, Member};

/// A target summary and the node that reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedSummary {
    /// The node whose gateway reported the summary.
    pub reporter: Member,
    /// The state of the target, as the reporter knew it.
    pub summary: Summary,
}

/// The data that a view is built from.
#[derive(Debug)]
pub struct Sources<'a> {
    /// The version of the settings in force.
    pub settings_version: u64,
    /// The settings in force.
    pub tree: &'a Arc<Tree>,
    /// The platform's list of targets and nodes.
    pub membership: &'a List,
    /// The records of all cells, by the name of the cell.
    pub cell_records: &'a BTreeMap<String, Record>,
    /// The newest summary of each target, by the name of the target.
    pub summaries: &'a HashMap<String, ReportedSummary>,
    /// The names of nodes that have not answered exchanges lately.
    pub unresponsive: &'a HashSet<&'a str>,
    /// The names of nodes that have announced a planned stop.
    pub stopping: &'a HashSet<&'a str>,
    /// When this node first saw each incarnation, given with its node's name, as a member of a cell.
    pub first_seen: &'a HashMap<(String, Incarnation), Moment>,
}

/// An immutable snapshot of the settings, targets and nodes that a node knows.
#[derive(Debug, Default)]
pub struct View {
    /// The version of the settings in force when the view was built.
    pub settings_version: u64,
    /// The settings of that version.
    pub tree: Arc<Tree>,
    /// The targets of the membership list, with their gateways and holdings.
    pub directory: Directory,
    /// The members of all cells by name, including those that are out of service.
    pub nodes: BTreeMap<String, Node>,
}

/// A member of a cell, which may be this node itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// The identity and the addresses of the node.
    pub member: Member,
    /// The data centre of the node's cell.
    pub data_centre: String,
    /// Whether address lists may send callers to the node.
    pub state: address::State,
    /// When the node that built the view first saw this one as a member.
    pub first_seen: Moment,
}

impl View {
    /// Builds a view from the present state of its sources.
    pub fn build(sources: &Sources<'_>) -> Self {
        let targets = sources
            .membership
            .instances
            .values()
            .filter(|instance| instance.role == Role::Target)
            .map(|instance| build_target(instance, sources))
            .collect();
        Self {
            settings_version: sources.settings_version,
            tree: Arc::clone(sources.tree),
            directory: Directory::build(targets),
            nodes: build_nodes(sources),
        }
    }
}

fn build_nodes(sources: &Sources<'_>) -> BTreeMap<String, Node> {
    let mut nodes = BTreeMap::new();
    for name in sources.tree.data_centres() {
        let in_service = sources.tree.data_centre_state(name) == Some(tree::State::In);
        for cell in sources.tree.cells(name) {
            let Some(record) = sources.cell_records.get(cell) else {
                continue;
            };
            for member in &record.members {
                let key = (member.name.clone(), member.incarnation);
                let node = Node {
                    member: member.clone(),
                    data_centre: name.to_owned(),
                    state: node_state(&member.name, in_service, sources),
                    first_seen: sources.first_seen.get(&key).copied().unwrap_or_default(),
                };
                nodes.insert(member.name.clone(), node);
            }
        }
    }
    nodes
}

fn node_state(name: &str, in_service: bool, sources: &Sources<'_>) -> address::State {
    if !in_service || sources.tree.instance_state(name) == tree::State::Out {
        return address::State::OutOfService;
    }
    if sources.stopping.contains(name) || is_leaving(name, sources.membership) {
        return address::State::Stopping;
    }
    if sources.unresponsive.contains(name) {
        return address::State::Unresponsive;
    }
    address::State::Serving
}

fn is_leaving(name: &str, membership: &List) -> bool {
    membership
        .instances
        .get(name)
        .is_some_and(|instance| instance.state == State::Leaving)
}

fn cell_of<'t>(instance: &Instance, tree: &'t Tree) -> Option<&'t str> {
    let key = owner::Target {
        index: &instance.index,
        service: &instance.service,
        replica: instance.replica,
    };
    let cells = tree.cells(&instance.data_centre);
    owner::cell_of(key, cells.iter().map(String::as_str))
}

fn is_in_service(instance: &Instance, tree: &Tree) -> bool {
    instance.state == State::Live
        && tree.data_centre_state(&instance.data_centre) == Some(tree::State::In)
        && tree.instance_state(&instance.name) == tree::State::In
}

fn build_target(instance: &Instance, sources: &Sources<'_>) -> Target {
    let members = cell_of(instance, sources.tree)
        .and_then(|cell| sources.cell_records.get(cell))
        .map_or(&[][..], |record| &record.members);
    let gateway = owner::owner_of(
        &instance.index,
        &instance.service,
        instance.replica,
        members,
    );
    let reported = sources.summaries.get(&instance.name);
    // The summary of a former gateway still shows what the target holds, but only the present gateway can
    // tell whether the target takes work.
    let usable = is_in_service(instance, sources.tree)
        && gateway.is_some_and(|gateway| {
            reported
                .is_some_and(|reported| reported.reporter == *gateway && reported.summary.usable)
                && !sources.unresponsive.contains(gateway.name.as_str())
        });
    Target {
        name: instance.name.as_str().into(),
        address: instance.address,
        data_centre: instance.data_centre.as_str().into(),
        index: instance.index.as_str().into(),
        // Latencies and budgets are kept for each service, and services of two indexes may share a name.
        service: format!("{}/{}", instance.index, instance.service).into(),
        replica: instance.replica,
        gateway: gateway.cloned(),
        usable,
        holdings: reported.map_or_else(Vec::new, |it| it.summary.holdings.clone()),
        load: reported.map_or_else(Load::default, |it| it.summary.load),
    }
}

/// The targets of the node's cell, each with the moment since which the settings assign it to that cell.
///
/// A node of another cell that does not have the newest settings may use a target until its permit ends, so a
/// target that moves to this cell is used only after [`HANDOVER_GRACE`].
#[derive(Debug, Default)]
pub struct Assignment {
    assigned_since: HashMap<String, Moment>,
}

impl Assignment {
    /// Returns the targets that the node owns, each with the moment from which it may be used.
    ///
    /// `location` is the name of the node's data centre and that of its cell.
    pub fn owned(
        &mut self,
        membership: &List,
        tree: &Tree,
        location: (&str, &str),
        basis: &Ownership,
        now: Moment,
    ) -> Vec<OwnedTarget> {
        let (data_centre, cell) = location;
        let cell_targets: Vec<&Instance> = membership
            .instances
            .values()
            .filter(|it| it.role == Role::Target && it.data_centre == data_centre)
            .filter(|it| cell_of(it, tree) == Some(cell))
            .collect();
        let previous = std::mem::take(&mut self.assigned_since);
        self.assigned_since = cell_targets
            .iter()
            .map(|it| {
                (
                    it.name.clone(),
                    previous.get(&it.name).copied().unwrap_or(now),
                )
            })
            .collect();
        cell_targets
            .into_iter()
            .filter_map(|instance| self.owned_target(instance, tree, basis))
            .collect()
    }

    fn owned_target(
        &self,
        instance: &Instance,
        tree: &Tree,
        basis: &Ownership,
    ) -> Option<OwnedTarget> {
        let policy =
            tree.target_policy(&instance.index, &instance.service, &instance.data_centre)?;
        let usable_from = basis.usable_from(|members| {
            owner::owner_of(
                &instance.index,
                &instance.service,
                instance.replica,
                members,
            )
        })?;
        let assigned_since = self.assigned_since.get(&instance.name)?;
        Some(OwnedTarget {
            name: instance.name.clone(),
            address: instance.address,
            policy,
            valid_from: usable_from.max(*assigned_since + HANDOVER_GRACE),
            in_service: is_in_service(instance, tree),
        })
    }
}
