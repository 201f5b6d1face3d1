//! Descriptors that a director inherits from the test process.
use rustix::io::{FdFlags, fcntl_setfd};
use std::net::TcpListener;
use std::sync::{Mutex, PoisonError};

/// Starts a process that inherits `socket`, if there is one. Only one process is started at a time: another
/// one started meanwhile, by a test that runs beside this one, would inherit the socket as well.
pub fn start_with<T>(socket: Option<&TcpListener>, start: impl FnOnce() -> T) -> T {
    static STARTING: Mutex<()> = Mutex::new(());
    let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    let set_flags = |flags| socket.into_iter().for_each(|s| fcntl_setfd(s, flags).expect("flags are set"));
    set_flags(FdFlags::empty());
    let started = start();
    set_flags(FdFlags::CLOEXEC);
    started
}
