//! Tests of a dispatcher between clients, nodes and discovery over real sockets on loopback.

mod fleet;
mod hard_cases;
mod harness;
mod maintenance;
mod rollouts;
mod stores;
mod traffic;
mod versions;
