//! A non-blocking TCP connection with its read and write buffers. Handles partial reads and writes; the bytes
//! read per turn are bounded.
use super::poll::{Poll, Registered, Token};
use super::read_buffer::{FramingError, ReadBuffer, release_excess_capacity};
use crate::platform::framing::Decoder;
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};

/// Most bytes read from one connection per turn, so that no connection delays the others.
const MAX_READ_PER_TURN: usize = 64 * 1024;

/// Result of reading from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The connection is still open; zero or more bytes were read.
    Open,
    /// The peer has shut down its sending side.
    Eof,
}

/// A TCP connection that the event loop polls.
pub struct Connection {
    socket: Registered<TcpStream>,
    read_buffer: ReadBuffer,
    write_buffer: Vec<u8>,
    written: usize,
    /// Total number of bytes queued for writing.
    queued_total: u64,
    /// Total number of bytes read.
    read_total: u64,
    /// Whether it is polled for readability.
    read_interest: bool,
}

impl Connection {
    /// Wraps an established connection.
    pub fn accepted(poll: &mut Poll, stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Connection::new(poll, stream, false)
    }

    /// Begins to connect. The socket becomes writable once the attempt has ended;
    /// [`Connection::connect_result`] then returns its result.
    pub fn connect(poll: &mut Poll, to: SocketAddr) -> io::Result<Self> {
        Connection::connect_from(poll, None, to)
    }

    /// Begins to connect from a given local address.
    pub fn connect_from(poll: &mut Poll, from: Option<IpAddr>, to: SocketAddr) -> io::Result<Self> {
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
        Connection::new(poll, socket.into(), true)
    }

    fn new(poll: &mut Poll, stream: TcpStream, writable: bool) -> io::Result<Self> {
        let socket = poll.register(stream, writable)?;
        Ok(Connection {
            socket,
            read_buffer: ReadBuffer::default(),
            write_buffer: Vec::new(),
            written: 0,
            queued_total: 0,
            read_total: 0,
            read_interest: true,
        })
    }

    /// Returns the result of connecting.
    pub fn connect_result(&mut self) -> io::Result<()> {
        if let Some(why) = self.socket.source().take_error()? {
            return Err(why);
        }
        self.socket.source().peer_addr()?;
        self.socket.set_interest(true, false)
    }

    /// Returns its token.
    pub fn token(&self) -> Token {
        self.socket.token()
    }

    /// Reads the available bytes into the buffer.
    pub fn read(&mut self) -> io::Result<ReadOutcome> {
        let mut chunk = [0; 16 * 1024];
        let mut total = 0;
        while total < MAX_READ_PER_TURN {
            match self.socket.source().read(&mut chunk) {
                Ok(0) => return Ok(ReadOutcome::Eof),
                Ok(n) => {
                    self.read_buffer.extend(chunk.get(..n).unwrap_or_default());
                    total += n;
                    self.read_total += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(ReadOutcome::Open)
    }

    /// Removes complete messages from the read buffer.
    ///
    /// If the bytes can't be decoded, returns the messages before them together with the error.
    pub fn take_messages<D: Decoder>(
        &mut self,
        decoder: &mut D,
    ) -> (Vec<D::Message>, Option<FramingError<D::Error>>) {
        self.read_buffer.take_messages(decoder)
    }

    /// Removes one complete message from the read buffer. Returns `None` if none is complete yet.
    pub fn take_message<D: Decoder>(
        &mut self,
        decoder: &mut D,
    ) -> Result<Option<D::Message>, FramingError<D::Error>> {
        self.read_buffer.take_message(decoder)
    }

    /// Discards the read buffer.
    pub fn discard_read(&mut self) {
        self.read_buffer.clear();
    }

    /// Returns the total number of bytes read so far.
    pub fn read_total(&self) -> u64 {
        self.read_total
    }

    /// Returns whether part of a message has been read.
    pub fn has_partial_message(&self) -> bool {
        !self.read_buffer.is_empty()
    }

    /// Appends bytes to the write buffer.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.write_buffer.extend_from_slice(bytes);
        self.queued_total += bytes.len() as u64;
    }

    /// Returns the total number of bytes queued so far. Compared with [`Connection::written_total`], it tells
    /// which messages have been written.
    pub fn queued_total(&self) -> u64 {
        self.queued_total
    }

    /// Returns the total number of bytes that the operating system has accepted so far.
    pub fn written_total(&self) -> u64 {
        self.queued_total - self.unwritten_len() as u64
    }

    /// Clears the write buffer if no byte of it has been written. Returns whether it did.
    pub fn discard_unsent(&mut self) -> bool {
        let unsent = !self.write_buffer.is_empty() && self.written == 0;
        if unsent {
            self.queued_total -= self.write_buffer.len() as u64;
            self.write_buffer.clear();
        }
        unsent
    }

    /// Sets whether it is polled for readability. Connection errors are reported either way.
    pub fn set_read_interest(&mut self, interest: bool) -> io::Result<()> {
        self.read_interest = interest;
        self.socket.set_interest(interest, self.unwritten_len() > 0)
    }

    /// Returns the number of bytes that are still to be written.
    pub fn unwritten_len(&self) -> usize {
        self.write_buffer.len() - self.written
    }

    /// Shuts down the sending side. What the peer still sends can be read.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.socket.source().shutdown(Shutdown::Write)
    }

    /// Writes as much as the socket accepts. Returns whether the write buffer is empty.
    pub fn write(&mut self) -> io::Result<bool> {
        while self.written < self.write_buffer.len() {
            match self.socket.source().write(self.write_buffer.get(self.written..).unwrap_or_default()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.socket.set_interest(self.read_interest, true)?;
                    return Ok(false);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.write_buffer.clear();
        release_excess_capacity(&mut self.write_buffer);
        self.written = 0;
        self.socket.set_interest(self.read_interest, false)?;
        Ok(true)
    }
}
