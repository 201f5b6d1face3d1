//! The processes of a run: directors that are started, told to end, killed and replaced, and who acts on them.
use super::clients::{Directors, LONGEST_WAIT_MS, World, play};
use super::judge::Evidence;
use super::plan::{Dice, Fault, Plan};
use super::streamers::{Discovery, Streamer};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The platform kills no sooner than this after SIGTERM and the longest deadline, of which so much counts.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
const DEADLINE_COUNTED: Duration = Duration::from_secs(3);
/// New connections come for so long after SIGTERM.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// Sets the level of the directors' logs, which stay in the temporary folder.
const LOG_LEVEL: &str = "STONEWHARF_TEST_LOG";
const READY: Duration = Duration::from_secs(20);

/// What the threads of a run share.
struct Fleet {
    plan: Plan,
    folder: PathBuf,
    /// What each director follows: it has addresses of its own for all streamers.
    discovery: Vec<Discovery>,
    at: Directors,
    processes: Mutex<usize>,
    told: Mutex<BTreeMap<usize, Instant>>,
    /// The process at each place; none while it is replaced.
    running: Mutex<Vec<Option<Child>>>,
    members: Mutex<Vec<Member>>,
}

/// A streamer in the list.
#[derive(Clone)]
struct Member {
    name: String,
    at: Vec<SocketAddr>,
    zone: &'static str,
    phase: &'static str,
}

impl Member {
    fn entry(&self, director: usize) -> String {
        let Member { name, at, zone, phase } = self;
        format!(
            r#"{{"id":"{name}","host_port":"{}","locality":"{zone}","flavor":"plain","cell":0,"phase":"{phase}","size":1,"up_since_ms":0}}"#,
            at[director]
        )
    }
}

impl Fleet {
    fn start(&self, place: usize) -> Child {
        let process = {
            let mut processes = self.processes.lock().expect("held");
            *processes += 1;
            *processes
        };
        let members: Vec<String> =
            self.members.lock().expect("held").iter().map(|member| member.entry(place)).collect();
        let (members, no) = (members.join(","), self.discovery[place].event(""));
        let known = format!(
            r#"{{"no":{no},"items":[{{"no":{no},"roster":{{"revision":{no},"complete":true,"members":[{members}]}}}}]}}"#
        );
        let config = format!(
            r#"{{"name":"d{place}","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":192}},"bulletin":"{}","known":{known},"settings":{}}}"#,
            self.discovery[place].at,
            self.plan.settings(place)
        );
        let file = self.folder.join(format!("d{place}.json"));
        std::fs::write(&file, config).expect("written");
        let log = self.folder.join(format!("process-{process}.log"));
        let errors = File::create(&log).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_stonewharf"));
        if let Ok(level) = std::env::var(LOG_LEVEL) {
            command.args(["serve", "--log-level", &level]);
        }
        let child = command.env("LB_CONFIG", &file).stderr(errors).spawn().expect("started");
        let address = serves_at(&log);
        self.at.lock().expect("held")[place] = Some((address, process));
        child
    }

    /// Tells a process to end, and kills it at the earliest moment; another one takes its place.
    fn shut_down(&self, place: usize, twice: bool, reload: Option<Duration>) {
        let Some(mut child) = self.running.lock().expect("held")[place].take() else { return };
        let process = self.at.lock().expect("held")[place].map_or(0, |at| at.1);
        signal(&child, "-TERM");
        let told = Instant::now();
        self.told.lock().expect("held").insert(process, told);
        let kill = told + self.plan.deadline.min(DEADLINE_COUNTED) + KILL_AFTER_DEADLINE;
        let mut due = vec![(told + FRONT_NOTICES, None)];
        due.extend(twice.then_some((told + Duration::from_millis(150), Some("-TERM"))));
        due.extend(reload.map(|after| (told + after, Some("-HUP"))));
        due.sort_by_key(|due| due.0);
        for (at, name) in due {
            sleep_until(at.min(kill));
            match name {
                Some(name) if child.try_wait().expect("asked").is_none() => signal(&child, name),
                Some(_) => {}
                None => self.at.lock().expect("held")[place] = None,
            }
        }
        while Instant::now() < kill && child.try_wait().expect("asked").is_none() {
            thread::sleep(Duration::from_millis(2));
        }
        let _ = child.kill();
        let _ = child.wait();
        let next = self.start(place);
        self.running.lock().expect("held")[place] = Some(next);
    }

    fn reload(&self, place: usize, times: u64) {
        for _ in 0..times {
            if let Some(child) = &self.running.lock().expect("held")[place] {
                signal(child, "-HUP");
            }
            thread::sleep(Duration::from_millis(30));
        }
    }

