//! What all cases share: the record, the director's process, its configuration, and the bulletin.
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Writes what was sent, answered and run to `record.txt`, with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    pub fn say(&self, line: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.4} {}", line.as_ref());
    }
}

/// How a case ends: whether the rule held, with one line for the record.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// The limit on the memory of a director.
pub const MEMORY_MB: u64 = 64;

/// Returns an address with a port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

/// The processes that the case started and that have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills what still runs of the processes that the case started.
pub fn end_all() {
    let started = STARTED.lock().map(|s| s.clone()).unwrap_or_default();
    started.into_iter().for_each(|pid| signal(pid, "KILL"));
}

/// A process has ended and was waited for: its number may be another's by now.
fn has_ended(pid: u32) {
    STARTED.lock().unwrap().retain(|started| *started != pid);
}

/// The bulletin: tells that nothing changes after the events of `known`.
pub fn start_bulletin(last: u64, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut stream = stream;
                let mut line = String::new();
                let reader = stream.try_clone().expect("a clone");
                let _ = BufReader::new(reader).read_line(&mut line);
                record.say(format!("bulletin <- {}", line.trim()));
                while stream.write_all(format!("{last}\n").as_bytes()).is_ok() {
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    });
    address
}

/// A streamer's entry in the list.
pub fn member(id: &str, address: SocketAddr, cell: usize) -> String {
    let flavor = if cell % 2 == 0 { "two-core" } else { "three-core" };
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"hall-a","flavor":"{flavor}","cell":{cell},"phase":"in_service","size":4,"up_since_ms":0}}"#
    )
}

/// What of the settings differs between the cases.
pub struct Deployment {
    pub members: Vec<String>,
    pub handshake_price: f64,
}

/// Settings with the figures of the example in the wire page, for one director and one hall.
fn settings(deployment: &Deployment) -> String {
    let streamers = deployment.members.len() as f64;
    let (fleet_kb, rack_kb) = (9_836.0 * streamers, 9_836.0 * streamers * 0.7 / 2.0);
    let handshake = deployment.handshake_price;
    format!(
        r#"{{"accounts":[],
"bounds":{{"cancel":true,"cpu_us_per_s":400000,"dial_timeout_us":250000,"keepalive_us":15000000,"max_attempts":4,
"max_retry_after_us":1000000,"may_tell":false,"most_held":1000000,"multiplex":1048576,"probes":true,
"retry_after":true,"second_copies":false}},
"callers":{{"marks_retry":true}},"dcs":["hall-a","hall-b"],
"deductions":{{"cross_zone":0.021,"handshake":{handshake:?},"late_fail":0.05,"moves":0.14,"probe":0.01}},
"domain_type":"streams",
"family_info":{{"cells":12,"class_scale":[1.0,1.0],"fleet_kb":{fleet_kb:?},"full_from":1.2,"highest_rung":[3,3],
"is_live":[false,true],"kind_streams":[24,35],"ladder_kb":[172.0,364.0,767.0,1617.0],
"ladder_worth":[0.26,0.53,0.77,1.0],"lowest_rung":[1,0],"rack_kb":{rack_kb:?},"racks":2,"reports_every_us":0,
"seats":[0,0],"seen_after_us":987821,"shared_adds":1.0,"stall":7.0,"switch_s":0.52,"weight_kb":2459.0}},
"goal":{{"whole":0.6,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.2}},
"kinds":["two-core","three-core"],
"lanes":[{{"deadline_us":3000000,"dedup_scope":"all","effect":"at_most_once","importance":2.0,"name":"replay",
"repeat_window_us":5000000,"stream":true,"target_us":1500000}},{{"deadline_us":3000000,"dedup_scope":"all",
"effect":"idempotent","importance":1.0,"name":"seat-view","repeat_window_us":5000000,"stream":true,
"target_us":1500000}}],
"me":0,"membership_mode":"pushed","my_zone":"hall-a","over_share_worth":0.1,"peers_total":1,
"report":{{"how":"pull","names":["load_share","x1"]}},
"rules":{{"answer_slack_us":40000,"ask_within_us":10000000,"cold_from":0.4,"drain_grace_us":1000000,
"fall_multiple":3.0,"overload_for_us":1000000,"ramp_time_us":12000000}},
"stage":0,"tick_us":10000,"tiers":["media-fleet"],"weights":"rough","worth_by":"request"}}"#
    )
}

/// What the platform prepares before it starts the processes of a director.
pub struct Site {
    run: String,
    address: SocketAddr,
    folder: PathBuf,
    /// The clients' listening socket, where the platform holds it.
    held: Option<TcpListener>,
}

/// A director's process, started with the `run` command of the deploy file.
pub struct Director {
    child: Child,
    pub address: SocketAddr,
    pub admin: SocketAddr,
}

