//! The laboratory: stand-ins of nodes, roster and owners, scripted days of trouble played through
//! real dispatchers, and the judge of what crossed the sockets. Figures from here are from
//! stand-ins, not machines.

pub mod capacity;
pub mod capture;
pub mod config_push_experiment;
pub mod control_service;
pub mod cost;
pub mod counts;
pub mod discovery;
pub mod disk;
pub mod hollow;
pub mod judge;
pub mod loads;
pub mod maintenance_figures;
pub mod measure;
pub mod needs;
pub mod node;
pub mod owner;
pub mod play;
pub mod process;
pub mod relay;
pub mod saturation;
pub mod scenario;
pub mod table;
pub mod version_figures;
pub mod wires;
