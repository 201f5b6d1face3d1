//! Errors that prevent a director from starting or continuing.
use crate::interface::SettingsError;
use crate::platform::config::ConfigError;
use crate::settings::NameError;
use std::io;
use std::net::SocketAddr;
use stonewharf_operator::OperatorError;

/// An error that prevents a director from starting or continuing, or that makes a reload fail.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration can't be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The settings in the configuration are invalid.
    #[error("configuration: {0}")]
    Names(#[from] NameError),
    /// The decision module rejects the settings.
    #[error("configuration: unusable settings: {0}")]
    Settings(#[from] SettingsError),
    /// Listening on the address failed.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The listening socket inherited from the platform can't be used.
    #[error(
        "the clients' listening socket can't be taken over as descriptor {0}: {1}; check LB_INHERITED_FD"
    )]
    Inherited(i32, io::Error),
    /// An operating system facility that the event loop needs failed.
    #[error("the event loop can't continue: {0}")]
    Io(#[from] io::Error),
    /// The operator file is invalid.
    #[error("operator file {0}")]
    Operator(#[from] OperatorError),
    /// The settings of the fleet can't be used by this director.
    #[error("operator file, block fleet: {0}")]
    Fleet(String),
    /// The configuration belongs to another director.
    #[error(
        "configuration: it is that of director {0:?} and is not applied; \
         give this director its own configuration"
    )]
    OtherDirector(String),
    /// The configuration belongs to another deployment.
    #[error(
        "configuration: its {0} are those of another deployment, and it is not applied; \
         restart the director to serve that deployment"
    )]
    OtherDeployment(&'static str),
    /// The operator file can't be read.
    #[error("operator file {0}: {1}")]
    OperatorUnreadable(String, io::Error),
}
