//! The dispatcher between owners, nodes and roster, all over real sockets on loopback.

mod counts;
mod fleet;
mod hard_cases;
mod loads;
mod maintenance;
mod rig;
mod rolls;
mod stores;
mod versions;
