//! The rule by which a change of the settings counts as accepted.
//!
//! A cell has confirmed a version when every member is at it or later, or when a majority is and [`GRACE`]
//! has passed since the client first saw that majority: every other member is then current or without a
//! permit, the short-lived authorisation of a node to dispatch. A node that was removed from the cell may use
//! a permit at the older version for [`GRACE`] after its removal, so that a member list counts only once it
//! is that old. See `docs/design.md`, section 5.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Moment;
use crate::wire::exchange::Record;

/// The time for which a permit at the older version may outlive a majority at the newer one.
///
/// `docs/design.md`, section 5, derives it from the lifetime of a permit and the rate error of clocks.
pub const GRACE: Duration = Duration::from_millis(1_700);

/// The answer of a node to `GET /admin/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the node.
    pub node: String,
    /// The data centre of the node.
    pub data_centre: String,
    /// The cell of the node.
    pub cell: String,
    /// The incarnation of the node's process.
    pub incarnation: u64,
    /// The version of the settings that the node has in force.
    pub settings_version: u64,
    /// Whether the node holds a permit to dispatch new work.
    pub permit: bool,
    /// The member list of its cell that the node knows; absent if it knows none.
    #[serde(default)]
    pub record: Option<MemberList>,
    /// The last report of each other member of its cell.
    #[serde(default)]
    pub seen: Vec<SeenMember>,
}

/// The member list of a cell, as a node shows it in its status.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// The revision of the cell's record.
    pub revision: u64,
    /// The names of the members.
    pub members: Vec<MemberName>,
    /// How long the node has known this member list, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// A member of a cell, as a status shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberName {
    /// The name of the member's node.
    pub name: String,
}

/// The last report of a member to the node that shows its status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenMember {
    /// The name of the member's node.
    pub name: String,
    /// The version of the settings that the member had in force.
    pub settings: u64,
    /// The revision of the cell record that the member knew.
    pub cell: u64,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
}

impl From<&Record> for MemberList {
    fn from(record: &Record) -> Self {
        Self {
            revision: record.revision,
            age_ms: None,
            members: record
                .members
                .iter()
                .map(|member| MemberName {
                    name: member.name.clone(),
                })
                .collect(),
        }
    }
}

/// Collects the statuses of nodes and the cell records until every cell has confirmed a version.
#[derive(Debug)]
pub struct Acceptance {
    /// The version that is to be confirmed.
    version: u64,
    cells: BTreeMap<String, Cell>,
    /// Whether the cell records were read after the write; without them a cell may be overlooked.
    records_read: bool,
}

/// What is known of one cell.
#[derive(Debug, Default)]
struct Cell {
    /// The newest known member list.
    member_list: Option<MemberList>,
    /// When the member list is old enough to count, as it has been known for [`GRACE`].
    list_valid_at: Moment,
    /// Whether the store held no record of the cell when it was read after the write.
    has_no_record: bool,
    /// The nodes that were seen at the version or later; the version of a node never goes back.
    confirmed: BTreeSet<String>,
    /// When a check first found a majority of the member list at the version; absent if the last check found
    /// none, or if the list has changed since.
    majority_since: Option<Moment>,
}

/// A cell that has not confirmed the version, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Unconfirmed {
    /// The name of the cell; `*` stands for cells that may be unknown.
    pub cell: String,
    /// The members that are not known to be at the version; empty if all are, or if no member list is known.
    pub members: Vec<String>,
    /// Why the cell has not confirmed the version.
    pub reason: &'static str,
}

impl Acceptance {
    /// Starts the acceptance of the version in the cells that the settings name before or after the change.
    pub fn new<I, S>(version: u64, cells: I) -> Self
    where
        I: IntoIterator<Item = S>,
        S: Into<String>,
    {
        Self {
            version,
            records_read: false,
            cells: cells
                .into_iter()
                .map(|cell| (cell.into(), Cell::default()))
                .collect(),
        }
    }

