//! One direction of a connection through a relay: what is read waits as its link demands, then is written.
use super::{CHUNK, Damage, Engine, Pair, RETRANSMIT, WAITING_MOST};
use mio::net::TcpStream;
use mio::{Interest, Token};
use socket2::{Domain, Socket, Type};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

impl Engine {
    /// Connects to a target under the address of who comes, where it has one, so that the target sees who.
    pub(super) fn dial(&mut self, from: &str, target: SocketAddr, token: usize) -> Option<TcpStream> {
        let own = {
            let shared = self.told.lock().unwrap_or_else(|p| p.into_inner());
            shared.sources.iter().find(|(_, name)| *name == from).map(|(ip, _)| *ip)
        };
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        if let Some(ip) = own {
            socket.bind(&SocketAddr::new(ip, 0).into()).ok()?;
        }
        socket.set_nonblocking(true).ok()?;
        match socket.connect(&target.into()) {
            Err(why) if why.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return None;
            }
            _ => {}
        }
        let mut far = TcpStream::from_std(socket.into());
        let _ = far.set_nodelay(true);
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut far, Token(token), both).ok()?;
        Some(far)
    }

    /// Reads from one side and writes what is due to the other; false where the connection is broken.
    pub(super) fn carry(&mut self, pair: &mut Pair, side: usize, damage: &Damage) -> bool {
        if damage.cut {
            return true; // neither read nor written: what is up stays up, and silent
        }
        let now = Instant::now();
        let [from, to] = {
            let [a, b] = &mut pair.streams;
            if side == 0 { [a, b] } else { [b, a] }
        };
        let (Some(from), Some(to)) = (from.as_mut(), to.as_mut()) else { return true };
        let way = &mut pair.ways[side];
        while pair.readable[side] && !way.ended && way.bytes < WAITING_MOST {
            let mut chunk = [0; CHUNK];
            match from.read(&mut chunk) {
                Ok(0) => way.ended = true,
                Ok(n) => {
                    let lost = damage.loss > 0.0 && self.chance() < damage.loss;
                    let jitter = damage.jitter.mul_f64(self.chance());
                    let wait = damage.delay + jitter + if lost { RETRANSMIT } else { Duration::ZERO };
                    let at = (now + wait).max(way.last.unwrap_or(now));
                    way.last = Some(at);
                    way.waiting.push_back((at, chunk[..n].to_vec()));
                    way.bytes += n;
                }
                Err(why) if why.kind() == io::ErrorKind::WouldBlock => pair.readable[side] = false,
                Err(why) if why.kind() == io::ErrorKind::NotConnected => pair.readable[side] = false,
                Err(why) if why.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        let mut allowed = usize::MAX;
        if damage.bytes_per_s > 0.0 {
            let (since, passed) = way.paced.get_or_insert((now, 0.0));
            let budget = since.elapsed().as_secs_f64() * damage.bytes_per_s - *passed;
            allowed = budget.max(0.0) as usize;
        } else {
            way.paced = None;
        }
        while let Some((at, bytes)) = way.waiting.front_mut() {
            if *at > now || allowed == 0 {
                break;
            }
            let most = bytes.len().min(allowed);
            match to.write(&bytes[..most]) {
                Ok(n) => {
                    way.bytes -= n;
                    allowed = allowed.saturating_sub(n);
                    way.paced.iter_mut().for_each(|p| p.1 += n as f64);
                    bytes.drain(..n);
                    if bytes.is_empty() {
                        way.waiting.pop_front();
                    }
                }
                Err(why) if why.kind() == io::ErrorKind::WouldBlock => break,
                Err(why) if why.kind() == io::ErrorKind::NotConnected => break,
                Err(why) if why.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        if way.ended && way.waiting.is_empty() {
            let _ = to.shutdown(std::net::Shutdown::Write); // it may be closed already
        }
        true
    }
}
