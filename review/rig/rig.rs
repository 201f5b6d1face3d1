//! Stand-ins for the cases of the review: discovery, streamers, viewers and the start of directors.
//! Standard library only; loopback addresses only. Compiled with `rustc` by `review/build.sh`.
#![allow(dead_code)]
use crate::viewer::Viewer;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens the record of a run.
pub fn open_record(path: &str) {
    let file = File::create(path).unwrap_or_else(|why| cannot_run(&format!("{path}: {why}")));
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Milliseconds since the start of the record.
pub fn now_ms() -> u64 {
    RECORD.get().map_or(0, |r| r.1.elapsed().as_millis() as u64)
}

/// Writes one line with its time to the record.
pub fn note(line: &str) {
    if let Some((file, _)) = RECORD.get() {
        let _ = writeln!(file.lock().expect("record"), "{:>7} ms  {line}", now_ms());
    }
}

/// Ends the run: the case could not be played.
pub fn cannot_run(why: &str) -> ! {
    note(&format!("the case could not run: {why}"));
    eprintln!("the case could not run: {why}");
    finish(2)
}

static DIRECTORS: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started, then the run.
pub fn finish(status: i32) -> ! {
    for child in DIRECTORS.lock().map(|d| d.clone()).unwrap_or_default() {
        if let Ok(mut child) = child.lock() {
            let _ = (child.kill(), child.wait());
        }
    }
    std::process::exit(status)
}

/// Whether the run has its disruption (not with TROUBLE=0).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|why| cannot_run(&why.to_string()))
}

pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|why| cannot_run(&why.to_string()))
}

/// An address whose port is free now.
pub fn free_address() -> SocketAddr {
    address_of(&listen())
}

// ---- Discovery ------------------------------------------------------------------------------------------

/// The bulletin: events by number. `first_line_after` delays what it says on each new connection.
pub struct Bulletin {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    pub first_line_after_ms: Arc<AtomicU64>,
    generation: Arc<AtomicU64>,
}

impl Bulletin {
    /// Starts with events 1 and on, which the director may know already.
    pub fn start(events: Vec<String>) -> Bulletin {
        let listener = listen();
        let address = address_of(&listener);
        let events = Arc::new(Mutex::new(events));
        let (delay, generation) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (told, late, now) = (Arc::clone(&events), Arc::clone(&delay), Arc::clone(&generation));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (told, late, now) = (Arc::clone(&told), Arc::clone(&late), Arc::clone(&now));
                thread::spawn(move || tell(stream, &told, &late, &now));
            }
        });
        Bulletin { address, events, first_line_after_ms: delay, generation }
    }

    /// Adds an event with these members.
    pub fn add(&self, members: &str) {
        let mut events = self.events.lock().expect("events");
        let number = events.len() + 1;
        note(&format!("discovery: event {number} is in the bulletin: {members}"));
        events.push(event(number, members));
    }

    /// Breaks off all connections.
    pub fn break_off(&self) {
        note("discovery breaks off its connections");
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

pub fn event(number: usize, members: &str) -> String {
    format!(
        "{{\"no\":{number},\"roster\":{{\"revision\":{number},\"complete\":false,\"members\":[{members}]}}}}"
    )
}

pub fn member(id: &str, address: SocketAddr, hall: &str, cell: u32, phase: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"{hall}\",\"flavor\":\"two-core\",\"cell\":{cell},\
         \"phase\":\"{phase}\",\"size\":4,\"up_since_ms\":0}}"
    )
}

fn tell(mut stream: TcpStream, events: &Mutex<Vec<String>>, late: &AtomicU64, generation: &AtomicU64) {
    let mine = generation.load(Ordering::SeqCst);
    let (mut line, mut byte) = (Vec::new(), [0]);
    while stream.read(&mut byte).is_ok_and(|n| n == 1) && byte[0] != b'\n' {
        line.push(byte[0]);
    }
    let line = String::from_utf8_lossy(&line).into_owned();
    let Some(mut last) = line.strip_prefix("after ").and_then(|n| n.trim().parse::<usize>().ok()) else {
        return;
    };
    let delay = late.load(Ordering::SeqCst);
    note(&format!("discovery <- \"{line}\"; its first line comes after {delay} ms"));
    sleep_ms(delay);
    let mut beat = Instant::now().checked_sub(Duration::from_secs(1)).unwrap_or_else(Instant::now);
    while generation.load(Ordering::SeqCst) == mine {
        let new: Vec<String> = events.lock().expect("events").iter().skip(last).cloned().collect();
        for event in new {
            last += 1;
            let sent = writeln!(stream, "{event}");
            let end = if sent.is_ok() {
                "told"
            } else {
                "could not be told: the director has closed the connection"
            };
            note(&format!("discovery: event {last} {end}"));
            if sent.is_err() {
                return;
            }
        }
        if beat.elapsed() >= Duration::from_secs(1) {
            beat = Instant::now();
            if writeln!(stream, "{last}").is_err() {
                return;
            }
        }
        sleep_ms(10);
    }
}

