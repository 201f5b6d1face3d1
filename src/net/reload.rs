//! SIGHUP: the configuration and the operator file are read again, and taken over whole or not at all.
use super::{Node, NodeError, digest, operator, startup};
use crate::director::Director;
use crate::platform::config::{Config, ConfigError};
use crate::settings::NameRegistry;
use slog::{info, warn};
use stonewharf_operator::Operator;

/// What a reload read and found usable.
struct Reread {
    config: Config,
    operator: Option<Operator>,
}

impl Node {
    /// Reads the files again and takes over what can change under way: where the bulletin is, and the halls.
    /// What could not be started with, or is another deployment's, changes nothing.
    pub(super) fn reload(&mut self) {
        match self.reread() {
            Ok(read) => self.take_over(read),
            Err(why) => warn!(self.shared.log, "the old configuration stays: {why}"),
        }
    }

    /// Reads and checks all of it, as at a start.
    fn reread(&self) -> Result<Reread, NodeError> {
        let config = Config::from_file(self.file.as_deref().ok_or(ConfigError::Unnamed)?)?;
        if config.name != self.name {
            return Err(NodeError::OtherDirector(config.name));
        }
        let (settings, names, _) = NameRegistry::read(&config.settings)?;
        if let Some(what) = self.names.first_difference(&names) {
            return Err(NodeError::OtherDeployment(what));
        }
        Director::new(settings, config.seed()?, self.shared.now)?;
        let operator = self.operator.as_ref().map(|(file, _)| operator(file, Some(&names))).transpose()?;
        Ok(Reread { config, operator })
    }

    fn take_over(&mut self, read: Reread) {
        self.shared.counters.reloads += 1;
        if let (Some(own), Some((_, halls))) = (read.operator, &self.operator) {
            let budgets = own.out.clone().unwrap_or_default();
            self.agreed.iter_mut().for_each(|agreed| agreed.budgets(budgets.clone()));
            let digest = digest(&own);
            self.components.peers.iter_mut().for_each(|peers| peers.digest(self.shared.now, digest));
            let (classes, zones) = (self.names.classes().to_vec(), &mut self.names);
            let class = |name: &str| classes.iter().position(|c| c == name);
            halls.0.borrow_mut().configure(startup::halls_of(own), class, |name| zones.zone(name));
        }
        info!(self.shared.log, "the configuration was read again");
        if read.config.settings != self.info {
            warn!(self.shared.log, "its settings differ from those in force and hold from the next start");
        }
        self.components.discovery.follow(&mut self.shared, read.config.bulletin);
    }
}
