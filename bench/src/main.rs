//! Runs the decision code in virtual time against model targets.

fn main() {}
