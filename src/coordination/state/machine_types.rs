//! The machine types that the cloud offers.

use crate::protocol::cloud::MachineType;

/// The catalog of machine types, as the cloud last told it.
#[derive(Clone, Debug, Default)]
pub struct MachineTypes {
    types: Vec<MachineType>,
}

impl MachineTypes {
    /// The catalog of these types.
    pub fn new(types: Vec<MachineType>) -> MachineTypes {
        MachineTypes { types }
    }

    /// The type of a name, if it is offered.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    /// All types, in the cloud's order.
    pub fn iter(&self) -> std::slice::Iter<'_, MachineType> {
        self.types.iter()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    /// How long the type that boots soonest takes, in seconds; `None` while no types are known.
    pub fn shortest_boot_s(&self) -> Option<f64> {
        let boots = self.types.iter().map(|t| t.boot_s);
        boots.min_by(f64::total_cmp)
    }

    /// Seconds until a machine is up, on average over the types.
    pub fn mean_boot_s(&self) -> f64 {
        let boots = self.types.iter().map(|t| t.boot_s);
        boots.sum::<f64>() / self.types.len().max(1) as f64
    }

    /// The slowest rate at which any type fetches images, in gigabytes a second.
    pub fn slowest_fetch_gb_per_s(&self) -> f64 {
        let rates = self.types.iter().map(|t| t.fetch_gb_per_s);
        rates.fold(f64::INFINITY, f64::min)
    }
}
