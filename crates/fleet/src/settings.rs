//! The settings of the fleet, as the block `fleet` of the operator file gives them: names, ranges, defaults.
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The longest name of a cluster or director, bytes: names travel in every message.
pub const NAME_MOST: usize = 32;
const SEEDS_MOST: usize = 16;
const NAMES_MOST: usize = 4096;

/// The block `fleet` of the operator file. Without it a director knows of no other.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Whether any of this is in force. Read at the start alone.
    pub enabled: bool,
    /// The cluster: directors of another name for it are not listened to. 1 to 32 bytes.
    pub cluster: String,
    /// This director's name among its peers; empty: the name of its configuration. 32 bytes at most.
    pub name: String,
    /// Where it listens for peers, UDP and TCP on one port (IPv4).
    pub listen: String,
    /// Where peers find it, if not at `listen`; empty: there.
    pub advertise: String,
    /// Where others may be found at a start, 16 at most; its own address among them does no harm.
    pub seeds: Vec<String>,
    /// A folder that outlives the process, for the number of its last life; empty: none.
    pub folder: String,
    /// The names that may be in the fleet, 4,096 at most; none: any.
    pub names: Vec<String>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            enabled: true,
            cluster: String::new(),
            name: String::new(),
            listen: String::new(),
            advertise: String::new(),
            seeds: Vec::new(),
            folder: String::new(),
            names: Vec::new(),
        }
    }
}

/// A setting that can't be, with the key it stands under.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key} is {found}; {allowed}")]
pub struct SettingError {
    /// The key within the block `fleet`.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
}

fn wrong(key: &str, found: &str, allowed: &str) -> SettingError {
    SettingError { key: key.into(), found: format!("{found:?}"), allowed: allowed.into() }
}

fn address(key: &str, text: &str) -> Result<SocketAddrV4, SettingError> {
    let allowed = "an IPv4 address and a port are allowed, as in 10.0.0.4:7946";
    text.parse().map_err(|_| wrong(key, text, allowed))
}

impl FleetSettings {
    /// Whether all values can be used.
    pub fn check(&self) -> Result<(), SettingError> {
        if !self.enabled {
            return Ok(());
        }
        if self.cluster.is_empty() || self.cluster.len() > NAME_MOST {
            return Err(wrong("cluster", &self.cluster, "a name of 1 to 32 bytes is allowed"));
        }
        if self.name.len() > NAME_MOST {
            return Err(wrong("name", &self.name, "32 bytes at most are allowed"));
        }
        self.listens_at()?;
        self.found_at()?;
        if self.seeds.len() > SEEDS_MOST {
            let found = format!("{} addresses", self.seeds.len());
            return Err(wrong("seeds", &found, "16 at most are allowed"));
        }
        self.seed_addresses()?;
        if self.names.len() > NAMES_MOST {
            return Err(wrong("names", &format!("{} names", self.names.len()), "4096 at most are allowed"));
        }
        match self.names.iter().find(|n| n.is_empty() || n.len() > NAME_MOST) {
            Some(name) => Err(wrong("names", name, "names of 1 to 32 bytes are allowed")),
            None => Ok(()),
        }
    }

    /// Where it listens.
    pub fn listens_at(&self) -> Result<SocketAddrV4, SettingError> {
        address("listen", &self.listen)
    }

    /// Where peers find it.
    pub fn found_at(&self) -> Result<SocketAddrV4, SettingError> {
        if self.advertise.is_empty() { self.listens_at() } else { address("advertise", &self.advertise) }
    }

    /// Where others may be found at a start.
    pub fn seed_addresses(&self) -> Result<Vec<SocketAddrV4>, SettingError> {
        self.seeds.iter().map(|seed| address("seeds", seed)).collect()
    }
}
