//! The commands of the operators client.
