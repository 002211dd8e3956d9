//! Size of a soak's fleet.

/// Size of a fleet, as a multiple of the usual one.
///
/// ```
/// let usual = soak::FleetSize::default();
/// assert_eq!(soak::FleetSize::new(3).vms(), 3 * usual.vms());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetSize {
    factor: usize,
}

impl Default for FleetSize {
    fn default() -> Self {
        Self { factor: 1 }
    }
}

impl FleetSize {
    /// Creates a size of `factor` times the usual one, but at least the usual one.
    pub fn new(factor: usize) -> Self {
        Self { factor: factor.max(1) }
    }

    /// Returns the multiple of the usual size.
    pub fn factor(self) -> usize {
        self.factor
    }

    /// Returns the number of entry VMs. The first region has enough of them that some read the store
    /// through a peer.
    pub fn vms(self) -> usize {
        8 * self.factor
    }

    /// Returns the number of targets, spread over zones and services.
    pub fn targets(self) -> usize {
        12 * self.factor
    }

    /// Returns the number of concurrent callers.
    pub fn callers(self) -> usize {
        24 * self.factor
    }

    /// Returns the number of concurrent callers that pipeline reads.
    pub fn pipelining_callers(self) -> usize {
        8 * self.factor
    }
}