// ---- Directors ------------------------------------------------------------------------------------------

/// The root of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()))
}

fn run_command() -> String {
    let file = root().join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&file).unwrap_or_else(|why| cannot_run(&why.to_string()));
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).unwrap_or_default();
    line.split('"').next().unwrap_or_default().to_owned()
}

/// A director process; killed when dropped.
pub struct Director(Arc<Mutex<Child>>, u32);

impl Drop for Director {
    fn drop(&mut self) {
        if let Ok(mut child) = self.0.lock() {
            let _ = (child.kill(), child.wait());
        }
    }
}

impl Director {
    /// Starts `run` of the deploy file. `inherited` becomes descriptor 5, as on days of replacement.
    pub fn start(dir: &str, env: &[(&str, String)], inherited: Option<TcpListener>) -> Director {
        let run = run_command();
        let (stdin, run) = match inherited {
            Some(listener) => (
                Stdio::from(std::os::fd::OwnedFd::from(listener)),
                format!("exec 5<&0 </dev/null; export LB_INHERITED_FD=5; {run}"),
            ),
            None => (Stdio::null(), run),
        };
        let log = std::fs::OpenOptions::new().create(true).append(true).open(format!("{dir}/director.log"));
        let log = log.unwrap_or_else(|why| cannot_run(&why.to_string()));
        note(&format!("starts: {run} with {env:?}"));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&run).current_dir(root()).stdin(stdin).stdout(Stdio::null()).stderr(log);
        command.env("TMPDIR", dir).envs(env.iter().map(|(k, v)| (*k, v.as_str())));
        let child = command.spawn().unwrap_or_else(|why| cannot_run(&why.to_string()));
        let id = child.id();
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(format!("{dir}/pids"));
        let _ = pids.and_then(|mut file| writeln!(file, "{id}"));
        let child = Arc::new(Mutex::new(child));
        DIRECTORS.lock().expect("directors").push(Arc::clone(&child));
        Director(child, id)
    }

    /// Puts the process on one core.
    pub fn pin(&self, core: &str) {
        pin(self.1, core);
    }

    pub fn signal(&self, name: &str) {
        note(&format!("SIG{name} to process {}", self.1));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.1)).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.0.lock().is_ok_and(|mut child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

/// Waits until a director passes the front's test at the viewers' address.
pub fn wait_ready(at: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if let Some(mut viewer) = Viewer::connect(at) {
            viewer.send(52, 1, &[(58, &[0])]);
            if viewer.read_one(500).is_some_and(|m| m.kind == 53 && m.parameter(58) == Some(vec![1])) {
                return note("the director passes the front's test");
            }
        }
        sleep_ms(20);
    }
    cannot_run("no director is ready after 20 s")
}

/// Whether a process says yes to `GET /_ready`.
pub fn ready(admin: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&admin, Duration::from_secs(1)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = write!(stream, "GET /_ready HTTP/1.1\r\nHost: director\r\n\r\n");
    let mut head = [0; 12];
    stream.read_exact(&mut head).is_ok() && head.starts_with(b"HTTP/1.1 2")
}

/// Waits for that yes, which is due within 6 s.
pub fn wait_yes(admin: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(6);
    while !ready(admin) {
        if Instant::now() > until {
            cannot_run("the new process is not ready");
        }
        sleep_ms(5);
    }
    note("the new process says yes to /_ready");
}

/// Puts a process that this run started on these cores.
pub fn pin(process: u32, cores: &str) {
    let arguments = ["-a", "-p", "-c", cores, &process.to_string()];
    let done = Command::new("taskset").args(arguments).stdout(Stdio::null()).status();
    if !done.is_ok_and(|status| status.success()) {
        cannot_run("taskset does not work");
    }
}

/// The cores that this process may use.
pub fn cores() -> Vec<u32> {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let list =
        status.lines().find_map(|l| l.strip_prefix("Cpus_allowed_list:")).unwrap_or("0").trim().to_owned();
    let part = |part: &str| {
        let (low, high) = part.split_once('-').unwrap_or((part, part));
        low.parse().unwrap_or(0)..=high.parse().unwrap_or(0)
    };
    list.split(',').flat_map(part).collect()
}

/// Registers a further process of this run, to be ended with it.
pub fn register(child: Child) {
    DIRECTORS.lock().expect("directors").push(Arc::new(Mutex::new(child)));
}
