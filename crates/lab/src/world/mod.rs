//! What a run starts: the stand-ins, the relays before them, and director processes with a folder each. It
//! signals only what it started, by id, and keeps what each process wrote.
mod files;

use crate::history::{LogLine, Ordered};
use crate::relay::Relays;
use crate::scenario::{Fault, Scenario};
use crate::viewers::{Crowds, unix_us};
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, prlimit};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use stonewharf_standins::{Bulletin, Streamer};

/// A process has so long to say that it serves.
const STARTS: Duration = Duration::from_secs(20);
/// Lines kept of one run, all processes together.
const LINES_MOST: usize = 200_000;

/// A director process that runs.
struct Process {
    child: Child,
    /// It was told to end, or killed, by the lab.
    told: bool,
}

/// All that a run started.
pub struct World {
    program: PathBuf,
    folder: PathBuf,
    seed: u64,
    /// The scenario.
    pub scenario: Scenario,
    /// The relays.
    pub relays: Relays,
    /// The streamers.
    pub streamers: Vec<Streamer>,
    /// The bulletin of each director.
    pub bulletins: Vec<Bulletin>,
    /// Where viewers find each director.
    pub crowds: Crowds,
    processes: BTreeMap<usize, Process>,
    twins: BTreeMap<usize, Child>,
    /// Directors that run with the new operator file from their next start on.
    newer: BTreeSet<usize>,
    /// Directors whose folders take no more bytes.
    full: BTreeSet<usize>,
    /// All lines so far.
    pub log: Arc<Mutex<Vec<LogLine>>>,
    /// The relay before each director's peer port.
    peers: Vec<SocketAddr>,
    /// Where each director listens for peers, in its present life.
    ports: Vec<Option<SocketAddr>>,
    /// The relays to streamers and to the bulletin, by director.
    to_streamers: Vec<Vec<SocketAddr>>,
    to_bulletin: Vec<SocketAddr>,
    told: u64,
    /// Processes that ended by themselves.
    pub crashed: Vec<(usize, String)>,
}

/// The address that is one director's alone; streamers see it, too.
fn own_ip(i: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1 + i as u8))
}

/// Whose address that is.
pub fn whose(ip: IpAddr) -> Option<usize> {
    match ip {
        IpAddr::V4(ip) if ip.octets()[..3] == [127, 0, 1] => usize::from(ip.octets()[3]).checked_sub(1),
        _ => None,
    }
}

impl World {
    /// Starts the stand-ins and relays, and no director yet.
    pub fn new(program: &Path, scenario: &Scenario, seed: u64, folder: &Path) -> io::Result<World> {
        let relays = Relays::start(seed)?;
        let life = Duration::from_secs_f64(scenario.session_s);
        let streamers: Vec<Streamer> = (0..scenario.streamers).map(|_| Streamer::start(life)).collect();
        let bulletins: Vec<Bulletin> = (0..scenario.directors).map(|_| Bulletin::start(1)).collect();
        let (mut peers, mut to_streamers, mut to_bulletin) = (Vec::new(), Vec::new(), Vec::new());
        for (k, streamer) in streamers.iter().enumerate() {
            relays.target(&format!("s{k}"), streamer.address);
        }
        for (i, bulletin) in bulletins.iter().enumerate() {
            let me = format!("d{i}");
            relays.source(&me, own_ip(i));
            relays.target(&format!("b{i}"), bulletin.address);
            to_bulletin.push(relays.tcp(Some(&me), &format!("b{i}"))?);
            let mut to = Vec::new();
            for k in 0..streamers.len() {
                to.push(relays.tcp(Some(&me), &format!("s{k}"))?);
            }
            to_streamers.push(to);
            peers.push(relays.both(&me)?);
        }
        let directors = scenario.directors;
        Ok(World {
            program: program.to_owned(),
            folder: folder.to_owned(),
            seed,
            scenario: scenario.clone(),
            relays,
            streamers,
            bulletins,
            crowds: Crowds::new(directors, seed),
            processes: BTreeMap::new(),
            twins: BTreeMap::new(),
            newer: BTreeSet::new(),
            full: BTreeSet::new(),
            log: Arc::default(),
            peers,
            ports: vec![None; directors],
            to_streamers,
            to_bulletin,
            told: 1,
            crashed: Vec::new(),
        })
    }

    /// Tells all directors of streamers in another phase, or started at a Unix time (ms; 0: long ago).
    pub fn tell(&mut self, streamers: &[usize], phase: &str, since_ms: u64) {
        self.told += 1;
        for (i, bulletin) in self.bulletins.iter().enumerate() {
            let members: Vec<String> =
                streamers.iter().map(|k| self.member(i, *k, phase, since_ms)).collect();
            bulletin.tell(self.told, &members);
        }
    }