    /// Adds the cell records of a store read that started after the write.
    ///
    /// A cell without a record has no member that could hold a permit. A cell with a record counts
    /// even if the settings no longer name it, because its nodes may still be running.
    pub fn add_records(&mut self, records: &BTreeMap<String, Record>, now: Moment) {
        self.records_read = true;
        for (name, record) in records {
            let cell = self.cells.entry(name.clone()).or_default();
            cell.update_members(&MemberList::from(record), now);
        }
        for (name, cell) in &mut self.cells {
            cell.has_no_record = !records.contains_key(name);
        }
    }

    /// Adds the status of a node.
    pub fn add_status(&mut self, status: &Status, now: Moment) {
        let version = self.version;
        let cell = self.cells.entry(status.cell.clone()).or_default();
        if let Some(member_list) = &status.record {
            cell.update_members(member_list, now);
        }
        if status.settings_version >= version {
            cell.confirmed.insert(status.node.clone());
        }
        let seen = status.seen.iter().filter(|seen| seen.settings >= version);
        cell.confirmed.extend(seen.map(|seen| seen.name.clone()));
    }

    /// Returns the cells that have not confirmed the version; the change is accepted if there are none.
    pub fn unconfirmed_cells(&mut self, now: Moment) -> Vec<Unconfirmed> {
        let mut unconfirmed = Vec::new();
        if !self.records_read {
            unconfirmed.push(Unconfirmed {
                cell: "*".to_owned(),
                members: Vec::new(),
                reason: "the cell records could not be read since the write",
            });
        }
        for (name, cell) in &mut self.cells {
            if let Some((members, reason)) = cell.check_confirmation(now) {
                unconfirmed.push(Unconfirmed {
                    cell: name.clone(),
                    members,
                    reason,
                });
            }
        }
        unconfirmed
    }
}

impl Cell {
    /// Adopts a member list unless a newer one is known.
    fn update_members(&mut self, member_list: &MemberList, now: Moment) {
        self.has_no_record = false;
        let age = Duration::from_millis(member_list.age_ms.unwrap_or(0));
        let list_valid_at = now + GRACE.saturating_sub(age);
        match &mut self.member_list {
            Some(known) if known.revision > member_list.revision => {}
            Some(known) if known.members == member_list.members => {
                known.revision = member_list.revision;
                self.list_valid_at = self.list_valid_at.min(list_valid_at);
            }
            _ => {
                // A majority of the previous member list is no evidence for a majority of this one.
                self.majority_since = None;
                self.list_valid_at = list_valid_at;
                self.member_list = Some(member_list.clone());
            }
        }
    }

    /// Checks whether the cell has confirmed the version, and returns the unconfirmed members and the reason
    /// if not. The first check that finds a majority at the version starts the wait for [`GRACE`].
    fn check_confirmation(&mut self, now: Moment) -> Option<(Vec<String>, &'static str)> {
        // A cell in which a node was seen at the version is not empty, so its member list must become known.
        if self.has_no_record && self.member_list.is_none() && self.confirmed.is_empty() {
            return None;
        }
        let Some(member_list) = &self.member_list else {
            return Some((Vec::new(), "no record of the cell is known"));
        };
        let missing: Vec<String> = member_list
            .members
            .iter()
            .map(|member| member.name.clone())
            .filter(|name| !self.confirmed.contains(name))
            .collect();
        if missing.is_empty() {
            return (now < self.list_valid_at).then_some((
                missing,
                "a node that was just removed from the cell may still use its permit",
            ));
        }
        let confirmed_count = member_list.members.len() - missing.len();
        if confirmed_count * 2 <= member_list.members.len() {
            self.majority_since = None;
            return Some((
                missing,
                "no majority of the cell's members is known to be at the version",
            ));
        }
        // This wait also covers the age of the member list, because a new list resets `majority_since`.
        let since = *self.majority_since.get_or_insert(now);
        (now.since(since) < GRACE)
            .then_some((missing, "permits for the older version may still be valid"))
    }
}
