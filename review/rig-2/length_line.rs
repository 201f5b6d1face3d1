//! An answer whose line with its length arrives as noise.
use crate::base::{Deployment, Record, Site, Verdict, member};
use crate::streamer::{Habits, Passage, Streamer};
use crate::viewer::Viewers;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const REQUESTS: u64 = 60;
/// One answer in so many is spoilt.
const SPOILT_ONE_IN: u64 = 10;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let noise = move |_: &str, id: u64, whole: &[u8]| {
        if !trouble || id % SPOILT_ONE_IN != 0 {
            return Passage::Whole;
        }
        // The two digits of the length arrive as two other bytes; all else is as the streamer sent it.
        let mut bytes = whole.to_vec();
        let at = whole.windows(16).position(|w| w == b"Content-Length: ").expect("a length") + 16;
        bytes[at..at + 2].copy_from_slice(&[0xb7, 0x91]);
        Passage::Spoilt(bytes)
    };
    let habits =
        Habits { set_up_ms: (40, 80), plays: Arc::new(|_| Duration::from_secs(5)), spoiler: Arc::new(noise) };
    let streamers: Vec<Streamer> =
        (0..4).map(|i| Streamer::start(&format!("s{i}"), habits.clone(), record.clone())).collect();
    let members = streamers.iter().enumerate().map(|(i, s)| member(&s.name, s.address, i)).collect();
    let deployment = Deployment { members, handshake_price: 0.0 };
    let site = match Site::prepare(&deployment, false, record) {
        Ok(site) => site,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    let director = match site.start(record) {
        Ok(director) => director,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    let viewers = Viewers::new(director.address, record.clone());
    let Some(link) = viewers.connect() else { return Verdict::CouldNotRun("no connection".into()) };
    for id in 0x2000..0x2000 + REQUESTS {
        let class = if id % 3 == 0 { "replay" } else { "seat-view" };
        viewers.set_up(link, id, class, (id % 4) as usize, 12);
        thread::sleep(Duration::from_millis(150));
    }
    thread::sleep(Duration::from_millis(3_200));
    let (mut served, mut wrong, mut lost) = (0, Vec::new(), Vec::new());
    for (id, request) in viewers.requests() {
        if request.served.is_none() && request.turned_away.is_none() || request.extra > 0 {
            lost.push(format!("{id:016x}"));
        }
        let Some((_, description)) = request.served else { continue };
        served += 1;
        let made = streamers
            .iter()
            .any(|s| s.session(id, |s| s.stands && s.description == description) == Some(true));
        if !made {
            wrong.push(format!("{id:016x}"));
        }
    }
    if !lost.is_empty() {
        return Verdict::Broken(format!("without one answer: {}", lost.join(" ")));
    }
    if !wrong.is_empty() {
        return Verdict::Broken(format!(
            "answered 'served' with a description that no streamer made for the session: {}",
            wrong.join(" ")
        ));
    }
    if served < REQUESTS / 2 {
        return Verdict::CouldNotRun(format!("only {served} requests were served"));
    }
    Verdict::Held(format!("{served} of {REQUESTS} were served, each with what a streamer made for it"))
}
