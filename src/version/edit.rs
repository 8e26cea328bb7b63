//! Edits of the settings tree, as the log entries in the store hold them.

use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

use super::draft::Draft;
use super::section::{Path, Section};
use super::tree::{Error, Fault, Tree};

/// An edit of one value or section of the settings tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Edit {
    /// Sets a value, or declares a section if the path names one.
    Set {
        /// The path of the value or section.
        path: String,
        /// The new value, which is validated when the edit is applied; null for a section.
        #[serde(default, skip_serializing_if = "Json::is_null")]
        value: Json,
    },
    /// Removes a value, or a section and the sections below it.
    Unset {
        /// The path of the value or section.
        path: String,
    },
}

impl Edit {
    /// Returns the path of the value or section that the edit changes.
    pub fn path(&self) -> &str {
        match self {
            Self::Set { path, .. } | Self::Unset { path } => path,
        }
    }

    /// Returns the edit that sets a value, or declares a section if the value is null.
    pub fn set<P: Into<String>, V: Into<Json>>(path: P, value: V) -> Self {
        Self::Set {
            path: path.into(),
            value: value.into(),
        }
    }

    /// Returns the edit that removes a value or a section.
    pub fn unset<P: Into<String>>(path: P) -> Self {
        Self::Unset { path: path.into() }
    }
}

/// Returns the edits that turn `old` into `new`.
pub fn diff(old: &Tree, new: &Tree) -> Vec<Edit> {
    let mut edits = Vec::new();
    for (path, values) in old.sections_that_may_differ_from(new) {
        match new.own_values_at(path) {
            Some(kept) => edits.extend(
                values
                    .keys()
                    .filter(|name| !kept.contains_key(*name))
                    .map(|name| Edit::unset(format!("{path}.{name}"))),
            ),
            // The edit that removes the parent section also removes this one.
            None if parent_section(path).is_some_and(|parent| !new.has_section(parent)) => {}
            None => edits.push(Edit::unset(path)),
        }
    }
    for (path, values) in new.sections_that_may_differ_from(old) {
        let known = old.own_values_at(path);
        if known.is_none() {
            edits.push(Edit::set(path, Json::Null));
        }
        for (name, value) in values {
            if known.and_then(|known| known.get(name)) != Some(value) {
                edits.push(Edit::set(format!("{path}.{name}"), value.to_json()));
            }
        }
    }
    edits
}

/// Returns the tree after all edits, or the faults of the first invalid one; `tree` stays unchanged.
pub fn apply(tree: &Tree, edits: &[Edit]) -> Result<Tree, Error> {
    let mut draft = tree.to_draft();
    let refuse = |faults: Vec<Fault>| Error { file: None, faults };
    for edit in edits {
        apply_edit(&mut draft, edit)
            .map_err(|reason| refuse(vec![Fault::new(edit.path(), reason)]))?;
    }
    Tree::build(draft).map_err(refuse)
}

fn apply_edit(draft: &mut Draft, edit: &Edit) -> Result<(), String> {
    let path = Path::parse(edit.path())?;
    match (edit, path.key) {
        (Edit::Set { value, .. }, Some(key)) => {
            let value = key.parse(value)?;
            draft.declare(path.section).insert(key.name, value);
        }
        (Edit::Set { value, .. }, None) if value.is_null() => {
            draft.declare(path.section);
        }
        (Edit::Set { .. }, None) => return Err("expects null for a section".to_owned()),
        (Edit::Unset { .. }, Some(key)) => draft.unset_value(path.section, key.name),
        (Edit::Unset { .. }, None) => draft.remove(path.section),
    }
    Ok(())
}

fn parent_section(path: &str) -> Option<Section<'_>> {
    Path::parse(path).ok()?.section.parent()
}
