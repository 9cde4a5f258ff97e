//! Command line of the rank agent.
fn main() {}