unsafe extern "C" {
    fn dup2(from: i32, to: i32) -> i32;
}

/// The descriptor under which a process inherits the clients' listening socket.
const INHERITED: i32 = 5;

impl Site {
    /// Writes the configuration. With `holds`, the platform holds the clients' listening socket.
    pub fn prepare(deployment: &Deployment, holds: bool, record: &Record) -> Result<Site, String> {
        let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
        let run = text.lines().find_map(|l| l.strip_prefix("run = \""));
        let run = run.and_then(|r| r.split('"').next()).ok_or("the deploy file has no run")?.to_owned();
        let folder = std::env::temp_dir().join(format!("stonewharf-review-2-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp")).map_err(|e| e.to_string())?;
        let held = holds.then(|| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let address = held.as_ref().map_or_else(free_address, |l| l.local_addr().expect("bound"));
        let bulletin = start_bulletin(1, record.clone());
        let members = deployment.members.join(",");
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":1024}},"bulletin":"{bulletin}",
"known":{{"no":1,"items":[{{"no":1,"roster":{{"revision":1,"complete":true,"members":[{members}]}}}}]}},
"settings":{}}}"#,
            settings(deployment)
        );
        std::fs::write(folder.join("config.json"), config).map_err(|e| e.to_string())?;
        Ok(Site { run, address, folder, held })
    }

    /// Starts a process and waits until it says that it takes clients, 30 s at most.
    pub fn start(&self, record: &Record) -> Result<Director, String> {
        let admin = free_address();
        let log = File::options().create(true).append(true).open(self.folder.join("log.txt"));
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &self.run])
            .current_dir(root())
            .env("LB_CONFIG", self.folder.join("config.json"))
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", self.address.to_string())
            .env("LB_ADMIN_ADDR", admin.to_string())
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_err(|e| e.to_string())?);
        if let Some(held) = &self.held {
            let from = held.as_raw_fd();
            command.env("LB_INHERITED_FD", INHERITED.to_string());
            // SAFETY: between fork and exec it makes one system call.
            unsafe {
                command.pre_exec(move || match dup2(from, INHERITED) {
                    INHERITED => Ok(()),
                    _ => Err(std::io::Error::last_os_error()),
                });
            }
        }
        let child = command.spawn().map_err(|e| e.to_string())?;
        STARTED.lock().unwrap().push(child.id());
        record.say(format!("director started as process {}: {}", child.id(), self.run));
        let mut director = Director { child, address: self.address, admin };
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            if !director.runs() {
                return Err("the director ended at its start".into());
            }
            if director.operator_call("GET /_ready") == Some(200) && director.takes_clients() == Some(true) {
                record.say(format!("process {} takes clients", director.child.id()));
                return Ok(director);
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the director was not ready within 30 s".into())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOG").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Director {
    /// SIGTERM, and SIGKILL where it still runs after `grace`.
    pub fn end(&mut self, grace: Duration, record: &Record) {
        record.say(format!("SIGTERM to process {}", self.child.id()));
        signal(self.child.id(), "TERM");
        let deadline = Instant::now() + grace;
        while self.runs() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(5));
        }
        if self.runs() {
            record.say(format!("SIGKILL to process {}", self.child.id()));
            signal(self.child.id(), "KILL");
            let _ = self.child.wait();
            has_ended(self.child.id());
        }
        record.say(format!("process {} has ended", self.child.id()));
    }

    /// The test at the viewers' address, as the front makes it: the answer, if there is one.
    pub fn takes_clients(&self) -> Option<bool> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        stream.write_all(&[0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 58, 0, 1, 0]).ok()?;
        let mut answer = [0; 15];
        stream.read_exact(&mut answer).ok()?;
        Some(answer[2] == 53 && answer[14] == 1)
    }

    /// A call at the operators' address; the status.
    pub fn operator_call(&self, call: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.admin).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        write!(stream, "{call} HTTP/1.1\r\nHost: operators\r\nContent-Length: 0\r\n\r\n").ok()?;
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.split(' ').nth(1)?.parse().ok()
    }

    /// The memory that the process holds now, in kB.
    pub fn memory_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        let runs = self.child.try_wait().is_ok_and(|ended| ended.is_none());
        if !runs {
            has_ended(self.child.id());
        }
        runs
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        if self.runs() {
            signal(self.child.id(), "KILL");
            let _ = self.child.wait();
            has_ended(self.child.id());
        }
    }
}

/// The root of the repository: two folders above the case.
fn root() -> PathBuf {
    let here = std::env::current_dir().expect("a folder");
    here.ancestors().find(|f| f.join("deploy/balancer.toml").exists()).expect("the repository").to_owned()
}
