//! Computes the cost of a fleet at a planned size from measurements: fits lines through the valid
//! points of stored runs, tests them for linearity, compares the cost of each role with its limit,
//! and prints the tables of docs/CAPACITY.md. This crate reads and writes no file.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`size`], [`result`] | the stored size and runs |
//! | [`fit`] | linear fits, and estimates with errors |
//! | [`figures`], [`catalog`] | the cost of each role at the size, and the list of figures |
//! | [`page`] | the tables, and the comparison of a page with them |
//! | [`requirements`] | the resources that a measurement requires of its machine |

#![warn(missing_docs, clippy::too_many_lines)]

pub mod catalog;
pub mod figures;
pub mod fit;
pub mod page;
pub mod requirements;
pub mod result;
pub mod size;