    fn spawn(&self, config: &Path, operator: &Path) -> io::Result<Child> {
        Command::new(&self.program)
            .args(["serve", "--log-format", "json", "--config"])
            .arg(config)
            .arg("--operator")
            .arg(operator)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
    }

    /// Starts a director and waits until it serves.
    pub fn start(&mut self, i: usize) -> io::Result<()> {
        let (config, operator) = (self.config_file(i)?, self.operator_file(i, false)?);
        // A child begins with its parent's limit; the lab itself writes no file meanwhile.
        limit_files(None, self.full.contains(&i));
        let child = self.spawn(&config, &operator);
        limit_files(None, false);
        let mut child = child?;
        let (told, heard) = std::sync::mpsc::channel();
        self.read_log(i, &mut child, move |line| {
            let _ = told.send(line.clone()); // nobody listens any more once it serves
        });
        self.processes.insert(i, Process { child, told: false });
        let until = Instant::now() + STARTS;
        let (mut serves, mut peers) = (None, None);
        while serves.is_none() || (self.scenario.fleet && peers.is_none()) {
            let left = until.saturating_duration_since(Instant::now());
            let Ok(line) = heard.recv_timeout(left) else {
                if let Some(mut process) = self.processes.remove(&i) {
                    let _ = process.child.kill(); // it may have ended by itself
                    let _ = process.child.wait();
                }
                return Err(io::Error::other(format!("d{i} does not serve: {}", self.last_word(i))));
            };
            match line.msg.as_str() {
                "serves" => serves = line.text("at").parse().ok(),
                "listens for peers" => peers = line.text("peers_at").parse().ok(),
                _ => {}
            }
        }
        if let Some(at) = peers {
            self.relays.target(&format!("d{i}"), at);
            self.ports[i] = Some(at);
        }
        self.crowds.at.lock().unwrap_or_else(|p| p.into_inner())[i] = serves;
        Ok(())
    }

    fn read_log(&self, i: usize, child: &mut Child, told: impl Fn(&LogLine) + Send + 'static) {
        let Some(stderr) = child.stderr.take() else { return };
        let log = Arc::clone(&self.log);
        thread::spawn(move || {
            for text in BufReader::new(stderr).lines().map_while(Result::ok) {
                let keys =
                    serde_json::from_str::<BTreeMap<String, serde_json::Value>>(&text).unwrap_or_default();
                let msg = keys.get("msg").and_then(|m| m.as_str()).unwrap_or(&text).to_owned();
                let at = keys.get("at_us").and_then(serde_json::Value::as_u64).unwrap_or_else(unix_us);
                let line = LogLine { director: i, at, msg, keys };
                told(&line);
                let mut log = log.lock().unwrap_or_else(|p| p.into_inner());
                if log.len() < LINES_MOST {
                    log.push(line);
                }
            }
        });
    }

    fn last_word(&self, i: usize) -> String {
        let log = self.log.lock().unwrap_or_else(|p| p.into_inner());
        log.iter().rev().find(|l| l.director == i).map_or(String::new(), |l| l.msg.clone())
    }

    /// Whether a director's process runs.
    pub fn runs(&self, i: usize) -> bool {
        self.processes.contains_key(&i)
    }

