//! Decisions under load: which requests run when there is too little room for all.
//!
//! The modules are pure state machines: the present time is an argument, and random draws take a seeded generator.

pub mod admission;
pub mod crowd;
pub mod retry;
pub mod share;
