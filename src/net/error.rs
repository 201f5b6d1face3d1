//! Why a director can't start or go on. It owns the words; it mends nothing.
use crate::interface::SettingsError;
use crate::platform::config::ConfigError;
use crate::settings::NameError;
use std::io;
use std::net::SocketAddr;
use stonewharf_operator::OperatorError;

/// Why a director can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration is of no use.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The settings in it are of no use.
    #[error("configuration: {0}")]
    Names(#[from] NameError),
    /// The module refuses the settings.
    #[error("configuration: unusable settings: {0}")]
    Settings(#[from] SettingsError),
    /// The address can't be listened on.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The socket that the platform handed down is of no use.
    #[error(
        "the clients' listening socket can't be taken over as descriptor {0}: {1}; check LB_INHERITED_FD"
    )]
    Inherited(i32, io::Error),
    /// The machine refuses what the loop needs.
    #[error("the loop can't go on: {0}")]
    Io(#[from] io::Error),
    /// The operator file is of no use.
    #[error("operator file {0}")]
    Operator(#[from] OperatorError),
    /// The fleet's settings can't be used here.
    #[error("operator file, block fleet: {0}")]
    Fleet(String),
    /// The configuration is another director's.
    #[error(
        "configuration: it is that of director {0:?}, and nothing of it is taken over; \
         give this director its own"
    )]
    OtherDirector(String),
    /// The configuration is another deployment's.
    #[error(
        "configuration: its {0} are those of another deployment, and nothing of it is taken over; \
         start the director anew to serve that one"
    )]
    OtherDeployment(&'static str),
    /// The operator file can't be read.
    #[error("operator file {0}: {1}")]
    OperatorUnreadable(String, io::Error),
}
