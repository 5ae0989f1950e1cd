//! The laboratory: stand-ins of nodes, roster and owners, scripted days of trouble played through
//! real dispatchers, and the judge of what crossed the sockets. Figures from here are from
//! stand-ins, not machines.

pub mod capacity;
pub mod capture;
pub mod checker;
pub mod client;
pub mod config_push_experiment;
pub mod control_service;
pub mod cost;
pub mod discovery;
pub mod disk;
pub mod fault_proxies;
pub mod hollow;
pub mod loads;
pub mod maintenance_figures;
pub mod measure;
pub mod node;
pub mod process;
pub mod relay;
pub mod requirements;
pub mod runner;
pub mod saturation;
pub mod scenario;
pub mod summary;
pub mod traffic;
pub mod version_figures;
