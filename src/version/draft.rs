//! A settings tree while it is being changed, before its references are checked.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::index::{Basis, Index};
use super::key::Value;
use super::place::Place;
use super::tree::{Fault, place_of};

/// The values that one section sets itself, by the name of the key.
pub(crate) type Values = BTreeMap<&'static str, Value>;
/// Sections by their path; every named section has an entry, even if it sets nothing.
pub(crate) type Sections = BTreeMap<String, Values>;

/// A tree that edits change; indexes that no edit touches stay shared with the tree before.
#[derive(Debug, Default)]
pub(crate) struct Draft {
    pub(crate) root: Sections,
    pub(crate) indexes: BTreeMap<String, Part>,
}

/// An index of a draft.
#[derive(Debug)]
pub(crate) enum Part {
    /// The index of the tree before, which was resolved from this basis.
    Kept(Arc<Index>, Arc<Basis>),
    /// Sections that differ, or may differ, from those of the tree before.
    Changed(Sections),
}

impl Part {
    pub(crate) fn resolve(self, name: &str, basis: &Basis) -> Arc<Index> {
        match self {
            Self::Kept(index, before) if *before == *basis => index,
            Self::Kept(index, _) => Arc::new(Index::resolve(name, index.sections().clone(), basis)),
            Self::Changed(sections) => Arc::new(Index::resolve(name, sections, basis)),
        }
    }

    fn sections(&self) -> &Sections {
        match self {
            Self::Kept(index, _) => index.sections(),
            Self::Changed(sections) => sections,
        }
    }

    fn sections_mut(&mut self) -> &mut Sections {
        if let Self::Kept(index, _) = self {
            *self = Self::Changed(index.sections().clone());
        }
        match self {
            Self::Changed(sections) => sections,
            Self::Kept(..) => unreachable!("a kept index was replaced by its sections"),
        }
    }
}

impl Draft {
    pub(crate) fn open(
        root: Sections,
        indexes: &BTreeMap<String, Arc<Index>>,
        basis: &Arc<Basis>,
    ) -> Self {
        let keep = |index: &Arc<Index>| Part::Kept(Arc::clone(index), Arc::clone(basis));
        Self {
            root,
            indexes: indexes
                .iter()
                .map(|(name, index)| (name.clone(), keep(index)))
                .collect(),
        }
    }

    /// Inserts a section and the sections that it is part of, unless they exist.
    pub(crate) fn declare(&mut self, place: Place<'_>) -> &mut Values {
        if let Some(parent) = place.parent() {
            self.declare(parent);
        }
        let sections = match place.index() {
            Some(name) => self
                .indexes
                .entry(name.to_owned())
                .or_insert_with(|| Part::Changed(Sections::new()))
                .sections_mut(),
            None => &mut self.root,
        };
        sections.entry(place.to_string()).or_default()
    }

    /// Removes a value of a section.
    pub(crate) fn unset(&mut self, place: Place<'_>, key: &str) {
        if let Some(values) = self
            .existing(place)
            .and_then(|sections| sections.get_mut(&place.to_string()))
        {
            values.remove(key);
        }
    }

    /// Removes a section and everything in it.
    pub(crate) fn remove(&mut self, place: Place<'_>) {
        if let Place::Index(name) = place {
            self.indexes.remove(name);
        }
        let path = place.to_string();
        let Some(sections) = self.existing(place) else {
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

    fn existing(&mut self, place: Place<'_>) -> Option<&mut Sections> {
        match place.index() {
            Some(name) => self.indexes.get_mut(name).map(Part::sections_mut),
            None => Some(&mut self.root),
        }
    }

    /// Finds references to data centres that do not exist.
    pub(crate) fn check_references(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for part in self.indexes.values() {
            // A kept index refers only to data centres that its basis has.
            if let Part::Kept(_, basis) = part
                && self.has_all(basis)
            {
                continue;
            }
            for path in part.sections().keys() {
                if let Some(name) = place_of(path).refers_to()
                    && !self.has_data_centre(name)
                {
                    faults.push(Fault::new(path, format!("no data centre is named {name}")));
                }
            }
        }
        faults
    }

    fn has_all(&self, basis: &Basis) -> bool {
        basis.names().all(|name| self.has_data_centre(name))
    }

    fn has_data_centre(&self, name: &str) -> bool {
        self.root.contains_key(&Place::DataCentre(name).to_string())
    }
}
