//! What a node knows at one moment, built from the settings, the membership list, the cell records
//! and the summaries of gateways.
//!
//! A view is never changed; the control actor replaces it. A request works on one view.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::gateway::Owned;
use super::{address, owner};
use crate::connection::members::{Instance, List, Role, State};
use crate::process::cell::{HANDOVER_GRACE, Ownership};
use crate::time::Moment;
use crate::version::directory::{Directory, Target};
use crate::version::tree::{self, Tree};
use crate::wire::exchange::{Record, Summary};
use crate::wire::{Incarnation, Load, Member};

/// A summary and the node that gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reported {
    /// The gateway that reported.
    pub by: Member,
    /// What it reported.
    pub summary: Summary,
}

/// Everything that a view is built from.
#[derive(Debug)]
pub struct Sources<'a> {
    /// The version of the settings.
    pub settings: u64,
    /// The settings.
    pub tree: &'a Arc<Tree>,
    /// The membership list.
    pub list: &'a List,
    /// The records of all cells.
    pub records: &'a BTreeMap<String, Record>,
    /// The newest summary of each target.
    pub summaries: &'a HashMap<String, Reported>,
    /// Nodes that do not answer.
    pub unseen: &'a HashSet<&'a str>,
    /// Nodes that have announced their stop.
    pub stopping: &'a HashSet<&'a str>,
    /// Since when each incarnation is known as a member.
    pub joined: &'a HashMap<(String, Incarnation), Moment>,
}

/// What a node knows at one moment.
#[derive(Debug, Default)]
pub struct View {
    /// The version of the settings.
    pub settings: u64,
    /// The settings.
    pub tree: Arc<Tree>,
    /// The targets.
    pub directory: Directory,
    /// All members of all cells by name, each with its cell's data centre, in service or not.
    pub nodes: BTreeMap<String, Node>,
}

/// Another node, or this one, as a view shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// The node.
    pub member: Member,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it takes callers.
    pub state: address::State,
    /// When this node first saw it as a member.
    pub joined: Moment,
}

impl View {
    /// Builds a view.
    pub fn build(sources: &Sources<'_>) -> Self {
        let targets = sources
            .list
            .instances
            .values()
            .filter(|instance| instance.role == Role::Target)
            .map(|instance| target(instance, sources))
            .collect();
        Self {
            settings: sources.settings,
            tree: Arc::clone(sources.tree),
            directory: Directory::build(targets),
            nodes: nodes(sources),
        }
    }
}

fn nodes(sources: &Sources<'_>) -> BTreeMap<String, Node> {
    let mut nodes = BTreeMap::new();
    for name in sources.tree.data_centres() {
        let in_service = sources.tree.data_centre_state(name) == Some(tree::State::In);
        for cell in sources.tree.cells(name) {
            let Some(record) = sources.records.get(cell) else {
                continue;
            };
            for member in &record.members {
                let key = (member.name.clone(), member.incarnation);
                let node = Node {
                    member: member.clone(),
                    data_centre: name.to_owned(),
                    state: state(&member.name, in_service, sources),
                    joined: sources.joined.get(&key).copied().unwrap_or_default(),
                };
                nodes.insert(member.name.clone(), node);
            }
        }
    }
    nodes
}

fn state(name: &str, in_service: bool, sources: &Sources<'_>) -> address::State {
    if !in_service || sources.tree.instance_state(name) == tree::State::Out {
        return address::State::Out;
    }
    if sources.stopping.contains(name) || leaving(name, sources.list) {
        return address::State::Stopping;
    }
    if sources.unseen.contains(name) {
        return address::State::Unseen;
    }
    address::State::Serving
}

fn leaving(name: &str, list: &List) -> bool {
    list.instances
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

fn in_service(instance: &Instance, tree: &Tree) -> bool {
    instance.state == State::Live
        && tree.data_centre_state(&instance.data_centre) == Some(tree::State::In)
        && tree.instance_state(&instance.name) == tree::State::In
}

fn target(instance: &Instance, sources: &Sources<'_>) -> Target {
    let members = cell_of(instance, sources.tree)
        .and_then(|cell| sources.records.get(cell))
        .map_or(&[][..], |record| &record.members);
    let gateway = owner::owner_of(
        &instance.index,
        &instance.service,
        instance.replica,
        members,
    );
    let reported = sources.summaries.get(&instance.name);
    // What another node reported before it lost the target tells what the target holds, but only its
    // present gateway can tell that it takes work.
    let usable = in_service(instance, sources.tree)
        && gateway.is_some_and(|gateway| {
            reported.is_some_and(|reported| reported.by == *gateway && reported.summary.usable)
                && !sources.unseen.contains(gateway.name.as_str())
        });
    Target {
        name: instance.name.as_str().into(),
        address: instance.address,
        data_centre: instance.data_centre.as_str().into(),
        index: instance.index.as_str().into(),
        // Latencies and budgets are kept by service, and services of two indexes may share a name.
        service: format!("{}/{}", instance.index, instance.service).into(),
        replica: instance.replica,
        gateway: gateway.cloned(),
        usable,
        holdings: reported.map_or_else(Vec::new, |it| it.summary.holdings.clone()),
        load: reported.map_or_else(Load::default, |it| it.summary.load),
    }
}

/// Remembers since when the settings assign each target to the node's cell.
///
/// A node of another cell that has not seen the newest settings may use a target until its permit
/// ends, so a target that changes its cell is used only after `HANDOVER_GRACE`.
#[derive(Debug, Default)]
pub struct Assignment {
    since: HashMap<String, Moment>,
}

impl Assignment {
    /// Returns the targets that the node owns, with the moment from which each may be used.
    pub fn owned(
        &mut self,
        list: &List,
        tree: &Tree,
        place: (&str, &str),
        basis: &Ownership,
        now: Moment,
    ) -> Vec<Owned> {
        let (data_centre, cell) = place;
        let mine: Vec<&Instance> = list
            .instances
            .values()
            .filter(|it| it.role == Role::Target && it.data_centre == data_centre)
            .filter(|it| cell_of(it, tree) == Some(cell))
            .collect();
        let before = std::mem::take(&mut self.since);
        self.since = mine
            .iter()
            .map(|it| {
                (
                    it.name.clone(),
                    before.get(&it.name).copied().unwrap_or(now),
                )
            })
            .collect();
        mine.into_iter()
            .filter_map(|instance| self.own(instance, tree, basis))
            .collect()
    }

    fn own(&self, instance: &Instance, tree: &Tree, basis: &Ownership) -> Option<Owned> {
        let policy = tree.target(&instance.index, &instance.service, &instance.data_centre)?;
        let from = basis.usable_from(|members| {
            owner::owner_of(
                &instance.index,
                &instance.service,
                instance.replica,
                members,
            )
        })?;
        let assigned = self.since.get(&instance.name)?;
        Some(Owned {
            name: instance.name.clone(),
            address: instance.address,
            policy,
            valid_from: from.max(*assigned + HANDOVER_GRACE),
            in_service: in_service(instance, tree),
        })
    }
}
