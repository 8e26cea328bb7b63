//! Changes of the settings tree, as the log in the store holds them.

use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

use super::place::{Path, Place};
use super::tree::{self, Error, Fault, Tree};

/// One change of the tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Edit {
    /// Sets a value, or declares a section if the path names one; a declared section has no value.
    Set {
        /// The path of the value or section.
        path: String,
        /// The new value; it is checked when the edit is applied.
        #[serde(default, skip_serializing_if = "Json::is_null")]
        value: Json,
    },
    /// Removes a value, or a section with everything in it.
    Unset {
        /// The path of the value or section.
        path: String,
    },
}

impl Edit {
    /// Returns the path that the edit changes.
    pub fn path(&self) -> &str {
        match self {
            Self::Set { path, .. } | Self::Unset { path } => path,
        }
    }

    fn set<P: Into<String>>(path: P, value: Json) -> Self {
        Self::Set {
            path: path.into(),
            value,
        }
    }

    fn unset<P: Into<String>>(path: P) -> Self {
        Self::Unset { path: path.into() }
    }
}

/// Returns the edits that turn `old` into `new`.
pub fn diff(old: &Tree, new: &Tree) -> Vec<Edit> {
    let mut edits = Vec::new();
    for (path, values) in old.sections() {
        match new.sections().get(path) {
            Some(kept) => edits.extend(
                values
                    .keys()
                    .filter(|name| !kept.contains_key(*name))
                    .map(|name| Edit::unset(format!("{path}.{name}"))),
            ),
            // The removal of a section covers its parts.
            None if parent(path).is_some_and(|parent| !new.has(parent)) => {}
            None => edits.push(Edit::unset(path)),
        }
    }
    for (path, values) in new.sections() {
        let known = old.sections().get(path);
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

/// Returns the tree after the edits; a fault in any of them leaves everything as it was.
pub fn apply(tree: &Tree, edits: &[Edit]) -> Result<Tree, Error> {
    let mut sections = tree.sections().clone();
    let refuse = |faults: Vec<Fault>| Error { file: None, faults };
    for edit in edits {
        step(&mut sections, edit)
            .map_err(|reason| refuse(vec![Fault::new(edit.path(), reason)]))?;
    }
    Tree::build(sections).map_err(refuse)
}

fn step(sections: &mut tree::Sections, edit: &Edit) -> Result<(), String> {
    match edit {
        Edit::Set { path, value } => {
            let path = Path::parse(path)?;
            let checked = match path.key {
                Some(key) => Some((key.name, key.check(value)?)),
                None if value.is_null() => None,
                None => return Err("a section takes no value".to_owned()),
            };
            tree::declare(sections, path.place).extend(checked);
        }
        Edit::Unset { path: text } => {
            let path = Path::parse(text)?;
            match path.key {
                Some(key) => {
                    if let Some(values) = sections.get_mut(&path.place.to_string()) {
                        values.remove(key.name);
                    }
                }
                None => remove(sections, text),
            }
        }
    }
    Ok(())
}

fn remove(sections: &mut tree::Sections, path: &str) {
    sections.remove(path);
    let inner: Vec<String> = sections
        .range(format!("{path}.")..)
        .map(|(inner, _)| inner)
        .take_while(|inner| inner.starts_with(path) && inner[path.len()..].starts_with('.'))
        .cloned()
        .collect();
    for path in inner {
        sections.remove(&path);
    }
}

fn parent(path: &str) -> Option<Place<'_>> {
    Path::parse(path).ok()?.place.parent()
}
