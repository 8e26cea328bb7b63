//! A settings tree under construction, whose references are not yet checked.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::index::{Index, Inherited};
use super::key::Value;
use super::section::Section;
use super::tree::{Fault, section_of};

/// The values that one section sets itself, by the name of the key.
pub(crate) type Values = BTreeMap<&'static str, Value>;
/// Sections by their path; every declared section has an entry, even if it sets no value.
pub(crate) type Sections = BTreeMap<String, Values>;

/// A settings tree to which edits are applied.
///
/// Indexes that no edit touches stay shared with the tree that the draft was made from.
#[derive(Debug, Default)]
pub(crate) struct Draft {
    /// The sections outside the indexes.
    pub(crate) root: Sections,
    /// The indexes by name.
    pub(crate) indexes: BTreeMap<String, DraftIndex>,
}

/// An index of a draft.
#[derive(Debug)]
pub(crate) enum DraftIndex {
    /// The index of the original tree, and the inherited values that it was resolved with.
    Unchanged(Arc<Index>, Arc<Inherited>),
    /// The sections of the index, which may differ from those of the original tree.
    Changed(Sections),
}

impl DraftIndex {
    /// Returns the resolved index, which is the original one if neither it nor its inheritance changed.
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
            Self::Unchanged(..) => {
                unreachable!("an unchanged index was replaced by its sections above")
            }
        }
    }
}

impl Draft {
    /// Returns a draft with the content of a tree; the indexes stay shared.
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

    /// Returns the values of the section, after adding it and its parents if they are not declared.
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

    /// Removes a value that the section sets itself.
    pub(crate) fn unset_value(&mut self, section: Section<'_>, key: &str) {
        if let Some(values) = self
            .sections_containing(section)
            .and_then(|sections| sections.get_mut(&section.to_string()))
        {
            values.remove(key);
        }
    }

    /// Removes a section and the sections below it.
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

    /// Returns the map that holds the section if it is declared; absent if its index is not declared.
    fn sections_containing(&mut self, section: Section<'_>) -> Option<&mut Sections> {
        match section.index_name() {
            Some(name) => self.indexes.get_mut(name).map(DraftIndex::sections_mut),
            None => Some(&mut self.root),
        }
    }

    /// Returns a fault for each section that refers to a data centre that is not declared.
    pub(crate) fn check_references(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for index in self.indexes.values() {
            // An unchanged index refers only to data centres that were declared when it was resolved.
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

    /// Returns whether all data centres that the inherited values cover are still declared.
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
