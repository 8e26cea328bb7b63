//! Tenants: who sends a request, as the key in it tells.

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