    /// Signals a director's process.
    pub fn signal(&mut self, i: usize, signal: Signal) {
        let Some(process) = self.processes.get_mut(&i) else { return };
        if matches!(signal, Signal::KILL | Signal::TERM) {
            process.told = true;
            self.crowds.at.lock().unwrap_or_else(|p| p.into_inner())[i] = None;
        }
        // Not yet reaped, so the id is still that process's.
        if let Some(pid) = i32::try_from(process.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Reaps processes that have ended; returns those directors.
    pub fn reap(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        for (i, process) in &mut self.processes {
            if let Ok(Some(status)) = process.child.try_wait() {
                ended.push((*i, process.told, status));
            }
        }
        for (i, told, status) in &ended {
            self.processes.remove(i);
            self.crowds.at.lock().unwrap_or_else(|p| p.into_inner())[*i] = None;
            // One that leaves by a permit ends by itself, in good order.
            let leaves = status.success() && self.scenario.voters > 0;
            if !told && !leaves {
                let word = self.last_word(*i);
                self.crashed.push((*i, format!("{status}: {word}")));
            }
        }
        ended.into_iter().map(|e| e.0).collect()
    }

    /// Gives an order through a director, as a person would; the answer comes when it comes.
    pub fn order(&self, i: usize, fault: &Fault) -> JoinHandle<Ordered> {
        let mut command = Command::new(&self.program);
        let plan = self.plan_file().map(|file| file.display().to_string()).unwrap_or_default();
        let args = fault.args.iter().map(|arg| if arg == "$PLAN" { plan.as_str() } else { arg });
        command.args(args).arg("--operator").arg(self.own_folder(i).join("operator.hcl"));
        if let Some(at) = self.ports[i] {
            command.arg("--at").arg(at.to_string());
        }
        command.stdin(Stdio::null());
        let (args, expect, says) = (fault.args.clone(), fault.expect.clone(), fault.says.clone());
        thread::spawn(move || {
            let at = unix_us();
            let (done, text) = match command.output() {
                Ok(out) => (out.status.success(), [out.stdout, out.stderr].concat()),
                Err(why) => (false, why.to_string().into_bytes()),
            };
            let text = String::from_utf8_lossy(&text).into_owned();
            Ordered { args, director: i, at, until: unix_us(), done, text, expect, says }
        })
    }

    /// When a director said last that it leaves by a permit.
    pub fn left_at(&self, i: usize) -> Option<u64> {
        let log = self.log.lock().unwrap_or_else(|p| p.into_inner());
        let last = log.iter().rev().take_while(|l| l.director != i || l.msg != "serves");
        last.filter(|l| l.director == i && l.msg.starts_with("leaves ")).map(|l| l.at).last()
    }

    /// Starts a second process under a director's name, elsewhere; it answers no viewers of the run.
    pub fn twin(&mut self, i: usize) -> io::Result<()> {
        let (operator, config) = (self.operator_file(i, false)?, self.config_file(i)?);
        let folder = self.folder.join(format!("d{i}-twin"));
        fs::create_dir_all(&folder)?;
        let at = self.relays.both(&format!("d{i}-twin"))?;
        let text = fs::read_to_string(operator)?
            .replace(&self.peers[i].to_string(), &at.to_string())
            .replace(&self.own_folder(i).display().to_string(), &folder.display().to_string())
            .replace(&format!("{}:0", own_ip(i)), &format!("{}:0", own_ip(100 + i)));
        let file = folder.join("operator.hcl");
        fs::write(&file, text)?;
        let mut child = self.spawn(&config, &file)?;
        let (told, heard) = std::sync::mpsc::channel();
        self.read_log(100 + i, &mut child, move |line| {
            let _ = told.send(line.clone()); // nobody listens any more once it serves
        });
        self.twins.insert(i, child);
        let until = Instant::now() + STARTS;
        while let Ok(line) = heard.recv_timeout(until.saturating_duration_since(Instant::now())) {
            if line.msg == "listens for peers" {
                let peers = line.text("peers_at").parse().map_err(io::Error::other)?;
                self.relays.source(&format!("d{i}-twin"), own_ip(100 + i));
                self.relays.target(&format!("d{i}-twin"), peers);
                return Ok(());
            }
        }
        Err(io::Error::other(format!("the second d{i} does not listen for peers")))
    }

    /// Ends a second process.
    pub fn untwin(&mut self, i: usize) {
        if let Some(mut child) = self.twins.remove(&i) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Where a director listens for peers, not through a relay.
    pub fn port(&self, i: usize) -> Option<SocketAddr> {
        self.ports[i]
    }

    /// A director's folder takes no more bytes, or takes them again.
    pub fn fill(&mut self, i: usize, full: bool) {
        if full {
            self.full.insert(i)
        } else {
            self.full.remove(&i)
        };
        if let Some(process) = self.processes.get(&i) {
            limit_files(i32::try_from(process.child.id()).ok().and_then(Pid::from_raw), full);
        }
    }

    /// Whether a director's folder takes no more bytes.
    pub fn full(&self, i: usize) -> bool {
        self.full.contains(&i)
    }
}

/// Lets a process write no file any longer, or again as far as it may; `None` is the lab itself. Every write
/// then fails (EFBIG), as on a disk that is full; pipes and sockets are not bound by it.
fn limit_files(process: Option<Pid>, none: bool) {
    let maximum = getrlimit(Resource::Fsize).maximum;
    let current = if none { Some(0) } else { maximum };
    let _ = prlimit(process, Resource::Fsize, Rlimit { current, maximum }); // it may have ended
}

impl Drop for World {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.child.kill(); // ends a stopped one, too
            let _ = process.child.wait();
        }
        let twins: Vec<usize> = self.twins.keys().copied().collect();
        twins.into_iter().for_each(|i| self.untwin(i));
    }
}
