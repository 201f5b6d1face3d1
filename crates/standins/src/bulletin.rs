//! The bulletin: tells numbered events to whoever asks for those after a number.
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A bulletin with what it has told so far. It serves until the process ends.
pub struct Bulletin {
    /// Where it listens.
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<(u64, String)>>>,
    silent: Arc<AtomicBool>,
}

impl Bulletin {
    /// A bulletin whose last known event has a number.
    pub fn start(known: u64) -> Bulletin {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let events = Arc::new(Mutex::new(Vec::new()));
        let told = Arc::clone(&events);
        let silent = Arc::new(AtomicBool::new(false));
        let mute = Arc::clone(&silent);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (told, mute) = (Arc::clone(&told), Arc::clone(&mute));
                thread::spawn(move || {
                    let mut line = String::new();
                    let mut reader = BufReader::new(stream);
                    let _ = reader.read_line(&mut line);
                    let mut after: u64 = line.trim().trim_start_matches("after ").parse().unwrap_or(known);
                    let mut stream = reader.into_inner();
                    loop {
                        if mute.load(Ordering::SeqCst) {
                            thread::sleep(Duration::from_millis(20));
                            continue;
                        }
                        let news: Vec<(u64, String)> = told.lock().expect("held").clone();
                        for (no, text) in news {
                            if no <= after {
                                continue;
                            }
                            if writeln!(stream, "{text}").is_err() {
                                return;
                            }
                            after = no;
                        }
                        if writeln!(stream, "{after}").is_err() {
                            return;
                        }
                        thread::sleep(Duration::from_millis(50));
                    }
                });
            }
        });
        Bulletin { address, events, silent }
    }

    /// Says nothing on any connection, or goes on.
    pub fn silence(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Tells an event: members as JSON objects, not the whole list.
    pub fn tell(&self, no: u64, members: &[String]) {
        let members = members.join(",");
        let text =
            format!(r#"{{"no":{no},"roster":{{"revision":{no},"complete":false,"members":[{members}]}}}}"#);
        self.events.lock().expect("held").push((no, text));
    }
}
