//! From measured slopes to a size: points of kept runs, straight lines through them and whether
//! they are straight, what each role costs at the size against its limit, and the tables of
//! docs/CAPACITY.md. It reads and writes no file.

pub mod figures;
pub mod fit;
pub mod page;
pub mod requirements;
pub mod result;
