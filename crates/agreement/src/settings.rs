//! The block `agreement` of the operator file: who votes.
use serde::{Deserialize, Serialize};

/// The block `agreement`. Without it nothing is agreed, and no store is opened.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgreementSettings {
    /// The directors that found the log and vote at first: 3, 5 or 7 names, the same in all files. Later
    /// changes are agreed (`stonewharf fleet voters`), and what is agreed then holds.
    pub voters: Vec<String>,
}

/// A setting that can't be, with the key it stands under.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key} {what}")]
pub struct SettingError {
    /// The key within the block.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub what: String,
}

impl AgreementSettings {
    /// Whether all values can be used.
    pub fn check(&self) -> Result<(), SettingError> {
        let wrong = |what: String| Err(SettingError { key: "voters".into(), what });
        if ![3, 5, 7].contains(&self.voters.len()) {
            return wrong(format!("names {} directors; 3, 5 or 7 are allowed", self.voters.len()));
        }
        let twice = self.voters.iter().enumerate().find(|(i, name)| self.voters[..*i].contains(name));
        if let Some((_, name)) = twice {
            return wrong(format!("names {name:?} twice; once is allowed"));
        }
        match self.voters.iter().find(|n| n.is_empty() || n.len() > 32) {
            Some(name) => wrong(format!("names {name:?}; names of 1 to 32 bytes are allowed")),
            None => Ok(()),
        }
    }
}
