//! A director's configuration: the JSON file that `LB_CONFIG` names, and environment variables beside it.
use super::discovery::Event;
use crate::settings::{NameError, RawSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    #[error("no configuration file; set LB_CONFIG to its path")]
    PathNotSet,
    /// The file can't be read.
    #[error("configuration {path}: {error}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Why it can't be read.
        error: std::io::Error,
    },
    /// The file is not JSON of the expected form.
    #[error("configuration {path}: {error}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// Why it can't be parsed.
        error: serde_json::Error,
    },
    /// A value is invalid.
    #[error("configuration: {0}")]
    InvalidValue(String),
    /// The settings are invalid.
    #[error("configuration: {0}")]
    Settings(#[from] NameError),
}

/// Resource limits of a director.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Maximum number of descriptors that the process may have open.
    pub sockets: usize,
}

/// The discovery events that are known at the start.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct KnownEvents {
    /// Number of the last event.
    #[serde(rename = "no")]
    pub last_event: u64,
    /// The events.
    #[serde(default, rename = "items")]
    pub events: Vec<Event>,
}

/// A director's configuration.
#[derive(Deserialize)]
pub struct Config {
    /// The director's name.
    pub name: String,
    /// Address on which viewers connect.
    pub listen: SocketAddr,
    /// Seed of the random number generator, in hexadecimal.
    seed: String,
    /// Resource limits.
    pub limits: Limits,
    /// Address of the discovery service.
    #[serde(rename = "bulletin")]
    pub discovery_addr: SocketAddr,
    /// Address of the admin interface; without one there is none. `LB_ADMIN_ADDR` takes precedence if the
    /// configuration comes from the platform ([`Config::from_env`]).
    #[serde(default)]
    pub admin_addr: Option<SocketAddr>,
    /// The discovery events so far.
    #[serde(default)]
    pub known: KnownEvents,
    /// The settings of the core.
    pub settings: RawSettings,
    /// The file that the configuration was read from, if any.
    #[serde(skip)]
    file: Option<PathBuf>,
    /// Descriptor of the viewers' listening socket, if the platform holds it and passes it to the process.
    #[serde(skip)]
    pub inherited_fd: Option<i32>,
    /// Directory shared by the successive processes of a director, if the platform replaces them.
    #[serde(skip)]
    shared_dir: Option<PathBuf>,
}

/// Minimum number of descriptors that a director needs.
const MIN_SOCKETS: usize = 32;

impl Config {
    /// Reads the file that `LB_CONFIG` names.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var_os("LB_CONFIG").ok_or(ConfigError::PathNotSet)?;
        let mut config = Config::from_file(Path::new(&path))?;
        config.apply_env(|name| std::env::var(name).ok())?;
        Ok(config)
    }

    /// Applies the environment variables that the platform sets besides the file.
    fn apply_env(&mut self, var: impl Fn(&str) -> Option<String>) -> Result<(), ConfigError> {
        let value = |name: &str| var(name).map(|v| v.trim().to_owned()).filter(|v| !v.is_empty());
        if let Some(text) = value("LB_ADMIN_ADDR") {
            let address = text.parse().map_err(|_| {
                ConfigError::InvalidValue(format!(
                    "LB_ADMIN_ADDR {text:?} is not an address such as 127.0.0.1:9000"
                ))
            });
            self.admin_addr = Some(address?);
        }
        if let Some(text) = value("LB_INHERITED_FD") {
            let fd = text.parse().ok().filter(|fd| *fd > 2).ok_or_else(|| {
                ConfigError::InvalidValue(format!(
                    "LB_INHERITED_FD {text:?} is not a descriptor number above 2"
                ))
            });
            self.inherited_fd = Some(fd?);
            self.shared_dir = value("TMPDIR").map(PathBuf::from);
        }
        Ok(())
    }

    /// Reads and checks a configuration file. The environment is not consulted.
    pub fn from_file(file: &Path) -> Result<Self, ConfigError> {
        let path = file.display().to_string();
        let content = std::fs::read(file);
        let content = content.map_err(|error| ConfigError::Unreadable { path: path.clone(), error })?;
        let mut config: Config =
            serde_json::from_slice(&content).map_err(|error| ConfigError::Malformed { path, error })?;
        config.seed()?;
        if config.limits.sockets < MIN_SOCKETS {
            let sockets = config.limits.sockets;
            return Err(ConfigError::InvalidValue(format!(
                "limits.sockets is {sockets}; at least {MIN_SOCKETS} are needed"
            )));
        }
        config.file = Some(file.to_owned());
        Ok(config)
    }

    /// Directory shared by the successive processes of the director; `None` if the platform does not replace
    /// them.
    pub fn shared_dir(&self) -> Option<&Path> {
        self.shared_dir.as_deref()
    }

    /// The file that the configuration was read from.
    pub fn file(&self) -> Option<&Path> {
        self.file.as_deref()
    }

    /// Seed of the random number generator.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        let seed = u64::from_str_radix(self.seed.trim_start_matches("0x"), 16);
        seed.map_err(|_| {
            ConfigError::InvalidValue(format!("seed {:?} is not a hexadecimal number", self.seed))
        })
    }
}