    /// Changes a member of the list, and tells all directors.
    fn tell(&self, streamer: usize, change: impl FnOnce(&mut Member)) {
        let mut members = self.members.lock().expect("held");
        change(&mut members[streamer]);
        for (place, discovery) in self.discovery.iter().enumerate() {
            discovery.event(&members[streamer].entry(place));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let running = self.running.get_mut().unwrap_or_else(|poisoned| poisoned.into_inner());
        for child in running.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill").args([name, &child.id().to_string()]).status();
    assert!(sent.expect("sent").success());
}

/// Where a director says that it serves.
fn serves_at(log: &Path) -> SocketAddr {
    let until = Instant::now() + READY;
    loop {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let line = text.lines().find(|line| line.contains("serves"));
        let at = line.and_then(|line| line.split("at: ").nth(1)?.split(',').next()?.trim().parse().ok());
        if let Some(at) = at {
            return at;
        }
        assert!(Instant::now() < until, "it does not serve: {text}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Plays a run; what its clients and streamers wrote down.
pub fn play_run(seed: u64) -> Evidence {
    let plan = Plan::draw(seed);
    let zones = plan.deployment.zones;
    let places = plan.directors;
    let streamers: Vec<Streamer> =
        (0..plan.streamers as u64).map(|i| Streamer::start(Dice::new(seed, 1_000 + i), places)).collect();
    let name = |i: usize, life: u64| format!("s-{i}-{life}");
    let members = streamers.iter().enumerate().map(|(i, streamer)| Member {
        name: name(i, 0),
        at: streamer.at.clone(),
        zone: zones[i % zones.len()],
        phase: "in_service",
    });
    let folder = std::env::temp_dir().join(format!("stonewharf-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let fleet = Arc::new(Fleet {
        folder,
        discovery: (0..places).map(|_| Discovery::start()).collect(),
        at: Arc::new(Mutex::new(vec![None; places])),
        processes: Mutex::default(),
        told: Mutex::default(),
        running: Mutex::new((0..places).map(|_| None).collect()),
        members: Mutex::new(members.collect()),
        plan,
    });
    for place in 0..places {
        let child = fleet.start(place);
        fleet.running.lock().expect("held")[place] = Some(child);
    }
    let world = World {
        directors: Arc::clone(&fleet.at),
        ids: Arc::new(((seed << 32) | 1).into()),
        stop: Arc::default(),
        classes: fleet.plan.deployment.classes.iter().map(|class| class.0).collect(),
        deadline: fleet.plan.deadline,
    };
    let longest = fleet.plan.deadline.min(Duration::from_millis(LONGEST_WAIT_MS));
    let extra = longest + Duration::from_millis(600);
    let began = Instant::now();
    let mut clients: Vec<JoinHandle<_>> = (0..2 * places as u64 + 4)
        .map(|i| {
            let (world, dice) = (world.clone(), Dice::new(seed, 2_000 + i));
            thread::spawn(move || play(world, dice, extra))
        })
        .collect();
    let mut deaf = vec![Vec::new(); streamers.len()];
    let mut lives = 0;
    let mut acting = Vec::new();
    for (at, fault) in fleet.plan.faults.clone() {
        sleep_until(began + at);
        let now = Instant::now();
        match fault {
            Fault::Shutdown { director, twice, reload } => {
                let fleet = Arc::clone(&fleet);
                acting.push(thread::spawn(move || fleet.shut_down(director, twice, reload)));
            }
            Fault::Reloads { director, times } => fleet.reload(director, times),
            Fault::Hang { streamer, lasts } => {
                let orders = Arc::clone(&streamers[streamer].orders);
                orders.hang.store(true, Ordering::SeqCst);
                deaf[streamer].push((now, now + lasts));
                acting.push(thread::spawn(move || {
                    thread::sleep(lasts);
                    orders.hang.store(false, Ordering::SeqCst);
                }));
            }
            Fault::Replace { streamer, away } => {
                let orders = Arc::clone(&streamers[streamer].orders);
                orders.away.store(true, Ordering::SeqCst);
                lives += 1;
                deaf[streamer].push((now, now + away));
                thread::sleep(away + Duration::from_millis(10));
                orders.away.store(false, Ordering::SeqCst);
                fleet.tell(streamer, |member| {
                    (member.name, member.phase) = (name(streamer, lives), "in_service");
                });
            }
            Fault::Drain { streamer } => {
                fleet.tell(streamer, |member| member.phase = "terminating");
            }
            Fault::Discovery { down, lasts } => {
                let fleet = Arc::clone(&fleet);
                acting.push(thread::spawn(move || {
                    let set = |on: bool| {
                        let flag = |discovery: &Discovery| {
                            let flag = if down { &discovery.down } else { &discovery.silent };
                            flag.store(on, Ordering::SeqCst);
                        };
                        fleet.discovery.iter().for_each(flag);
                    };
                    set(true);
                    thread::sleep(lasts);
                    set(false);
                }));
            }
            Fault::Crowd { clients: many } => {
                let crowd = World { stop: Arc::default(), ..world.clone() };
                for i in 0..many {
                    let (world, dice) = (crowd.clone(), Dice::new(seed, 10_000 + i));
                    clients.push(thread::spawn(move || play(world, dice, extra)));
                }
                acting.push(thread::spawn(move || {
                    thread::sleep(Duration::from_millis(800));
                    crowd.stop.store(true, Ordering::SeqCst);
                }));
            }
        }
    }
    sleep_until(began + fleet.plan.lasts);
    world.stop.store(true, Ordering::SeqCst);
    let end = Instant::now() + extra;
    let books = clients.into_iter().map(|client| client.join().expect("it ran")).collect();
    acting.into_iter().for_each(|thread| thread.join().expect("it ran"));
    let told = fleet.told.lock().expect("held").clone();
    let streamers = streamers.into_iter().map(Streamer::end).collect();
    let mut evidence = Evidence { streamers, deaf, told, end: Some(end), ..Evidence::default() };
    evidence.add(books);
    evidence
}
