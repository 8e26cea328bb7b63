//! When a change of the settings counts as accepted.
//!
//! A cell has confirmed a version when every member is at it or later, or when a majority is and
//! `GRACE` has passed since the client first saw that majority: every other member is then current
//! or without a permit. The same holds for a node that was removed from the cell: it may use a
//! permit at the older version for `GRACE` after its removal, so that a member list counts only once
//! it is that old. See `docs/design.md`, section 5.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Moment;
use crate::wire::exchange::Record;

/// How long a permit for the older version may outlive a majority at the newer one.
///
/// `docs/design.md`, section 5, derives it from the life of a permit and the rate error of clocks.
pub const GRACE: Duration = Duration::from_millis(1_700);

/// What a node answers to `GET /admin/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node's name.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its cell.
    pub cell: String,
    /// The run of its process.
    pub incarnation: u64,
    /// The version of the settings that it has in force.
    pub settings_version: u64,
    /// Whether it may dispatch new work.
    pub permit: bool,
    /// The record of its cell, as it knows it.
    #[serde(default)]
    pub record: Option<MemberList>,
    /// What the members of its cell last reported.
    #[serde(default)]
    pub seen: Vec<SeenMember>,
}

/// The members of a cell, as a status shows them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// The revision of the cell's record.
    pub revision: u64,
    /// The members.
    pub members: Vec<MemberName>,
    /// How long the node has known this member list, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// A member's name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberName {
    /// The name.
    pub name: String,
}

/// What a member last reported to the node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenMember {
    /// The member's name.
    pub name: String,
    /// The version of its settings.
    pub settings: u64,
    /// The revision of its cell record.
    pub cell: u64,
    /// How long ago it reported, in milliseconds.
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

/// Collects what nodes report until every cell has confirmed a version.
#[derive(Debug)]
pub struct Acceptance {
    version: u64,
    cells: BTreeMap<String, Cell>,
    /// The cell records were read after the write; without them a cell may be overlooked.
    records_read: bool,
}

#[derive(Debug, Default)]
struct Cell {
    member_list: Option<MemberList>,
    /// When the member list will have been known for [`GRACE`].
    list_valid_at: Moment,
    /// The store was read after the write and holds no record of the cell.
    has_no_record: bool,
    /// Members that were seen at the version or later; versions never go back.
    confirmed: BTreeSet<String>,
    /// Since when a majority of the list is known to be at the version.
    majority_since: Option<Moment>,
}

/// A cell that has not confirmed, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Unconfirmed {
    /// The cell.
    pub cell: String,
    /// Its members that are not known to be at the version.
    pub members: Vec<String>,
    /// What is missing.
    pub reason: &'static str,
}

impl Acceptance {
    /// Starts to watch the version in the cells that the settings name before or after the change.
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

    /// Takes the cell records of a store read that started after the write.
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

    /// Takes the answer of a node.
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

    /// Returns the cells that have not confirmed; the change is accepted if there are none.
    pub fn unconfirmed_cells(&mut self, now: Moment) -> Vec<Unconfirmed> {
        let mut waiting = Vec::new();
        if !self.records_read {
            waiting.push(Unconfirmed {
                cell: "*".to_owned(),
                members: Vec::new(),
                reason: "the cell records could not be read since the write",
            });
        }
        for (name, cell) in &mut self.cells {
            if let Some((members, reason)) = cell.missing_confirmation(now) {
                waiting.push(Unconfirmed {
                    cell: name.clone(),
                    members,
                    reason,
                });
            }
        }
        waiting
    }
}

impl Cell {
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
                // A majority of another member list proves nothing about this one.
                self.majority_since = None;
                self.list_valid_at = list_valid_at;
                self.member_list = Some(member_list.clone());
            }
        }
    }

    fn missing_confirmation(&mut self, now: Moment) -> Option<(Vec<String>, &'static str)> {
        if self.has_no_record && self.member_list.is_none() && self.confirmed.is_empty() {
            return None;
        }
        let Some(member_list) = &self.member_list else {
            return Some((Vec::new(), "its record is not known"));
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
                "a node that was removed a moment ago may still use its permit",
            ));
        }
        let present = member_list.members.len() - missing.len();
        if present * 2 <= member_list.members.len() {
            self.majority_since = None;
            return Some((missing, "no majority of its members is at the version"));
        }
        let since = *self.majority_since.get_or_insert(now);
        (now.since(since) < GRACE)
            .then_some((missing, "permits for the older version may still be valid"))
    }
}
