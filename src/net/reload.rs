//! Reloading on SIGHUP: the configuration and the operator file are read again and applied completely or not
//! at all.
use super::{Node, NodeError, read_operator_file, settings_digest, startup};
use crate::director::Director;
use crate::platform::config::{Config, ConfigError};
use crate::settings::NameRegistry;
use slog::{info, warn};
use stonewharf_operator::Operator;

/// The files that a reload has read and checked.
struct LoadedFiles {
    config: Config,
    operator: Option<Operator>,
}

impl Node {
    /// Reads the files again and applies what can change while serving: the address of discovery, and the
    /// settings of the halls and the rollout budgets in the operator file.
    ///
    /// Files with which the director could not start, or that belong to another deployment, change nothing.
    pub(super) fn reload(&mut self) {
        match self.load_files() {
            Ok(files) => self.apply_files(files),
            Err(why) => warn!(self.shared.log, "the old configuration stays: {why}"),
        }
    }

    /// Reads and checks the files in the same way as at startup.
    fn load_files(&self) -> Result<LoadedFiles, NodeError> {
        let config = Config::from_file(self.config_file.as_deref().ok_or(ConfigError::PathNotSet)?)?;
        if config.name != self.name {
            return Err(NodeError::OtherDirector(config.name));
        }
        let (settings, names, _) = NameRegistry::read(&config.settings)?;
        if let Some(what) = self.names.first_difference(&names) {
            return Err(NodeError::OtherDeployment(what));
        }
        Director::new(settings, config.seed()?, self.shared.now)?;
        let operator =
            self.operator.as_ref().map(|(file, _)| read_operator_file(file, Some(&names))).transpose()?;
        Ok(LoadedFiles { config, operator })
    }

    /// Applies the files that were read.
    fn apply_files(&mut self, files: LoadedFiles) {
        self.shared.counters.reloads += 1;
        if let (Some(operator), Some((_, halls))) = (files.operator, &self.operator) {
            let budgets = operator.out.clone().unwrap_or_default();
            self.agreement.iter_mut().for_each(|agreement| agreement.budgets(budgets.clone()));
            let digest = settings_digest(&operator);
            self.components.peers.iter_mut().for_each(|peers| peers.digest(self.shared.now, digest));
            let (classes, zones) = (self.names.classes().to_vec(), &mut self.names);
            let class_index = |name: &str| classes.iter().position(|c| c == name);
            halls
                .0
                .borrow_mut()
                .configure(startup::hall_settings(operator), class_index, |name| zones.zone(name));
        }
        info!(self.shared.log, "the configuration was read again");
        if files.config.settings != self.raw_settings {
            warn!(
                self.shared.log,
                "the configuration's settings have changed and take effect at the next start"
            );
        }
        self.components.discovery.set_address(&mut self.shared, files.config.discovery_addr);
    }
}
