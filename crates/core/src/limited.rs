//! Sets a subsystem's limits behind the decision module. Stands apart from both, so that the seam knows
//! nothing of the module and the module only of the seam.
use crate::limits::PlacementLimits;
use crate::rules::Controller;

impl Controller {
    /// This controller with limits set on its choice, beside those that are set, from its start on.
    pub fn with_limits(mut self, limits: Box<dyn PlacementLimits>) -> Self {
        self.limits.add(limits);
        self
    }
}
