//! Orders to the fleet from the command line: `stonewharf fleet log | voters`, `stonewharf drain`,
//! `stonewharf out`. Each goes to one running director, which carries it to whoever leads; one that nobody
//! answered is sent again under the same number, so that it acts once.
use super::members::exchange;
use crate::net::{NodeError, Request, Told, read_operator_file};
use clap::{Args, Subcommand};
use comfy_table::{Table, presets};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use stonewharf_rollout::{Command, DrainScope, Rollout};

/// One try of an order.
const TRY: Duration = Duration::from_secs(2);
/// Between two tries.
const AGAIN: Duration = Duration::from_millis(200);

/// Whom an order goes to, and how.
#[derive(Args, Clone)]
pub struct To {
    /// The operator file (HCL) of a director of the fleet.
    #[arg(long, value_name = "FILE")]
    operator: PathBuf,
    /// Another director of the fleet, by where it listens for peers.
    #[arg(long, value_name = "ADDRESS")]
    at: Option<SocketAddr>,
    /// Seconds to wait for an answer, 1 to 3,600.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    wait: u64,
    /// Who orders it, for the record.
    #[arg(long, default_value = "operator")]
    pub by: String,
    /// Print the answer as JSON.
    #[arg(long)]
    json: bool,
}

/// Who votes.
#[derive(Subcommand, Clone)]
pub enum Voters {
    /// Let a director vote: it must be on, with a folder. One at a time.
    Add {
        /// The director.
        name: String,
        #[command(flatten)]
        to: To,
    },
    /// Let a director vote no longer: one that is gone, or has lost its folder.
    Remove {
        /// The director.
        name: String,
        #[command(flatten)]
        to: To,
    },
}

/// What is taken out of service in good order.
#[derive(Subcommand, Clone)]
pub enum Drain {
    /// Let a director leave: it gets a permit and ends by itself. Fails where a budget forbids it; with
    /// --until, asks again until it is given.
    Director {
        /// The director.
        name: String,
        /// Seconds for which a refusal is no answer, 0 to 86,400.
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=86_400))]
        until: u64,
        #[command(flatten)]
        to: To,
    },
    /// No new session goes to these streamers; what plays there is left to end.
    #[command(flatten)]
    Streamers(Streamers),
}

/// Which streamers.
#[derive(Subcommand, Clone)]
pub enum Streamers {
    /// One streamer, by its name on the list.
    Streamer {
        /// The streamer.
        name: String,
        #[command(flatten)]
        to: To,
    },
    /// All streamers of a rack.
    Rack {
        /// The rack's number.
        rack: u32,
        #[command(flatten)]
        to: To,
    },
    /// All streamers of a hall.
    Hall {
        /// The hall.
        name: String,
        #[command(flatten)]
        to: To,
    },
}

impl Streamers {
    fn scope(&self) -> (DrainScope, &To) {
        match self {
            Streamers::Streamer { name, to } => (DrainScope::Streamer(name.clone()), to),
            Streamers::Rack { rack, to } => (DrainScope::Rack(*rack), to),
            Streamers::Hall { name, to } => (DrainScope::Hall(name.clone()), to),
        }
    }
}

/// What is out of service, and whether more may be.
#[derive(Subcommand, Clone)]
pub enum Out {
    /// Who is out, by which permit, and what the budgets are; as agreed up to now.
    Status(To),
    /// What was asked, given, refused and halted, the last of it.
    History(To),
    /// Give no more permits until somebody resumes.
    Halt(To),
    /// Give permits again, after a halt.
    Resume(To),
    /// A director that is gone for good counts as out no longer.
    Forget {
        /// The director.
        name: String,
        #[command(flatten)]
        to: To,
    },
}

/// Why an order came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The operator file can't be used.
    #[error(transparent)]
    File(#[from] NodeError),
    /// Nothing is agreed there.
    #[error(
        "operator file {0}: it has no blocks fleet and agreement that are on; add them, or name another file"
    )]
    Off(String),
    /// The director does not answer.
    #[error("the director at {0} does not answer: {1}; is it running, with this cluster's name?")]
    Silent(SocketAddr, io::Error),
    /// It answered what can't be read.
    #[error("what answers at {0} is no director of this program's version, or agrees on nothing")]
    Unreadable(SocketAddr),
    /// The plan of a release can't be used.
    #[error("{0}")]
    Plan(String),
    /// It can't be.
    #[error("{0}")]
    Refused(String),
    /// Nobody knows whether it is.
    #[error("{0}; it is not known whether the order acts, and safe to give it again")]
    Unsure(String),
}

