//! The machine types that the cloud offers.

use crate::protocol::cloud::MachineType;

/// The catalog of machine types, as last received from the cloud API.
#[derive(Clone, Debug, Default)]
pub struct MachineTypes {
    types: Vec<MachineType>,
}

impl MachineTypes {
    /// A catalog of these types.
    pub fn new(types: Vec<MachineType>) -> MachineTypes {
        MachineTypes { types }
    }

    /// The type with this name, if the cloud offers it.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    /// All types, in the order of the cloud's list.
    pub fn iter(&self) -> std::slice::Iter<'_, MachineType> {
        self.types.iter()
    }

    /// Whether no type is known.
    pub fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    /// The shortest boot time of any type, in seconds; `None` while no types are known.
    pub fn shortest_boot_s(&self) -> Option<f64> {
        let boots = self.types.iter().map(|t| t.boot_s);
        boots.min_by(f64::total_cmp)
    }

    /// The mean boot time over all types, in seconds.
    pub fn mean_boot_s(&self) -> f64 {
        let boots = self.types.iter().map(|t| t.boot_s);
        boots.sum::<f64>() / self.types.len().max(1) as f64
    }

    /// The lowest rate at which a type fetches images, in gigabytes per second.
    pub fn slowest_fetch_gb_per_s(&self) -> f64 {
        let rates = self.types.iter().map(|t| t.fetch_gb_per_s);
        rates.fold(f64::INFINITY, f64::min)
    }
}
