//! Streamers: RTSP on threads, every message noted, answers by plan.
#![allow(dead_code)]
use crate::rig::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// One answer to a set-up: after how many milliseconds, and with which status.
pub type Reply = (u64, u16);

/// What a streamer saw: time, what, session, number of its connection, first line of the message.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Order over all streamers.
    pub order: u64,
    pub at: u64,
    pub what: &'static str,
    pub session: String,
    pub connection: u64,
    pub line: String,
}

fn next_order() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::SeqCst)
}

#[derive(Default)]
pub struct Book {
    pub seen: Vec<Seen>,
    /// Sessions that stand.
    pub standing: BTreeSet<String>,
    /// Set-ups that are not answered yet, with their connection.
    pub pending: BTreeMap<String, u64>,
    pub set_ups: BTreeMap<String, u32>,
    connections: BTreeMap<u64, TcpStream>,
}

/// A streamer: `plan` gives the answers to the n-th set-up (from 0) of a session.
pub struct Streamer {
    pub id: String,
    pub address: SocketAddr,
    pub book: Arc<Mutex<Book>>,
    open: Arc<AtomicBool>,
}

type Plan = Arc<dyn Fn(&str, u32, &str) -> Vec<Reply> + Send + Sync>;

impl Streamer {
    pub fn start(id: &str, listener: TcpListener, plan: Plan) -> Streamer {
        let (address, book) = (address_of(&listener), Arc::new(Mutex::new(Book::default())));
        let open = Arc::new(AtomicBool::new(true));
        let (id, books, serving) = (id.to_owned(), Arc::clone(&book), Arc::clone(&open));
        let name = id.clone();
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            static NEXT: AtomicU64 = AtomicU64::new(1);
            while serving.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(2);
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                let number = NEXT.fetch_add(1, Ordering::SeqCst);
                let (name, books, plan) = (name.clone(), Arc::clone(&books), Arc::clone(&plan));
                if let Ok(copy) = stream.try_clone() {
                    books.lock().expect("book").connections.insert(number, copy);
                }
                thread::spawn(move || serve(&name, number, stream, &books, &plan));
            }
        });
        Streamer { id, address, book, open }
    }

    /// Ends the process that this stands for: it takes no connections, and its sessions are cut.
    pub fn end(&self) {
        self.open.store(false, Ordering::SeqCst);
        sleep_ms(20);
        let mut book = self.book.lock().expect("book");
        book.connections.values().for_each(|c| {
            let _ = c.shutdown(std::net::Shutdown::Both);
        });
        book.standing.clear();
    }

    pub fn standing(&self) -> BTreeSet<String> {
        self.book.lock().expect("book").standing.clone()
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.book.lock().expect("book").seen.clone()
    }
}

fn serve(name: &str, number: u64, mut stream: TcpStream, books: &Arc<Mutex<Book>>, plan: &Plan) {
    let mut buffer = Vec::new();
    while let Some((line, fields, body)) = read_rtsp(&mut stream, &mut buffer) {
        let session = fields.get("session").cloned().unwrap_or_default();
        let what = match line.split(' ').next().unwrap_or_default() {
            "SETUP" => "SETUP",
            "TEARDOWN" => "TEARDOWN",
            "OPTIONS" => "OPTIONS",
            "SET_PARAMETER" => "SET_PARAMETER",
            _ => "other",
        };
        let mut book = books.lock().expect("book");
        let seen = Seen {
            order: next_order(),
            at: now_ms(),
            what,
            session: session.clone(),
            connection: number,
            line: line.clone(),
        };
        book.seen.push(seen);
        if what != "OPTIONS" {
            let class = fields.get("priority-class").cloned().unwrap_or_default();
            let rung = fields.get("x-quality").map(|q| format!(" rung {q}")).unwrap_or_default();
            note(&format!("{name} <- connection {number}: {line} session {session} {class}{rung}"));
        }
        match what {
            "SETUP" => {
                let count = book.set_ups.entry(session.clone()).or_default();
                let replies = plan(&session, *count, &line);
                *count += 1;
                book.pending.insert(session.clone(), number);
                let Ok(copy) = stream.try_clone() else { return };
                let (name, books) = (name.to_owned(), Arc::clone(books));
                thread::spawn(move || reply(&name, number, copy, &books, &session, &replies, body.len()));
            }
            "TEARDOWN" => {
                book.pending.remove(&session);
                book.standing.remove(&session);
                let _ = write!(
                    stream,
                    "RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n"
                );
            }
            "OPTIONS" => {
                let load = "P-Load: util:0.2;x1:0.2\r\n";
                let _ = write!(
                    stream,
                    "RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: {session}\r\n{load}Content-Length: 0\r\n\r\n"
                );
            }
            _ => {}
        }
    }
    // The set-ups that are open on a connection that ends are given up.
    let mut book = books.lock().expect("book");
    book.pending.retain(|_, on| *on != number);
    book.connections.remove(&number);
    note(&format!("{name}: connection {number} has ended"));
}

fn reply(
    name: &str,
    number: u64,
    mut stream: TcpStream,
    books: &Mutex<Book>,
    session: &str,
    replies: &[Reply],
    length: usize,
) {
    for (i, (after, status)) in replies.iter().enumerate() {
        sleep_ms(*after);
        let mut book = books.lock().expect("book");
        if i == 0 {
            if book.pending.get(session) != Some(&number) {
                return; // given up meanwhile
            }
            book.pending.remove(session);
        }
        let body = if *status == 200 {
            format!("c=IN IP4 127.0.0.1\r\no={name} {session} {length}\r\n")
        } else {
            String::new()
        };
        if *status == 200 {
            book.standing.insert(session.to_owned());
        }
        let second = if i > 0 { " (the second answer to the same set-up)" } else { "" };
        note(&format!("{name} -> connection {number}: {status} session {session}{second}"));
        book.seen.push(Seen {
            order: next_order(),
            at: now_ms(),
            what: if *status == 200 { "stands" } else { "turned away" },
            session: session.to_owned(),
            connection: number,
            line: status.to_string(),
        });
        let _ = write!(
            stream,
            "RTSP/1.0 {status} X\r\nCSeq: 1\r\nSession: {session}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
    }
}

type Rtsp = (String, BTreeMap<String, String>, Vec<u8>);

fn read_rtsp(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Rtsp> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let fields: BTreeMap<String, String> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(k, v)| (k.trim().to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            let length: usize = fields.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((line, fields, body));
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}
