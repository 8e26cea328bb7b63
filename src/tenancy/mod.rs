//! Tenants: who sends a request, as the key in it tells.
//!
//! The settings document names the tenants and their keys. A key is a secret, so it appears in no log line, metric,
//! error or `Debug` output. See `docs/design/tenants.md`.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use crate::quota::Limit;

/// A tenant of the settings document.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// The name, which targets are told.
    pub name: Arc<str>,
    /// The priority of the tenant's requests, which goes before that of their routes; lower numbers are more urgent.
    pub priority: Option<u8>,
    /// The limit on the tenant's requests; absent if there is none.
    pub limit: Option<Limit>,
}

/// The position of a tenant in the [`Directory`] of one settings version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(u32);

/// A secret key that identifies a tenant. Its `Debug` output does not show it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Credential(Box<[u8]>);

impl Credential {
    /// Keeps a key; returns `None` if it is empty, because an empty key identifies nobody.
    pub fn new(key: &[u8]) -> Option<Self> {
        (!key.is_empty()).then(|| Self(key.into()))
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(redacted)")
    }
}

/// The tenants of one settings version and their keys.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    tenants: Vec<Arc<Tenant>>,
    /// The holder of each key. A key that several tenants hold has none, because it cannot identify one of them.
    holders: HashMap<Credential, Option<TenantKey>>,
    /// The names of the tenants that hold a key of another tenant as well.
    contested: BTreeSet<Arc<str>>,
}

impl Directory {
    /// Returns an empty directory, under which only requests on anonymous routes run.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a tenant with its keys.
    pub fn add<I>(&mut self, tenant: Tenant, keys: I) -> TenantKey
    where
        I: IntoIterator<Item = Credential>,
    {
        let added =
            TenantKey(u32::try_from(self.tenants.len()).expect("a document has few tenants"));
        let name = Arc::clone(&tenant.name);
        self.tenants.push(Arc::new(tenant));
        for key in keys {
            let holder = self.holders.entry(key).or_insert(Some(added));
            match *holder {
                Some(other) if other == added => {}
                Some(other) => {
                    *holder = None;
                    let other = &self.tenants[other.0 as usize];
                    self.contested.insert(Arc::clone(&other.name));
                    self.contested.insert(Arc::clone(&name));
                }
                None => {
                    self.contested.insert(Arc::clone(&name));
                }
            }
        }
        added
    }

    /// Returns the tenant that holds a key, or `None` if no tenant or more than one does.
    pub fn find(&self, credential: &Credential) -> Option<TenantKey> {
        *self.holders.get(credential)?
    }

    /// Returns a tenant of this directory.
    pub fn get(&self, key: TenantKey) -> Option<&Arc<Tenant>> {
        self.tenants.get(key.0 as usize)
    }

    /// Returns all tenants.
    pub fn tenants(&self) -> impl ExactSizeIterator<Item = &Arc<Tenant>> {
        self.tenants.iter()
    }

    /// Returns the names of the tenants that share a key with another one, in order. Such keys identify nobody.
    pub fn contested(&self) -> impl ExactSizeIterator<Item = &Arc<str>> {
        self.contested.iter()
    }
}

/// Who sent a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Sender {
    /// The settings have no tenants, so the request is passed on as the caller sent it.
    #[default]
    Undeclared,
    /// Nobody known, on a route that needs no key.
    Anonymous,
    /// The tenant that holds the key in the request.
    Tenant(Arc<Tenant>),
}

impl Sender {
    /// Returns the tenant that sent the request.
    pub const fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Undeclared | Self::Anonymous => None,
        }
    }
}

/// How urgent a request is: by the priority of its tenant, and at the same one by that of its route. Lower is more
/// urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    tenant: u8,
    route: u8,
}

impl Urgency {
    /// Returns the urgency of a request. Without a tenant, or a priority of it, the route's priority stands for the
    /// tenant's, so that the route alone decides.
    pub fn new(tenant: Option<&Tenant>, route_priority: u8) -> Self {
        Self {
            tenant: tenant
                .and_then(|tenant| tenant.priority)
                .unwrap_or(route_priority),
            route: route_priority,
        }
    }
}
