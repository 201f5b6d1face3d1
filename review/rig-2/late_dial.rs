//! A connection to a streamer is reset as a release is written on it, and the next one comes up late.
use crate::base::{Deployment, Record, Site, Verdict, member};
use crate::streamer::{Habits, Passage, Streamer};
use crate::viewer::Viewers;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Between set-ups: 8 a second.
const EVERY: Duration = Duration::from_millis(125);
const TRAFFIC: Duration = Duration::from_secs(24);
/// What is over is to be told to its viewer within this, and 50 ms more.
const TOLD_WITHIN: Duration = Duration::from_millis(8_050);

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let full = Arc::new(AtomicU64::new(0));
    let is_full = Arc::clone(&full);
    let spoiler = move |_: &str, id: u64, _: &[u8]| {
        // Both streamers are full for one set-up, once each; it goes to one of them again.
        let was = is_full.load(Ordering::Acquire);
        if was >> 8 == id && was & 0xff > 0 {
            is_full.store(was - 1, Ordering::Release);
            return Passage::Full;
        }
        Passage::Whole
    };
    let habits = Habits {
        set_up_ms: (40, 80),
        plays: Arc::new(|id| Duration::from_millis(5_000 + id * 7_919 % 4_000)),
        spoiler: Arc::new(spoiler),
    };
    let streamers: Vec<Streamer> =
        (0..2).map(|i| Streamer::start(&format!("s{i}"), habits.clone(), record.clone())).collect();
    let members = streamers.iter().enumerate().map(|(i, s)| member(&s.name, s.address, i)).collect();
    let site = match Site::prepare(&Deployment { members, handshake_price: 0.05 }, false, record) {
        Ok(site) => site,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    let mut director = match site.start(record) {
        Ok(director) => director,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    let viewers = Viewers::new(director.address, record.clone());
    let Some(link) = viewers.connect() else { return Verdict::CouldNotRun("no connection".into()) };
    let started = Instant::now();
    let (mut id, mut next, mut due) = (0x7000_u64, started, false);
    while started.elapsed() < TRAFFIC {
        id += 1;
        let at = started.elapsed();
        if at >= Duration::from_secs(3) && full.load(Ordering::Acquire) == 0 {
            full.store(id << 8 | 2, Ordering::Release);
        }
        if trouble && !due && at >= Duration::from_secs(6) {
            due = true;
            // On the link that is not in use for set-ups any more, where there are two.
            streamers.iter().filter(|s| s.links().0 > 1).for_each(|s| s.reset_at_release(0));
        }
        viewers.set_up(link, id, "seat-view", (id % 4) as usize, 12);
        next += EVERY;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    if !director.runs() {
        return Verdict::CouldNotRun("the director has ended".into());
    }
    let (now, mut told, mut late) = (Instant::now(), 0, Vec::new());
    for (id, request) in viewers.requests().into_iter().filter(|(_, r)| r.served.is_some()) {
        let ended = streamers.iter().find_map(|s| s.session(id, |s| s.ended.filter(|_| s.stands)).flatten());
        let Some(ended) = ended else { continue };
        match request.over {
            Some(at) if at <= ended + TOLD_WITHIN => told += 1,
            None if ended + TOLD_WITHIN > now => {}
            _ => late.push(format!("{id:016x}")),
        }
    }
    match late.len() {
        0 if told < 20 => Verdict::CouldNotRun(format!("only {told} sessions came to their end")),
        0 => Verdict::Held(format!("the ends of {told} sessions were told in time")),
        _ => Verdict::Broken(format!("over, and left standing for their viewers: {}", late.join(" "))),
    }
}
