//! A toy world for a first try: `serve` plays one streamer and the bulletin, `watch` one viewer. It keeps to
//! the addresses of `examples/config.json`, all on the loopback.
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const DIRECTOR: &str = "127.0.0.1:2905";
const STREAMER: &str = "127.0.0.1:5554";
const BULLETIN: &str = "127.0.0.1:8500";
const PLAYS: Duration = Duration::from_secs(3);

fn main() -> io::Result<()> {
    match std::env::args().nth(1).as_deref() {
        Some("serve") => serve(),
        Some("watch") => watch(std::env::args().nth(2).as_deref().unwrap_or("seat-view")),
        _ => {
            eprintln!("usage: toy serve | toy watch [seat-view|replay]");
            Ok(())
        }
    }
}

fn serve() -> io::Result<()> {
    let bulletin = TcpListener::bind(BULLETIN)?;
    thread::spawn(move || {
        for mut stream in bulletin.incoming().flatten() {
            // Nothing ever changes in this world: the last number alone, every second.
            thread::spawn(move || {
                while stream.write_all(b"1\n").is_ok() {
                    thread::sleep(Duration::from_secs(1))
                }
            });
        }
    });
    for stream in TcpListener::bind(STREAMER)?.incoming() {
        let stream = stream?;
        thread::spawn(move || println!("streamer: connection closed ({:?})", stream_to(stream)));
    }
    Ok(())
}

/// Answers each set-up, ends its session after a while, and reports a load.
fn stream_to(stream: TcpStream) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?);
    loop {
        let (mut first, mut session, mut cseq, mut length) = (String::new(), String::new(), String::new(), 0);
        if lines.read_line(&mut first)? == 0 {
            return Ok(());
        }
        loop {
            let mut line = String::new();
            lines.read_line(&mut line)?;
            let Some((name, value)) = line.trim().split_once(": ") else { break };
            match name {
                "Session" => session = value.to_owned(),
                "CSeq" => cseq = value.to_owned(),
                "Content-Length" => length = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        lines.read_exact(&mut vec![0; length])?;
        println!("streamer: {} for session {session}", first.trim());
        let answer = |more: &str, body: &str| {
            let length = body.len();
            let head = format!("RTSP/1.0 200 OK\r\nCSeq: {cseq}\r\nSession: {session}\r\n{more}");
            format!("{head}Content-Length: {length}\r\n\r\n{body}")
        };
        let mut out = stream.try_clone()?;
        if first.starts_with("OPTIONS") {
            out.write_all(answer("P-Load: util:0.2;x1:0.2\r\n", "").as_bytes())?;
        } else if first.starts_with("SETUP") {
            out.write_all(answer("", "c=IN IP4 127.0.0.1\r\nm=video 31000 RTP/AVP 96\r\n").as_bytes())?;
            thread::spawn(move || {
                thread::sleep(PLAYS);
                let end = "TEARDOWN rtsp://media/session RTSP/1.0\r\nCSeq: 2\r\nReason: cause=16\r\n";
                let _ = write!(out, "{end}Session: {session}\r\nContent-Length: 0\r\n\r\n");
            });
        }
    }
}

/// Asks for one session and tells what the director says of it.
fn watch(class: &str) -> io::Result<()> {
    let mut director = TcpStream::connect(DIRECTOR)?;
    let id = std::process::id().to_be_bytes();
    let session = [[0, 0, 0, 1], id].concat();
    let figures = b"home:0;copies:1;top:1;viewer:0000000000000001".to_vec();
    let mut body = [vec![1], session].concat();
    for (code, value) in [(16, class.into()), (19, b"3000".to_vec()), (28, b"7f3a".to_vec()), (31, figures)] {
        body.push(code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(value);
    }
    director.write_all(&[&(body.len() as u16).to_be_bytes()[..], &body].concat())?;
    loop {
        let mut length = [0; 2];
        director.read_exact(&mut length)?;
        let mut said = vec![0; usize::from(u16::from_be_bytes(length))];
        director.read_exact(&mut said)?;
        match (said.first(), said.get(12)) {
            (Some(9), _) => println!("viewer: it plays: {:?}", String::from_utf8_lossy(&said[12..])),
            (Some(12), cause) => {
                println!("viewer: released, cause {cause:?}");
                return Ok(());
            }
            other => println!("viewer: heard {other:?}"),
        }
    }
}
