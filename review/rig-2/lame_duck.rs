//! Clients are sent away while many sessions are set up on one connection, as the protocol page has it.
use crate::base::{Deployment, Record, Site, Verdict, member};
use crate::streamer::{Habits, Passage, Streamer};
use crate::viewer::Viewers;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Streamers, as in the deployment at its usual size.
const STREAMERS: usize = 18;
/// Between set-ups: 50 a second reach this director.
const EVERY: Duration = Duration::from_millis(20);
const BEFORE: Duration = Duration::from_secs(2);
/// The page looks 4 s after the call.
const LOOKED_AT: Duration = Duration::from_secs(4);

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let habits = Habits {
        set_up_ms: (40, 80),
        plays: Arc::new(|_| Duration::from_secs(30)),
        spoiler: Arc::new(|_: &str, _, _: &[u8]| Passage::Whole),
    };
    let streamers: Vec<Streamer> =
        (0..STREAMERS).map(|i| Streamer::start(&format!("s{i}"), habits.clone(), record.clone())).collect();
    let members = streamers.iter().enumerate().map(|(i, s)| member(&s.name, s.address, i)).collect();
    let deployment = Deployment { members, handshake_price: 0.0 };
    let site = match Site::prepare(&deployment, false, record) {
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
    let (mut called, mut id) = (None, 0x1000_u64);
    let mut next = started;
    let end = loop {
        let now = Instant::now();
        if called.is_none() && started + BEFORE <= now {
            if trouble {
                let status = director.operator_call("PUT /_lameduck/on");
                record.say(format!("operators -> PUT /_lameduck/on: {status:?}"));
                if status != Some(200) {
                    return Verdict::CouldNotRun("the call was not answered".into());
                }
            }
            called = Some(Instant::now());
        }
        if let Some(end) = called.map(|at| at + LOOKED_AT).filter(|end| *end <= now) {
            break end;
        }
        // The client goes on as long as its connection is open; the front gives it no other one.
        id += 1;
        let class = if id % 3 == 0 { "replay" } else { "seat-view" };
        viewers.set_up(link, id, class, (id % 8) as usize, 12);
        next += EVERY;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    };
    let (ended, last) = viewers.link(link);
    let says_yes = director.takes_clients();
    record.say(format!(
        "4 s after the call: the test is answered {says_yes:?}, the connection has ended: {}",
        ended.is_some()
    ));
    let open = ended.is_none_or(|at| at > end);
    let recent = last.is_some_and(|at| at + Duration::from_secs(2) > end);
    // Every request has its one answer, 3 s and 90 ms after it was sent at the latest.
    thread::sleep(Duration::from_millis(3_200));
    let lost = viewers.requests().into_iter().filter(|(_, r)| {
        let at = r.served.as_ref().map(|s| s.0).or(r.turned_away.map(|t| t.0));
        r.extra > 0 || at.is_none_or(|at| at > r.sent + Duration::from_millis(3_090))
    });
    // One that crossed the close is sent again by its client, elsewhere.
    let crossed = |sent: Instant| ended.is_some_and(|at| sent + Duration::from_millis(50) > at);
    let lost: Vec<String> =
        lost.filter(|(_, r)| !crossed(r.sent)).map(|(id, _)| format!("{id:016x}")).collect();
    if !director.runs() {
        return Verdict::CouldNotRun("the director has ended".into());
    }
    if trouble && open && recent {
        return Verdict::Broken(
            "4 s after the call the clients' connection is open, with requests from the last 2 s on it"
                .into(),
        );
    }
    if !lost.is_empty() {
        return Verdict::Broken(format!("requests without their one answer: {}", lost.join(" ")));
    }
    Verdict::Held(format!("{} requests were answered once each", viewers.requests().len()))
}
