//! The viewers' side: binary messages, and the settings of a small deployment.
#![allow(dead_code)]
use crate::rig::{cannot_run, note, now_ms};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connection of viewers to a director.
pub struct Viewer {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    pub closed: bool,
}

/// A message from a director.
#[derive(Clone, Debug)]
pub struct Message {
    pub kind: u8,
    pub session: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
    pub at: u64,
}

impl Message {
    pub fn parameter(&self, code: u8) -> Option<Vec<u8>> {
        self.parameters.iter().find(|p| p.0 == code).map(|p| p.1.clone())
    }

    /// The message in words.
    pub fn words(&self) -> String {
        let cause = self.parameter(58).and_then(|c| c.first().copied());
        match (self.kind, cause) {
            (9, _) => "answer: the session stands".into(),
            (12, Some(34 | 42 | 102)) => {
                format!("cause {} (refused, trying again is harmless)", cause.unwrap_or(0))
            }
            (12, Some(c)) => format!("release or failure, cause {c}"),
            (kind, _) => format!("type {kind}"),
        }
    }
}

impl Viewer {
    pub fn connect(to: SocketAddr) -> Option<Viewer> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Viewer { stream, buffer: Vec::new(), closed: false })
    }

    pub fn must_connect(to: SocketAddr) -> Viewer {
        Viewer::connect(to).unwrap_or_else(|| cannot_run("no connection to the director"))
    }

    pub fn send(&mut self, kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> bool {
        self.stream.write_all(&message(kind, session, parameters)).is_ok()
    }

    /// Sends a set-up; `more` is added to its figures.
    pub fn set_up(&mut self, session: u64, class: &str, wait_ms: u64, more: &str) -> bool {
        note(&format!("viewer -> set-up {session:016x} {class} waits {wait_ms} ms {more}"));
        self.stream.write_all(&set_up(session, class, wait_ms, more)).is_ok()
    }

    /// Ends a session that stands, or gives a set-up up.
    pub fn release(&mut self, session: u64) -> bool {
        note(&format!("viewer -> release {session:016x} cause 16"));
        self.send(12, session, &[(58, &[16])])
    }

    /// The next message within a time; `None` where none came or the connection has ended.
    pub fn read_one(&mut self, within_ms: u64) -> Option<Message> {
        let until = Instant::now() + Duration::from_millis(within_ms);
        loop {
            if let Some(message) = self.take() {
                if message.kind != 53 {
                    note(&format!("viewer <- {:016x} {}", message.session, message.words()));
                }
                return Some(message);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.closed {
                return None;
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => self.closed = true,
                Ok(n) => self.buffer.extend_from_slice(&chunk[..n]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => self.closed = true,
            }
        }
    }

    fn take(&mut self) -> Option<Message> {
        let length = usize::from(u16::from_be_bytes([*self.buffer.first()?, *self.buffer.get(1)?]));
        let body = self.buffer.get(2..2 + length)?.to_vec();
        self.buffer.drain(..2 + length);
        let session = u64::from_be_bytes(body.get(1..9)?.try_into().ok()?);
        let (mut parameters, mut rest) = (Vec::new(), body.get(9..)?);
        while let [code, high, low, tail @ ..] = rest {
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            parameters.push((*code, tail.get(..length)?.to_vec()));
            rest = &tail[length..];
        }
        Some(Message { kind: body[0], session, parameters, at: now_ms() })
    }
}

pub fn message(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend_from_slice(&session.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend_from_slice(&(value.len() as u16).to_be_bytes());
        body.extend_from_slice(value);
    }
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

pub fn set_up(session: u64, class: &str, wait_ms: u64, more: &str) -> Vec<u8> {
    let wait = wait_ms.to_string();
    let figures = format!("home:0;copies:3;top:3;viewer:{session:016x}{more}");
    let title = if class == "replay" { "7f3a9c21e0b4d655" } else { "1c44a0e9d2b87f10" };
    let description = format!("c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\nv={session:x}\r\n");
    let parameters: [(u8, &[u8]); 5] = [
        (16, class.as_bytes()),
        (19, wait.as_bytes()),
        (28, title.as_bytes()),
        (31, figures.as_bytes()),
        (61, description.as_bytes()),
    ];
    message(1, session, &parameters)
}

/// A director's configuration with the settings of a small deployment, after the example of the wire page.
pub fn configuration(
    name: &str,
    listen: SocketAddr,
    bulletin: SocketAddr,
    known: &[String],
    sockets: u32,
) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"bulletin":"{bulletin}",
"known":{{"no":{count},"items":[{items}]}},
"settings":{{"accounts":[],"bounds":{{"cancel":true,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout_us":250000,
"keepalive_us":15000000,"max_attempts":4,"max_retry_after_us":1000000,"may_tell":false,"most_held":1000000,
"multiplex":1048576,"probes":true,"retry_after":true,"second_copies":false}},"callers":{{"marks_retry":true}},
"dcs":["hall-a","hall-b"],"deductions":{{"connection":0.0,"cross_zone":0.021,"handshake":0.0,"late_fail":0.05,
"membership_mode":0.0,"moves":0.14,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.0}},"domain_type":"streams",
"family_info":{{"cells":12,"class_scale":[1.0,1.0],"fleet_kb":19672.0,"full_from":1.2,"highest_rung":[3,3],
"is_live":[false,true],"kind_streams":[24,35],"ladder_kb":[172.0,364.0,767.0,1617.0],
"ladder_worth":[0.26,0.53,0.77,1.0],"lowest_rung":[1,0],"rack_kb":24016.0,"racks":2,"reports_every_us":0,
"seats":[0,0],"seen_after_us":987821,"shared_adds":1.0,"stall":7.0,"switch_s":0.519219744154376,"weight_kb":2459.0}},
"goal":{{"whole":0.6,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.2}},"kinds":["two-core","three-core"],
"lanes":[{{"deadline_us":3000000,"dedup_scope":"all","effect":"at_most_once","importance":2.0,"late_worth":0.0,
"name":"replay","repeat_window_us":5000000,"stream":true,"target_us":1500000}},{{"deadline_us":3000000,
"dedup_scope":"all","effect":"idempotent","importance":1.0,"late_worth":0.0,"name":"seat-view",
"repeat_window_us":5000000,"stream":true,"target_us":1500000}}],"me":0,"membership_mode":"pushed","my_zone":"hall-a",
"over_share_worth":0.1,"peers_total":1,"report":{{"how":"pull","names":["load_share","x1"]}},
"rules":{{"answer_slack_us":40000,"ask_within_us":10000000,"cold_from":0.4,"drain_grace_us":1000000,
"fall_multiple":3.0,"overload_for_us":1000000,"ramp_time_us":12000000}},"stage":0,"tick_us":10000,
"tiers":["media-fleet"],"weights":"rough","worth_by":"request"}}}}"#,
        count = known.len(),
        items = known.join(","),
    )
}
