//! Adds placement limits to a controller. In a file of its own, so that the interface does not depend on the
//! decision module, and the module only on the interface.
use crate::limits::PlacementLimits;
use crate::rules::Controller;

impl Controller {
    /// Adds limits on the controller's choices to those already set. To be called before the first event.
    pub fn with_limits(mut self, limits: Box<dyn PlacementLimits>) -> Self {
        self.limits.add(limits);
        self
    }
}
