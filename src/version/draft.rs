//! A settings tree while it is being changed, before its references are checked.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::index::{Index, Inherited};
use super::key::Value;
use super::section::Section;
use super::tree::{Fault, section_of};

/// The values that one section sets itself, by the name of the key.
pub(crate) type Values = BTreeMap<&'static str, Value>;
/// Sections by their path; every named section has an entry, even if it sets nothing.
pub(crate) type Sections = BTreeMap<String, Values>;

/// A tree that edits change; indexes that no edit touches stay shared with the tree before.
#[derive(Debug, Default)]
pub(crate) struct Draft {
    pub(crate) root: Sections,
    pub(crate) indexes: BTreeMap<String, DraftIndex>,
}

/// An index of a draft.
#[derive(Debug)]
pub(crate) enum DraftIndex {
    /// The index of the tree before, which was resolved from this inherited.
    Unchanged(Arc<Index>, Arc<Inherited>),
    /// Sections that differ, or may differ, from those of the tree before.
    Changed(Sections),
}

impl DraftIndex {
    pub(crate) fn resolve(self, name: &str, inherited: &Inherited) -> Arc<Index> {
        match self {
            Self::Unchanged(index, before) if *before == *inherited => index,
            Self::Unchanged(index, _) => {
                Arc::new(Index::resolve(name, index.sections().clone(), inherited))
            }
            Self::Changed(sections) => Arc::new(Index::resolve(name, sections, inherited)),
        }
    }

    fn sections(&self) -> &Sections {
        match self {
            Self::Unchanged(index, _) => index.sections(),
            Self::Changed(sections) => sections,
        }
    }

    fn sections_mut(&mut self) -> &mut Sections {
        if let Self::Unchanged(index, _) = self {
            *self = Self::Changed(index.sections().clone());
        }
        match self {
            Self::Changed(sections) => sections,
            Self::Unchanged(..) => unreachable!("a kept index was replaced by its sections"),
        }
    }
}

impl Draft {
    pub(crate) fn from_tree(
        root: Sections,
        indexes: &BTreeMap<String, Arc<Index>>,
        inherited: &Arc<Inherited>,
    ) -> Self {
        let unchanged =
            |index: &Arc<Index>| DraftIndex::Unchanged(Arc::clone(index), Arc::clone(inherited));
        Self {
            root,
            indexes: indexes
                .iter()
                .map(|(name, index)| (name.clone(), unchanged(index)))
                .collect(),
        }
    }

    /// Inserts a section and the sections that it is part of, unless they exist.
    pub(crate) fn declare(&mut self, section: Section<'_>) -> &mut Values {
        if let Some(parent) = section.parent() {
            self.declare(parent);
        }
        let sections = match section.index_name() {
            Some(name) => self
                .indexes
                .entry(name.to_owned())
                .or_insert_with(|| DraftIndex::Changed(Sections::new()))
                .sections_mut(),
            None => &mut self.root,
        };
        sections.entry(section.to_string()).or_default()
    }

    /// Removes a value of a section.
    pub(crate) fn unset_value(&mut self, section: Section<'_>, key: &str) {
        if let Some(values) = self
            .sections_containing(section)
            .and_then(|sections| sections.get_mut(&section.to_string()))
        {
            values.remove(key);
        }
    }

    /// Removes a section and everything in it.
    pub(crate) fn remove(&mut self, section: Section<'_>) {
        if let Section::Index(name) = section {
            self.indexes.remove(name);
        }
        let path = section.to_string();
        let Some(sections) = self.sections_containing(section) else {
            return;
        };
        sections.remove(&path);
        let prefix = format!("{path}.");
        let inner: Vec<String> = sections
            .range(prefix.clone()..)
            .map(|(inner, _)| inner)
            .take_while(|inner| inner.starts_with(&prefix))
            .cloned()
            .collect();
        for path in inner {
            sections.remove(&path);
        }
    }

    fn sections_containing(&mut self, section: Section<'_>) -> Option<&mut Sections> {
        match section.index_name() {
            Some(name) => self.indexes.get_mut(name).map(DraftIndex::sections_mut),
            None => Some(&mut self.root),
        }
    }

    /// Finds references to data centres that do not exist.
    pub(crate) fn check_references(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for index in self.indexes.values() {
            // A kept index refers only to data centres that its inherited has.
            if let DraftIndex::Unchanged(_, inherited) = index
                && self.has_data_centres_of(inherited)
            {
                continue;
            }
            for path in index.sections().keys() {
                if let Some(name) = section_of(path).referenced_data_centre()
                    && !self.has_data_centre(name)
                {
                    faults.push(Fault::new(path, format!("no data centre is named {name}")));
                }
            }
        }
        faults
    }

    fn has_data_centres_of(&self, inherited: &Inherited) -> bool {
        inherited
            .data_centre_names()
            .all(|name| self.has_data_centre(name))
    }

    fn has_data_centre(&self, name: &str) -> bool {
        self.root
            .contains_key(&Section::DataCentre(name).to_string())
    }
}
