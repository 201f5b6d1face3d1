//! A connection's socket with its buffers: partial reads and writes, bounded on both sides.
use super::poll::{Poll, Token, Watched};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};

/// Bytes read from one connection in one turn at most, so that none keeps the others waiting.
const READ_MOST: usize = 64 * 1024;

/// What an idle buffer may keep.
const KEPT: usize = 4 * 1024;

/// What reading brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    /// Perhaps more bytes; the connection goes on.
    Bytes,
    /// The peer has closed its side in order.
    End,
}

/// A connection.
pub struct Line {
    socket: Watched<TcpStream>,
    inbox: Vec<u8>,
    outbox: Vec<u8>,
    written: usize,
    /// Bytes ever added to what is to be written.
    put_total: u64,
    /// Bytes ever read.
    read_total: u64,
    /// It is watched for what comes.
    reads: bool,
}

impl Line {
    /// Takes a connection that is up.
    pub fn accepted(poll: &mut Poll, stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Line::new(poll, stream, false)
    }

    /// Begins to connect; readiness to write tells when that is over, [`Line::outcome`] how.
    pub fn dial(poll: &mut Poll, to: SocketAddr) -> io::Result<Self> {
        Line::dial_from(poll, None, to)
    }

    /// The same, from an address of this machine.
    pub fn dial_from(poll: &mut Poll, from: Option<IpAddr>, to: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        if let Some(from) = from {
            socket.bind(&SocketAddr::new(from, 0).into())?;
        }
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e) if Errno::from_io_error(&e) == Some(Errno::INPROGRESS) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Line::new(poll, socket.into(), true)
    }

    fn new(poll: &mut Poll, stream: TcpStream, writable: bool) -> io::Result<Self> {
        let socket = poll.watch(stream, writable)?;
        Ok(Line {
            socket,
            inbox: Vec::new(),
            outbox: Vec::new(),
            written: 0,
            put_total: 0,
            read_total: 0,
            reads: true,
        })
    }

    /// How the connecting ended.
    pub fn outcome(&mut self) -> io::Result<()> {
        if let Some(why) = self.socket.source().take_error()? {
            return Err(why);
        }
        self.socket.source().peer_addr()?;
        self.socket.interest(true, false)
    }

    /// Its token.
    pub fn token(&self) -> Token {
        self.socket.token()
    }

    /// Reads what has come.
    pub fn read(&mut self) -> io::Result<Got> {
        let mut chunk = [0; 16 * 1024];
        let mut total = 0;
        while total < READ_MOST {
            match self.socket.source().read(&mut chunk) {
                Ok(0) => return Ok(Got::End),
                Ok(n) => {
                    self.inbox.extend_from_slice(chunk.get(..n).unwrap_or_default());
                    total += n;
                    self.read_total += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(Got::Bytes)
    }

    /// Takes whole messages off what has been read, one at a time, with `parse`; also those ahead of what
    /// can't be read, and why that can't.
    pub fn take<M, E>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<(M, usize)>, E>,
    ) -> (Vec<M>, Option<E>) {
        let (mut messages, mut at) = (Vec::new(), 0);
        let bad = loop {
            match parse(self.inbox.get(at..).unwrap_or_default()) {
                Ok(Some((message, length))) => {
                    messages.push(message);
                    at += length;
                }
                Ok(None) => break None,
                Err(e) => break Some(e),
            }
        };
        self.inbox.drain(..at.min(self.inbox.len()));
        shrink(&mut self.inbox);
        (messages, bad)
    }

    /// Takes one whole message off what has been read, with `parse`; `None` where none is whole yet.
    pub fn take_one<M, E>(
        &mut self,
        parse: impl FnOnce(&[u8]) -> Result<Option<(M, usize)>, E>,
    ) -> Result<Option<M>, E> {
        Ok(parse(&self.inbox)?.map(|(message, length)| {
            self.inbox.drain(..length.min(self.inbox.len()));
            message
        }))
    }

    /// Drops what has been read.
    pub fn discard(&mut self) {
        self.inbox.clear();
        shrink(&mut self.inbox);
    }

    /// Bytes that have been read so far.
    pub fn read_total(&self) -> u64 {
        self.read_total
    }

    /// Whether part of a message has been read.
    pub fn partial(&self) -> bool {
        !self.inbox.is_empty()
    }

    /// Adds bytes to what is to be written.
    pub fn put(&mut self, bytes: &[u8]) {
        self.outbox.extend_from_slice(bytes);
        self.put_total += bytes.len() as u64;
    }

    /// Bytes ever added to what is to be written; with [`Line::written_total`] it tells what has left.
    pub fn put_total(&self) -> u64 {
        self.put_total
    }

    /// Bytes that the machine has taken so far.
    pub fn written_total(&self) -> u64 {
        self.put_total - self.unwritten() as u64
    }

    /// Takes back what was added last, if not a byte of it has been written.
    pub fn take_back(&mut self) -> bool {
        let whole = !self.outbox.is_empty() && self.written == 0;
        if whole {
            self.put_total -= self.outbox.len() as u64;
            self.outbox.clear();
        }
        whole
    }

    /// Sets whether it is watched for what comes. Its break is told all the same.
    pub fn watch_reads(&mut self, reads: bool) -> io::Result<()> {
        self.reads = reads;
        self.socket.interest(reads, self.unwritten() > 0)
    }

    /// Bytes that are still to be written.
    pub fn unwritten(&self) -> usize {
        self.outbox.len() - self.written
    }

    /// Ends this side in order; what the peer still sends can be read.
    pub fn finish(&self) -> io::Result<()> {
        self.socket.source().shutdown(Shutdown::Write)
    }

    /// Writes as much as the socket takes; tells whether all is written.
    pub fn write(&mut self) -> io::Result<bool> {
        while self.written < self.outbox.len() {
            match self.socket.source().write(self.outbox.get(self.written..).unwrap_or_default()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.socket.interest(self.reads, true)?;
                    return Ok(false);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.outbox.clear();
        shrink(&mut self.outbox);
        self.written = 0;
        self.socket.interest(self.reads, false)?;
        Ok(true)
    }
}

/// Gives back what a burst has left a buffer with.
fn shrink(buffer: &mut Vec<u8>) {
    if buffer.capacity() > KEPT && buffer.len() <= KEPT {
        buffer.shrink_to(KEPT);
    }
}
