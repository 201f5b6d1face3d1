//! The one place with unsafe code: `polling` leaves it to its caller that a source is taken out of the
//! poller before it is closed. [`Registered`] owns both sides and sees to that. A descriptor that the
//! platform hands down is taken over here, too; the rest of the crate is safe.
#![allow(unsafe_code)]
use polling::{Event, Events, PollMode, Poller};
use std::io;
use std::net::TcpListener;
use std::os::fd::{AsFd, FromRawFd, RawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Names a watched source; never given out twice.
pub type Token = usize;

/// The poller of the loop.
pub struct Poll {
    poller: Arc<Poller>,
    events: Events,
    last_token: Token,
}

impl Poll {
    /// A poller that watches nothing yet.
    pub fn new() -> io::Result<Self> {
        Ok(Poll { poller: Arc::new(Poller::new()?), events: Events::new(), last_token: 0 })
    }

    /// Watches a source for readiness to read and, where wanted, to write, until it is dropped.
    pub fn register<S: AsFd>(&mut self, source: S, writable: bool) -> io::Result<Registered<S>> {
        self.last_token += 1;
        let token = self.last_token;
        // SAFETY: `Registered` owns the source, never gives it away or replaces it, and takes it out of the
        // poller when dropped, before the source itself is closed; the poller lives as long, by its `Arc`.
        unsafe {
            let interest = Event::new(token, true, writable);
            self.poller.add_with_mode(&source.as_fd(), interest, PollMode::Level)?;
        }
        Ok(Registered { source, poller: Arc::clone(&self.poller), token, writable, readable: true })
    }

    /// What wakes the loop from another thread.
    pub fn waker(&self) -> Waker {
        Waker(Arc::clone(&self.poller))
    }

    /// Waits until something is ready, at most `most`, and returns what: token, readable, writable.
    pub fn wait(&mut self, timeout: Option<Duration>) -> io::Result<Vec<(Token, bool, bool)>> {
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
            Ok(_) => Ok(self.events.iter().map(|e| (e.key, e.readable, e.writable)).collect()),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(Vec::new()),
            Err(e) => Err(e),
        }
    }
}

/// Takes over a listening socket that the platform opened and hands down by number; once in a process, since
/// two owners would close it twice. An error where it is none.
pub fn inherit_listener(fd: RawFd) -> io::Result<TcpListener> {
    static INHERITED: AtomicBool = AtomicBool::new(false);
    if fd <= 2 || INHERITED.swap(true, Ordering::AcqRel) {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "it can't be taken over"));
    }
    // SAFETY: the platform leaves this descriptor to the process for good, nothing else here knows its number
    // (the standard streams are excluded above), and it is taken over only once.
    let listener = unsafe { TcpListener::from_raw_fd(fd) };
    match socket2::SockRef::from(&listener).is_listener() {
        Ok(true) => Ok(listener),
        Ok(false) => Err(io::Error::new(io::ErrorKind::InvalidInput, "it does not listen")),
        Err(why) => {
            let _ = std::os::fd::IntoRawFd::into_raw_fd(listener); // not ours: left open
            Err(why)
        }
    }
}

/// Wakes the loop from another thread.
pub struct Waker(Arc<Poller>);

impl Waker {
    /// The next wait, or the one under way, ends at once.
    pub fn wake(&self) {
        let _ = self.0.notify(); // the loop wakes by itself a little later
    }
}

/// A source that the poller watches for as long as this lives.
pub struct Registered<S: AsFd> {
    source: S,
    poller: Arc<Poller>,
    token: Token,
    readable: bool,
    writable: bool,
}

impl<S: AsFd> Registered<S> {
    /// Its token.
    pub fn token(&self) -> Token {
        self.token
    }

    /// The source.
    pub fn source(&self) -> &S {
        &self.source
    }

    /// Sets what it is watched for.
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
        let _ = self.poller.delete(self.source.as_fd()); // it may have failed already; then nothing is left
    }
}
