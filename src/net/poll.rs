//! The poller of the event loop, and the only module with unsafe code.
//!
//! `polling` requires its caller to remove a source from the poller before closing it. [`Registered`] owns
//! the source and a reference to the poller, and guarantees this. A descriptor inherited from the platform is
//! also taken over here. The rest of the crate is safe code.
#![allow(unsafe_code)]
use polling::{Event, Events, PollMode, Poller};
use std::io;
use std::net::TcpListener;
use std::os::fd::{AsFd, FromRawFd, RawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Identifies a registered source. Never reused.
pub type Token = usize;

/// The poller of the event loop.
pub struct Poll {
    poller: Arc<Poller>,
    events: Events,
    last_token: Token,
}

impl Poll {
    /// Creates a poller without sources.
    pub fn new() -> io::Result<Self> {
        Ok(Poll { poller: Arc::new(Poller::new()?), events: Events::new(), last_token: 0 })
    }

    /// Polls a source for readability and, if `writable`, for writability until it is dropped.
    pub fn register<S: AsFd>(&mut self, source: S, writable: bool) -> io::Result<Registered<S>> {
        self.last_token += 1;
        let token = self.last_token;
        // SAFETY: `Registered` owns the source, never gives it away or replaces it, and removes it from the
        // poller when dropped, before the source itself is closed. Its `Arc` keeps the poller alive until
        // then.
        unsafe {
            let interest = Event::new(token, true, writable);
            self.poller.add_with_mode(&source.as_fd(), interest, PollMode::Level)?;
        }
        Ok(Registered { source, poller: Arc::clone(&self.poller), token, writable, readable: true })
    }

    /// Returns a handle that wakes the event loop from another thread.
    pub fn waker(&self) -> Waker {
        Waker(Arc::clone(&self.poller))
    }

    /// Waits until a source is ready, but for at most `timeout`. Returns token, readability and writability
    /// of each ready source.
    pub fn wait(&mut self, timeout: Option<Duration>) -> io::Result<Vec<(Token, bool, bool)>> {
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
            Ok(_) => Ok(self.events.iter().map(|e| (e.key, e.readable, e.writable)).collect()),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(Vec::new()),
            Err(e) => Err(e),
        }
    }
}

/// Takes over a listening socket that the platform opened and passes down by descriptor number.
///
/// This succeeds only once per process, since two owners would close the descriptor twice. Fails if it is not
/// a listening socket.
pub fn inherit_listener(fd: RawFd) -> io::Result<TcpListener> {
    static INHERITED: AtomicBool = AtomicBool::new(false);
    if fd <= 2 || INHERITED.swap(true, Ordering::AcqRel) {
        return Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "it is a standard stream or has been taken over already",
        ));
    }
    // SAFETY: the platform gives this descriptor to the process permanently, nothing else in the process uses
    // its number (the standard streams are excluded above), and it is taken over only once.
    let listener = unsafe { TcpListener::from_raw_fd(fd) };
    match socket2::SockRef::from(&listener).is_listener() {
        Ok(true) => Ok(listener),
        Ok(false) => Err(io::Error::new(io::ErrorKind::InvalidInput, "it is not a listening socket")),
        Err(why) => {
            let _ = std::os::fd::IntoRawFd::into_raw_fd(listener); // not owned by this process: left open
            Err(why)
        }
    }
}

/// Wakes the event loop from another thread.
pub struct Waker(Arc<Poller>);

impl Waker {
    /// Makes the current or next wait return at once.
    pub fn wake(&self) {
        let _ = self.0.notify(); // on failure the loop still wakes by itself a little later
    }
}

/// A source that stays registered with the poller until this is dropped.
pub struct Registered<S: AsFd> {
    source: S,
    poller: Arc<Poller>,
    token: Token,
    readable: bool,
    writable: bool,
}

impl<S: AsFd> Registered<S> {
    /// Returns its token.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Returns the source.
    pub fn source(&self) -> &S {
        &self.source
    }

    /// Sets the readiness that it is polled for.
    pub fn set_interest(&mut self, readable: bool, writable: bool) -> io::Result<()> {
        if (readable, writable) == (self.readable, self.writable) {
            return Ok(());
        }
        (self.readable, self.writable) = (readable, writable);
        let interest = Event::new(self.token, readable, writable);
        self.poller.modify_with_mode(self.source.as_fd(), interest, PollMode::Level)
    }
}

impl<S: AsFd> Drop for Registered<S> {
    fn drop(&mut self) {
        let _ = self.poller.delete(self.source.as_fd()); // fails only if it is gone already
    }
}
