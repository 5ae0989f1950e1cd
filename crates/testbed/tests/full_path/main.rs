//! The dispatcher between owners, nodes and roster, all over real sockets on loopback.

mod fleet;
mod hard_cases;
mod harness;
mod loads;
mod maintenance;
mod rollouts;
mod stores;
mod traffic;
mod versions;