/// Unix milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A number that no other order has: of this process, moment and count.
fn number() -> u128 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let text = format!("{}#{count}", std::process::id());
    nanos << 64 | u128::from(stonewharf_fleet::digest(text.as_bytes()))
}

impl To {
    /// Sends an order until it is answered, or the time is over.
    fn ask(&self, request: &Request) -> Result<Told, OrderError> {
        let off = || OrderError::Off(self.operator.display().to_string());
        let own = read_operator_file(&self.operator, None)?;
        let set = own.fleet.filter(|set| set.enabled).ok_or_else(off)?;
        own.agreement.ok_or_else(off)?;
        // Whoever is asked may be the one that leaves: the seeds know as well.
        let own = SocketAddr::V4(set.listens_at().map_err(|_| off())?);
        let mut ways = vec![self.at.unwrap_or(own)];
        ways.extend(set.seed_addresses().unwrap_or_default().into_iter().map(SocketAddr::V4));
        let mut way = ways.iter().copied().cycle();
        let mut at = way.next().unwrap_or(own);
        let mut tries = 1;
        let bytes = postcard::to_allocvec(request).unwrap_or_default();
        let frame = stonewharf_fleet::order(&set.cluster, &bytes);
        let until = Instant::now() + Duration::from_secs(self.wait);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let answer = exchange(at, &frame, TRY.min(left.max(AGAIN)));
            let over = Instant::now() + AGAIN >= until;
            match answer {
                Ok(bytes) => {
                    let json = stonewharf_fleet::read_ordered(&bytes).ok_or(OrderError::Unreadable(at))?;
                    let told: Told = serde_json::from_str(&json).map_err(|_| OrderError::Unreadable(at))?;
                    if !told.unsure {
                        return Ok(told);
                    }
                    if over {
                        return Err(OrderError::Unsure(told.text));
                    }
                }
                // Nothing listens at any of them: waiting does not mend that.
                Err(why)
                    if over || (tries >= ways.len() && why.kind() == io::ErrorKind::ConnectionRefused) =>
                {
                    return Err(OrderError::Silent(at, why));
                }
                Err(_) => {
                    tries += 1;
                    at = way.next().unwrap_or(at);
                }
            }
            std::thread::sleep(AGAIN);
        }
    }

    /// What is agreed, behind all that was agreed before.
    pub fn read(&self) -> Result<Told, OrderError> {
        self.ask(&Request::Read { id: number() })
    }

    /// Gives a command.
    pub fn act(&self, command: Command) -> Result<Told, OrderError> {
        self.ask(&Request::Act { id: number(), command })
    }

    /// Gives a command anew while it is refused, for so many seconds.
    pub fn insist(&self, seconds: u64, command: impl Fn() -> Command) -> Result<Told, OrderError> {
        let end = Instant::now() + Duration::from_secs(seconds);
        loop {
            let told = self.act(command())?;
            if told.done || Instant::now() >= end {
                return Ok(told);
            }
            std::thread::sleep(AGAIN); // a new order: the last one was answered
        }
    }

    /// Prints an answer, or fails with it.
    pub fn print(&self, told: &Told, text: impl FnOnce(&Told) -> String) -> Result<(), OrderError> {
        let text = if self.json { serde_json::to_string(told).unwrap_or_default() } else { text(told) };
        if !told.done && !self.json {
            return Err(OrderError::Refused(text));
        }
        let _ = writeln!(io::stdout(), "{text}"); // whoever closed it has seen enough
        if told.done { Ok(()) } else { Err(OrderError::Refused(told.text.clone())) }
    }
}

/// `stonewharf fleet log`.
pub fn log(to: &To) -> Result<(), OrderError> {
    let told = to.ask(&Request::Status)?;
    to.print(&told, |told| {
        let Some(log) = &told.log else { return String::new() };
        let leader = log.leader.as_deref().unwrap_or("none known");
        format!(
            "{} is {} of log {} in term {}: leader {leader}, entry {}, voters {}",
            told.director,
            log.role,
            log.log,
            log.term,
            log.applied,
            log.voters.join(" ")
        )
    })
}

