//! Signals as bytes on a socket that the loop watches.
use super::poll::{Poll, Token, Watched};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::low_level::pipe;
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// Come to an end in good order (SIGTERM, SIGINT).
    End,
    /// Read the configuration again (SIGHUP).
    Reload,
    /// Print the counters (SIGUSR1).
    Counters,
}

/// The signals that the program handles.
pub struct Signals {
    pipes: Vec<(Watched<UnixStream>, Asked)>,
}

impl Signals {
    /// Takes the signals over.
    pub fn take(poll: &mut Poll) -> io::Result<Self> {
        let mut pipes = Vec::new();
        let signals = [
            (SIGTERM, Asked::End),
            (SIGINT, Asked::End),
            (SIGHUP, Asked::Reload),
            (SIGUSR1, Asked::Counters),
        ];
        for (signal, asked) in signals {
            let (ours, handlers) = UnixStream::pair()?;
            ours.set_nonblocking(true)?;
            pipe::register(signal, handlers)?;
            pipes.push((poll.watch(ours, false)?, asked));
        }
        Ok(Signals { pipes })
    }

    /// What a token that is ready asks for, if it is a signal's.
    pub fn asked(&self, token: Token) -> Option<Asked> {
        let (pipe, asked) = self.pipes.iter().find(|p| p.0.token() == token)?;
        let mut bytes = [0; 64];
        let mut source = pipe.source();
        while matches!(source.read(&mut bytes), Ok(n) if n > 0) {}
        Some(*asked)
    }
}
