//! A stand-in for viewers: connections to the director, set-ups, and what was answered.
use crate::base::Record;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// What a viewer knows of its request.
#[derive(Clone)]
pub struct Request {
    pub sent: Instant,
    /// The answer that the session stands: when, and its description.
    pub served: Option<(Instant, Vec<u8>)>,
    /// Refused (cause) or failed before it stood.
    pub turned_away: Option<(Instant, u8)>,
    /// Over after it stood.
    pub over: Option<Instant>,
    /// Final answers beyond the first.
    pub extra: u32,
}

struct Link {
    stream: TcpStream,
    /// When the director ended it.
    ended: Option<Instant>,
    last_request: Option<Instant>,
}

#[derive(Default)]
struct State {
    links: Vec<Link>,
    requests: BTreeMap<u64, Request>,
}

/// All viewers of a case.
#[derive(Clone)]
pub struct Viewers {
    director: SocketAddr,
    record: Record,
    state: Arc<Mutex<State>>,
}

/// A binary message.
fn message(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(session.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

/// The value of a parameter in the part of a message behind the session.
fn parameter(mut rest: &[u8], wanted: u8) -> Option<Vec<u8>> {
    while rest.len() >= 3 {
        let length = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
        let value = rest.get(3..3 + length)?;
        if rest[0] == wanted {
            return Some(value.to_vec());
        }
        rest = &rest[3 + length..];
    }
    None
}

impl Viewers {
    pub fn new(director: SocketAddr, record: Record) -> Viewers {
        Viewers { director, record, state: Arc::default() }
    }

    /// Opens a connection and reads on it from then on.
    pub fn connect(&self) -> Option<usize> {
        let stream = TcpStream::connect(self.director).ok()?;
        let _ = stream.set_nodelay(true);
        let reader = stream.try_clone().ok()?;
        let mut state = self.state.lock().unwrap();
        let number = state.links.len();
        state.links.push(Link { stream, ended: None, last_request: None });
        let viewers = self.clone();
        thread::spawn(move || viewers.read(reader, number));
        Some(number)
    }

    fn read(&self, mut stream: TcpStream, link: usize) {
        let mut length = [0; 2];
        while stream.read_exact(&mut length).is_ok() {
            let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
            if stream.read_exact(&mut body).is_err() || body.len() < 9 {
                break;
            }
            self.heard(link, &body);
        }
        let mut state = self.state.lock().unwrap();
        state.links[link].ended = Some(Instant::now());
        self.record.say(format!("viewers link {link} was ended by the director"));
        // A sound client closes its side, too.
        let _ = state.links[link].stream.shutdown(std::net::Shutdown::Both);
    }

    fn heard(&self, link: usize, body: &[u8]) {
        let (kind, now) = (body[0], Instant::now());
        let id = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
        let cause = parameter(&body[9..], 58).and_then(|c| c.first().copied()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let Some(request) = state.requests.get_mut(&id) else {
            return self.record.say(format!("viewers link {link} <- type {kind} of unknown {id:016x}"));
        };
        match kind {
            9 => {
                let description = parameter(&body[9..], 61).unwrap_or_default();
                let shown = String::from_utf8_lossy(&description).replace("\r\n", " | ");
                self.record.say(format!("viewers link {link} <- answer {id:016x}: {shown:?}"));
                if request.served.is_some() || request.turned_away.is_some() {
                    request.extra += 1;
                } else {
                    request.served = Some((now, description));
                }
            }
            12 | 51 if request.served.is_some() => {
                self.record.say(format!("viewers link {link} <- over {id:016x}, cause {cause}"));
                request.over = request.over.or(Some(now));
            }
            12 => {
                self.record.say(format!("viewers link {link} <- turned away {id:016x}, cause {cause}"));
                if request.turned_away.is_some() {
                    request.extra += 1;
                }
                request.turned_away = request.turned_away.or(Some((now, cause)));
            }
            _ => {}
        }
    }

    /// Sends a set-up; false where the connection is ended.
    pub fn set_up(&self, link: usize, id: u64, class: &str, title: usize, copies: usize) -> bool {
        let title = format!("{:016x}", 0x7f3a_9c21_0000_0000_u64 + title as u64);
        let figures = format!("home:0;copies:{copies};top:1;viewer:{id:016x}");
        let bytes = message(
            1,
            id,
            &[
                (16, class.as_bytes()),
                (19, b"3000"),
                (28, title.as_bytes()),
                (31, figures.as_bytes()),
                (61, b"offer"),
            ],
        );
        let mut state = self.state.lock().unwrap();
        if state.links[link].ended.is_some() {
            return false;
        }
        let now = Instant::now();
        let request = Request { sent: now, served: None, turned_away: None, over: None, extra: 0 };
        state.requests.insert(id, request);
        state.links[link].last_request = Some(now);
        self.record.say(format!("viewers link {link} -> set-up {id:016x} {class}"));
        state.links[link].stream.write_all(&bytes).is_ok()
    }

    /// Hands a session over that stands at a streamer.
    pub fn hand_over(&self, link: usize, id: u64, class: &str, title: usize, at: &str) -> bool {
        let title = format!("{:016x}", 0x7f3a_9c21_0000_0000_u64 + title as u64);
        let figures = format!("home:0;copies:12;top:1;viewer:{id:016x};at:{at}");
        let bytes = message(
            1,
            id,
            &[
                (16, class.as_bytes()),
                (19, b"3000"),
                (28, title.as_bytes()),
                (31, figures.as_bytes()),
                (61, b"offer"),
            ],
        );
        let mut state = self.state.lock().unwrap();
        self.record.say(format!("viewers link {link} -> set-up {id:016x} {class} at {at}"));
        state.links[link].stream.write_all(&bytes).is_ok()
    }

    pub fn request(&self, id: u64) -> Option<Request> {
        self.state.lock().unwrap().requests.get(&id).cloned()
    }

    pub fn requests(&self) -> BTreeMap<u64, Request> {
        self.state.lock().unwrap().requests.clone()
    }

    /// When the director ended a connection, and when a set-up was last sent on it.
    pub fn link(&self, link: usize) -> (Option<Instant>, Option<Instant>) {
        let state = self.state.lock().unwrap();
        (state.links[link].ended, state.links[link].last_request)
    }
}
