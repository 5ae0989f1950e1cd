//! Amounts of cores and memory.

use std::iter::Sum;
use std::ops::{Add, Div, Mul, Sub};

/// Cores and memory: requested, used or available, or a share of each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// The number of cores.
    pub cores: f64,
    /// The memory, in the unit of the settings.
    pub memory: f64,
}

impl Resources {
    /// One of each resource; as a share, the whole.
    pub const ONE: Resources = Resources {
        cores: 1.0,
        memory: 1.0,
    };

    /// Returns the larger value for each resource.
    #[must_use]
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
        }
    }

    /// Returns the smaller value for each resource.
    #[must_use]
    pub fn min(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
        }
    }

    /// Returns whether neither resource exceeds the limit.
    #[must_use]
    pub fn fits_in(self, limit: Resources) -> bool {
        self.cores <= limit.cores && self.memory <= limit.memory
    }

    /// Returns the larger of the two resources' shares of a machine's size.
    #[must_use]
    pub fn fraction_of(self, size: Resources) -> f64 {
        (self.cores / size.cores).max(self.memory / size.memory)
    }
}

macro_rules! apply_to_each {
    ($($operator:ident $call:ident $sign:tt;)*) => {$(
        impl $operator for Resources {
            type Output = Resources;
            fn $call(self, other: Resources) -> Resources {
                Resources { cores: self.cores $sign other.cores, memory: self.memory $sign other.memory }
            }
        }
    )*};
}

apply_to_each! { Add add +; Sub sub -; Mul mul *; Div div /; }

impl Mul<f64> for Resources {
    type Output = Resources;
    fn mul(self, factor: f64) -> Resources {
        Resources {
            cores: self.cores * factor,
            memory: self.memory * factor,
        }
    }
}

impl Sum for Resources {
    fn sum<I: Iterator<Item = Resources>>(values: I) -> Resources {
        values.fold(Resources::default(), |sum, value| sum + value)
    }
}
