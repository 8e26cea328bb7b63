//! The commands of the command-line clients, one module each.

pub mod node;
pub mod query;
