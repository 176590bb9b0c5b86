//! Measurements of the system.

fn main() {}