/// `stonewharf fleet voters`.
pub fn voters(asked: &Voters) -> Result<(), OrderError> {
    let (name, to, add) = match asked {
        Voters::Add { name, to } => (name, to, true),
        Voters::Remove { name, to } => (name, to, false),
    };
    let told = to.ask(&Request::Voter { id: number(), name: name.clone(), add })?;
    to.print(&told, |told| told.text.clone())
}

/// `stonewharf drain`.
pub fn drain(asked: &Drain) -> Result<(), OrderError> {
    let (name, until, to) = match asked {
        Drain::Director { name, until, to } => (name, until, to),
        Drain::Streamers(streamers) => {
            let (scope, to) = streamers.scope();
            let told = to.act(Command::Drain { scope, by: to.by.clone(), now_ms: now_ms() })?;
            return to.print(&told, |told| told.text.clone());
        }
    };
    let ask = || Command::Ask { name: name.clone(), by: to.by.clone(), now_ms: now_ms() };
    let told = to.insist(*until, ask)?;
    to.print(&told, |told| match told.done {
        true => format!("{name} leaves by {}", told.text),
        false => told.text.clone(),
    })
}

/// `stonewharf undrain`.
pub fn undrain(asked: &Streamers) -> Result<(), OrderError> {
    let (scope, to) = asked.scope();
    let told = to.act(Command::Open { scope, by: to.by.clone(), now_ms: now_ms() })?;
    to.print(&told, |told| told.text.clone())
}

/// `stonewharf out`.
pub fn out(asked: &Out) -> Result<(), OrderError> {
    let (to, command) = match asked {
        Out::Status(to) | Out::History(to) => {
            let told = to.read()?;
            let history = matches!(asked, Out::History(_));
            return to.print(&told, |told| match &told.rollout {
                Some(rollout) if history => history_of(rollout),
                Some(rollout) => status_of(rollout),
                None => told.text.clone(),
            });
        }
        Out::Halt(to) => (to, Command::Halt { by: to.by.clone() }),
        Out::Resume(to) => (to, Command::Resume { by: to.by.clone() }),
        Out::Forget { name, to } => (to, Command::Forget { name: name.clone(), by: to.by.clone() }),
    };
    let told = to.act(command)?;
    to.print(&told, |told| told.text.clone())
}

fn status_of(rollout: &Rollout) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(["name", "hall", "life", "standing", "permit", "by"]);
    for (name, director) in &rollout.directors {
        let standing = format!("{:?}", director.standing).to_lowercase();
        let (permit, by) = match &director.permit {
            Some(p) if p.overdue => (format!("{} (overdue)", p.number), p.by.clone()),
            Some(p) => (p.number.to_string(), p.by.clone()),
            None => Default::default(),
        };
        let life = director.incarnation.to_string();
        table.add_row([name, &director.hall, &life, &standing, &permit, &by]);
    }
    let mut streamers = Table::new();
    streamers.load_style(presets::NOTHING);
    streamers.set_header(["streamer out", "hall", "rack", "list", "permit", "by"]);
    for (name, s) in rollout.streamers.iter().filter(|(_, s)| s.is_out()) {
        let list = if s.up { "in service" } else { "not in service" };
        let permit = s.permit.as_ref().map_or(String::new(), |p| match p.opened_ms {
            Some(_) => format!("{} (opened, cold)", p.number),
            None => p.number.to_string(),
        });
        let by = s.permit.as_ref().map_or("", |p| &p.by);
        streamers.add_row([name, &s.hall, &s.rack.to_string(), list, &permit, by]);
    }
    let budgets = &rollout.budgets;
    let halted = rollout.halted.as_ref().map_or("no".to_owned(), |why| format!("yes: {why}"));
    format!(
        "{table}\n\n{streamers}\n\n{} of {} directors out, {} of a hall at most; {} ms between steps, \
         {} ms at the longest; {} of {} streamers out; halted: {halted}",
        rollout.directors_out(None).len(),
        budgets.directors,
        budgets.directors_of_hall,
        budgets.step_ms,
        budgets.longest_ms,
        rollout.streamers_out().len(),
        budgets.streamers
    )
}

fn history_of(rollout: &Rollout) -> String {
    let line = |a: &stonewharf_rollout::AuditEntry| {
        let name = if a.name.is_empty() { "fleet" } else { &a.name };
        format!("{}.{:03} {name}: {}", a.at_ms / 1_000, a.at_ms % 1_000, a.what)
    };
    rollout.audit.iter().map(line).collect::<Vec<_>>().join("\n")
}
