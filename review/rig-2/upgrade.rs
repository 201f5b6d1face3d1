//! The director's process is replaced. Some set-ups before it were answered late by one streamer, and stood at
//! another one by then.
use crate::base::{Deployment, Record, Site, Verdict, member};
use crate::streamer::{Habits, Passage, Streamer};
use crate::viewer::Viewers;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Between set-ups: 4 a second, about the rate of the deployment.
const EVERY: Duration = Duration::from_millis(250);
const BEFORE: Duration = Duration::from_secs(10);
/// Answers of one streamer are late by this: longer than the director waits before it tries another one.
const LATE_BY: Duration = Duration::from_millis(800);
/// The longest deadline and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// What is over is to be told to its viewer within 8 s at the very most, and 50 ms more.
const TOLD_WITHIN: Duration = Duration::from_millis(8_050);

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let late = move |name: &str, id: u64, _: &[u8]| {
        // Some answers of one streamer arrive after their time.
        if trouble && name == "s0" && id % 2 == 0 { Passage::Late(LATE_BY) } else { Passage::Whole }
    };
    let habits = Habits {
        set_up_ms: (40, 80),
        plays: Arc::new(|id| Duration::from_millis(35_000 + id * 7_919 % 15_000)),
        spoiler: Arc::new(late),
    };
    let streamers: Vec<Streamer> =
        (0..6).map(|i| Streamer::start(&format!("s{i}"), habits.clone(), record.clone())).collect();
    let members = streamers.iter().enumerate().map(|(i, s)| member(&s.name, s.address, i)).collect();
    let deployment = Deployment { members, handshake_price: 0.0 };
    let site = match Site::prepare(&deployment, true, record) {
        Ok(site) => site,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    let mut old = match site.start(record) {
        Ok(director) => director,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    let viewers = Viewers::new(old.address, record.clone());
    let Some(link) = viewers.connect() else { return Verdict::CouldNotRun("no connection".into()) };
    let title = |id: u64| (id % 8) as usize;
    let (started, mut id) = (Instant::now(), 0x4000_u64);
    while started.elapsed() < BEFORE {
        id += 1;
        viewers.set_up(link, id, "seat-view", title(id), 12);
        thread::sleep(EVERY);
    }
    // The new process; SIGTERM reaches the old one when it says yes.
    let mut new = match site.start(record) {
        Ok(director) => director,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    old.end(KILLED_AFTER, record);
    // What still stands passes to the new process.
    let Some(link) = viewers.connect() else { return Verdict::CouldNotRun("no connection".into()) };
    let mut handed_over = Vec::new();
    for streamer in &streamers {
        for id in streamer.standing() {
            let stands = viewers.request(id).is_some_and(|r| r.served.is_some() && r.over.is_none());
            if stands && viewers.hand_over(link, id, "seat-view", title(id), &streamer.name) {
                handed_over.push((id, streamer));
            }
        }
    }
    thread::sleep(TOLD_WITHIN + Duration::from_secs(1));
    if !new.runs() || handed_over.len() < 10 {
        return Verdict::CouldNotRun(format!("{} sessions were handed over", handed_over.len()));
    }
    let mut lost = Vec::new();
    for (id, streamer) in &handed_over {
        let ended = streamer.session(*id, |s| s.ended.filter(|_| s.released_by_director)).flatten();
        let Some(ended) = ended else { continue };
        let over = viewers.request(*id).and_then(|r| r.over);
        if over.is_none_or(|at| at > ended + TOLD_WITHIN) {
            record.say(format!("session {id:016x}: released at {}, its viewer was not told", streamer.name));
            lost.push(format!("{id:016x}"));
        }
    }
    if !lost.is_empty() {
        return Verdict::Broken(format!(
            "{} of {} sessions that were handed over were released at their streamer and left standing for their viewers: {}",
            lost.len(),
            handed_over.len(),
            lost.join(" ")
        ));
    }
    Verdict::Held(format!("{} sessions were handed over and play on", handed_over.len()))
}
