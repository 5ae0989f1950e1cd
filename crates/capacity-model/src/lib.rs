//! From measurements to a fleet size: valid points of stored runs, straight lines through them and
//! the test whether they are straight, the cost of each role at the size against its limit, and the
//! tables of docs/CAPACITY.md. It reads and writes no file.
//!
//! | module | its job |
//! | --- | --- |
//! | [`size`], [`result`] | the stored size and runs |
//! | [`fit`] | lines, and estimates with errors |
//! | [`figures`], [`catalog`] | the cost of each role at the size, and what is computed |
//! | [`page`] | the tables, and a page compared with them |
//! | [`requirements`] | what a measurement requires of its machine |

#![warn(missing_docs, clippy::too_many_lines)]

pub mod catalog;
pub mod figures;
pub mod fit;
pub mod page;
pub mod requirements;
pub mod result;
pub mod size;
