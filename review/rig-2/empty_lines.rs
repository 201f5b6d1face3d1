//! One answer of a streamer arrives as empty lines that keep coming.
use crate::base::{Deployment, MEMORY_MB, Record, Site, Verdict, member};
use crate::streamer::{Habits, Passage, Streamer};
use crate::viewer::Viewers;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Between set-ups: 10 a second.
const EVERY: Duration = Duration::from_millis(100);
const BEFORE: Duration = Duration::from_secs(3);
const TRAFFIC: Duration = Duration::from_secs(60);

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let (due, done) = (Arc::new(AtomicBool::new(false)), AtomicBool::new(false));
    let now_due = Arc::clone(&due);
    let spoiler = move |_: &str, _: u64, _: &[u8]| {
        if trouble && now_due.load(Ordering::Acquire) && !done.swap(true, Ordering::AcqRel) {
            return Passage::EmptyLines(TRAFFIC);
        }
        Passage::Whole
    };
    let habits = Habits {
        set_up_ms: (40, 80),
        plays: Arc::new(|_| Duration::from_secs(30)),
        spoiler: Arc::new(spoiler),
    };
    let streamers: Vec<Streamer> =
        (0..6).map(|i| Streamer::start(&format!("s{i}"), habits.clone(), record.clone())).collect();
    let members = streamers.iter().enumerate().map(|(i, s)| member(&s.name, s.address, i)).collect();
    let site = match Site::prepare(&Deployment { members, handshake_price: 0.0 }, false, record) {
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
    let (mut id, mut next, mut told) = (0x6000_u64, started, 0);
    while started.elapsed() < TRAFFIC {
        if started.elapsed() >= BEFORE {
            due.store(true, Ordering::Release);
        }
        let memory_mb = director.memory_kb() / 1024;
        if memory_mb >= told + 16 {
            told = memory_mb;
            record.say(format!("the director holds {memory_mb} MB"));
        }
        if memory_mb > MEMORY_MB {
            // The platform kills it now.
            return Verdict::Broken(format!(
                "the director holds {memory_mb} MB, over its limit of {MEMORY_MB} MB"
            ));
        }
        if !director.runs() {
            return Verdict::Broken("the director has crashed".into());
        }
        id += 1;
        viewers.set_up(link, id, "seat-view", (id % 4) as usize, 12);
        next += EVERY;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    thread::sleep(Duration::from_millis(3_600));
    let late = viewers.requests().into_values().filter(|r| {
        let at = r.served.as_ref().map(|s| s.0).or(r.turned_away.map(|t| t.0));
        r.extra > 0 || at.is_none_or(|at| at > r.sent + Duration::from_millis(3_590))
    });
    match late.count() {
        0 => Verdict::Held(format!("{} requests were answered once each", viewers.requests().len())),
        lost => Verdict::Broken(format!("{lost} requests have no answer half a second after their time")),
    }
}
