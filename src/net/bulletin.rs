//! The connection to the bulletin: resumed where it broke off, given up when it falls silent.
use super::component::{Component, Ready};
use super::connection::{Connection, ReadOutcome};
use super::poll::Token;
use super::shared::{Deadline, Event, Shared};
use crate::director::Director;
use crate::interface::Micros;
use crate::platform::MESSAGE_MAX;
use crate::platform::bulletin::{self, Notice};
use slog::{debug, info, warn};
use std::net::SocketAddr;

/// The bulletin writes every second; silent for this long it is taken for broken.
const SILENT_US: Micros = 1_800_000;
/// A connection must be up by then.
const DIAL_US: Micros = 500_000;
const BACK_OFF_US: Micros = 50_000;
const BACK_OFF_MOST_US: Micros = 1_000_000;
/// The longest line: a whole list of a large fleet.
const LINE_MOST: usize = 64 * MESSAGE_MAX;

/// Why a line ends the connection that it came on.
#[derive(Debug, thiserror::Error)]
enum LineError {
    #[error("events were left out; they are asked for again")]
    Gap,
    #[error("{0}; it is asked for again")]
    Unreadable(bulletin::BulletinError),
}

/// The bulletin as this director follows it.
pub struct Bulletin {
    address: SocketAddr,
    line: Option<Connection>,
    up: bool,
    last: u64,
    /// By when something must be heard, or when to connect again.
    due: Micros,
    back_off: Micros,
}

impl Bulletin {
    /// Follows the bulletin at an address from after an event.
    pub fn new(address: SocketAddr, last: u64) -> Self {
        Bulletin { address, line: None, up: false, last, due: 0, back_off: BACK_OFF_US }
    }

    /// Follows the bulletin at another address from here on, beginning after the last event heard.
    pub fn follow(&mut self, shared: &mut Shared, address: SocketAddr) {
        if address == self.address {
            return;
        }
        info!(shared.log, "the bulletin has moved"; "to" => %address, "after" => self.last);
        (self.address, self.line, self.back_off) = (address, None, BACK_OFF_US);
        self.due = shared.now;
        self.look(shared);
    }

    /// Looks after the connection when a deadline of it has come.
    pub fn look(&mut self, shared: &mut Shared) {
        if shared.now < self.due {
            return; // something was heard meanwhile
        }
        if self.line.is_some() {
            return self.broke(shared, "silent");
        }
        match Connection::connect(&mut shared.poll, self.address) {
            Ok(line) => {
                (self.line, self.up) = (Some(line), false);
                self.expect(shared, DIAL_US);
            }
            Err(why) => self.broke(shared, &why.to_string()),
        }
    }

    fn expect(&mut self, shared: &mut Shared, within: Micros) {
        self.due = shared.now.saturating_add(within);
        shared.deadlines.set(self.due, Deadline::Discovery);
    }

    fn broke(&mut self, shared: &mut Shared, why: &str) {
        shared.counters.bulletin_breaks += 1;
        warn!(shared.log, "bulletin broke off: {why}"; "after" => self.last);
        self.line = None;
        let wait = self.back_off;
        self.back_off = (wait * 2).min(BACK_OFF_MOST_US);
        self.expect(shared, wait);
    }

    /// Reads and writes its connection; returns the new events, in order and each once.
    fn exchange(&mut self, shared: &mut Shared, Ready { readable, writable, .. }: Ready) -> Vec<Notice> {
        let Some(line) = self.line.as_mut() else { return Vec::new() };
        if writable && !self.up {
            if let Err(why) = line.connect_result() {
                self.broke(shared, &why.to_string());
                return Vec::new();
            }
            self.up = true;
            line.queue(&bulletin::ask_after(self.last));
            self.expect(shared, SILENT_US);
        }
        let Some(line) = self.line.as_mut() else { return Vec::new() };
        if writable && let Err(why) = line.write() {
            self.broke(shared, &why.to_string());
            return Vec::new();
        }
        if !readable {
            return Vec::new();
        }
        let got = line.read();
        let (lines, endless) = line.take_messages(whole_line);
        if !lines.is_empty() {
            self.expect(shared, SILENT_US);
        }
        let mut news = Vec::new();
        for text in lines.iter().filter(|l| !l.is_empty()) {
            match self.accept(shared, text) {
                Ok(notice) => news.extend(notice),
                Err(why) => {
                    self.broke(shared, &why.to_string());
                    return news;
                }
            }
        }
        match got {
            _ if endless.is_some() => {
                shared.counters.malformed += 1;
                self.broke(shared, "an endless line");
            }
            Ok(ReadOutcome::Open) => {}
            Ok(ReadOutcome::Eof) => self.broke(shared, "closed"),
            Err(why) => self.broke(shared, &why.to_string()),
        }
        news
    }
}

impl Bulletin {
    /// Takes one line: an event that comes next, or nothing where there is none in it. Only what moves on or
    /// confirms the last number shortens the wait before the next connection: a source that goes on with what
    /// is of no use is not asked again and again at once.
    fn accept(&mut self, shared: &mut Shared, text: &[u8]) -> Result<Option<Notice>, LineError> {
        let notice = match bulletin::read(text) {
            Ok(bulletin::Line::Last(last)) if last > self.last => return Err(LineError::Gap),
            Ok(bulletin::Line::Last(_)) => None,
            Ok(bulletin::Line::Notice(notice)) if notice.no <= self.last => {
                debug!(shared.log, "an event came twice"; "no" => notice.no);
                return Ok(None);
            }
            // A whole list stands for all events before it.
            Ok(bulletin::Line::Notice(notice)) if notice.no > self.last + 1 && !notice.is_whole() => {
                return Err(LineError::Gap);
            }
            Ok(bulletin::Line::Notice(notice)) => Some(notice),
            Err(why) => {
                shared.counters.malformed += 1;
                return Err(LineError::Unreadable(why));
            }
        };
        self.last = notice.as_ref().map_or(self.last, |notice| notice.no);
        self.back_off = BACK_OFF_US;
        Ok(notice)
    }
}

impl Component for Bulletin {
    fn owns(&self, token: Token) -> bool {
        self.line.as_ref().is_some_and(|l| l.token() == token)
    }

    fn on_ready(&mut self, shared: &mut Shared, _: &Director, ready: Ready) {
        let news = self.exchange(shared, ready);
        shared.events.extend(news.into_iter().map(Event::Discovery));
    }

    fn on_deadline(&mut self, shared: &mut Shared, _: &Director, deadline: Deadline) -> bool {
        let own = deadline == Deadline::Discovery;
        if own {
            self.look(shared);
        }
        own
    }
}

fn whole_line(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, ()> {
    match bytes.iter().position(|b| *b == b'\n') {
        Some(end) => Ok(Some((bytes.get(..end).unwrap_or_default().to_vec(), end + 1))),
        None if bytes.len() > LINE_MOST => Err(()),
        None => Ok(None),
    }
}
