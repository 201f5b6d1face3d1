//! What a director is told at its start: the JSON file that `LB_CONFIG` names.
use super::discovery::Event;
use crate::settings::{NameError, RawSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A configuration that a director can't start with.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    #[error("LB_CONFIG names no configuration file")]
    PathNotSet,
    /// The file can't be read.
    #[error("configuration {path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why not.
        error: std::io::Error,
    },
    /// The file is not JSON of the right form.
    #[error("configuration {path}: {error}")]
    Malformed {
        /// The file.
        path: String,
        /// Why not.
        error: serde_json::Error,
    },
    /// A value is of no use.
    #[error("configuration: {0}")]
    InvalidValue(String),
    /// The settings in it are of no use.
    #[error("configuration: {0}")]
    Settings(#[from] NameError),
}

/// The limits of one director.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Descriptors that its process may hold.
    pub sockets: usize,
}

/// The events of the bulletin up to the start.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct KnownEvents {
    /// The last event's number.
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
    /// Where viewers connect.
    pub listen: SocketAddr,
    /// The seed of its random numbers, in hex.
    seed: String,
    /// Its limits.
    pub limits: Limits,
    /// Where the bulletin is.
    pub bulletin: SocketAddr,
    /// Where operators call; without it there is no door for them. `LB_ADMIN_ADDR` goes before it, where the
    /// configuration is the platform's.
    #[serde(default)]
    pub admin_addr: Option<SocketAddr>,
    /// What the bulletin has told so far.
    #[serde(default)]
    pub known: KnownEvents,
    /// The module's settings.
    pub settings: RawSettings,
    /// The file it was read from, where it was.
    #[serde(skip)]
    file: Option<PathBuf>,
    /// The number of the clients' listening socket, where the platform holds it and hands it down.
    #[serde(skip)]
    pub inherited_fd: Option<i32>,
    /// The folder that a director's processes share, where the platform replaces them.
    #[serde(skip)]
    shared_dir: Option<PathBuf>,
}

/// The fewest descriptors that a director can work with.
const MIN_SOCKETS: usize = 32;

impl Config {
    /// Reads the file that `LB_CONFIG` names.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var_os("LB_CONFIG").ok_or(ConfigError::PathNotSet)?;
        let mut config = Config::from_file(Path::new(&path))?;
        config.apply_env(|name| std::env::var(name).ok())?;
        Ok(config)
    }

    /// Takes what the platform says beside the file.
    fn apply_env(&mut self, var: impl Fn(&str) -> Option<String>) -> Result<(), ConfigError> {
        let value = |name: &str| var(name).map(|v| v.trim().to_owned()).filter(|v| !v.is_empty());
        if let Some(text) = value("LB_ADMIN_ADDR") {
            let address = text.parse().map_err(|_| {
                ConfigError::InvalidValue(format!(
                    "LB_ADMIN_ADDR {text:?} is no address such as 127.0.0.1:9000"
                ))
            });
            self.admin_addr = Some(address?);
        }
        if let Some(text) = value("LB_INHERITED_FD") {
            let fd = text.parse().ok().filter(|fd| *fd > 2).ok_or_else(|| {
                ConfigError::InvalidValue(format!(
                    "LB_INHERITED_FD {text:?} is no descriptor's number above 2"
                ))
            });
            self.inherited_fd = Some(fd?);
            self.shared_dir = value("TMPDIR").map(PathBuf::from);
        }
        Ok(())
    }

    /// Reads a file.
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
                "{sockets} sockets are too few, {MIN_SOCKETS} needed"
            )));
        }
        config.file = Some(file.to_owned());
        Ok(config)
    }

    /// The folder that the director's processes share; none where the platform does not replace them.
    pub fn shared_dir(&self) -> Option<&Path> {
        self.shared_dir.as_deref()
    }

    /// The file it was read from.
    pub fn file(&self) -> Option<&Path> {
        self.file.as_deref()
    }

    /// The seed of the director's random numbers.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        let seed = u64::from_str_radix(self.seed.trim_start_matches("0x"), 16);
        seed.map_err(|_| ConfigError::InvalidValue(format!("seed {:?} is not a hex number", self.seed)))
    }
}
