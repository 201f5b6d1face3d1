//! How a director begins: its files read and checked, its parts made, all before the first turn. It owns
//! nothing afterwards.
use super::agreed::Agreed;
use super::bulletin::Bulletin;
use super::clock::Clock;
use super::door::{self, Door};
use super::duty::{Phase, grace_us};
use super::error::NodeError;
use super::hand::ContinuityDriver;
use super::parts::Parts;
use super::peers::{self, Peers};
use super::poll::{self, Poll};
use super::shared::Shared;
use super::signals::Signals;
use super::streamers::Streamers;
use super::viewers::{self, Viewers};
use super::{Node, estate, lives};
use crate::director::{Counters, Director, Lifecycle, MetricsRegistry};
use crate::interface::{Micros, Settings};
use crate::platform::config::Config;
use crate::settings::NameRegistry;
use slog::{Logger, info};
use std::path::{Path, PathBuf};
use stonewharf_continuity::{ContinuitySettings, Coordinator, SharedCoordinator};
use stonewharf_fleet::{Fleet, FleetSettings, Me};
use stonewharf_halls::{HallSettings, Halls, SharedHalls};
use stonewharf_operator::{Known, Operator};
use stonewharf_rollout::{Drains, SharedDrains};

/// Descriptors that are neither viewers' nor streamers': standard streams, poller, timer, bulletin, spare.
const OWN_DESCRIPTORS: usize = 24;

/// Reads the operator file; with the names of a deployment, for that one.
pub fn operator(file: &Path, names: Option<&NameRegistry>) -> Result<Operator, NodeError> {
    let name = file.display().to_string();
    let bytes = std::fs::read(file).map_err(|why| NodeError::OperatorUnread(name.clone(), why))?;
    let known = names.map(|n| Known { classes: n.classes().to_vec(), halls: n.zones().to_vec() });
    let known = known.unwrap_or_default();
    Ok(Operator::parse_for(&name, &String::from_utf8_lossy(&bytes), &known)?)
}

/// Digest of the operator file's settings in force, but for what belongs to one machine.
pub fn digest(operator: &Operator) -> u64 {
    let fleet = operator.fleet.as_ref();
    let shared =
        fleet.map(|f| FleetSettings { cluster: f.cluster.clone(), names: f.names.clone(), ..<_>::default() });
    let shared = Operator { fleet: shared, ..operator.clone() };
    stonewharf_fleet::digest(shared.effective().as_bytes())
}

/// The fleet as one director begins with it, where its block is there and on.
fn fleet_of(
    set: &FleetSettings,
    config: &Config,
    hall: &str,
    digest: u64,
    now: Micros,
) -> Result<Fleet, NodeError> {
    let folder = (!set.folder.is_empty()).then(|| Path::new(&set.folder));
    if folder.is_some() {
        Signals::bear_full_files()?;
    }
    let incarnation = lives::next_incarnation(folder, now).map_err(|why| {
        NodeError::Fleet(format!("folder {:?} can't keep this life's number: {why}", set.folder))
    })?;
    let name = if set.name.is_empty() { config.name.clone() } else { set.name.clone() };
    let me =
        Me { name, incarnation, hall: hall.to_owned(), version: env!("CARGO_PKG_VERSION").into(), digest };
    Fleet::new(set, me, config.seed()?, now).map_err(|why| NodeError::Fleet(why.to_string()))
}

/// This director's part in sessions that outlive their director, where that is on.
fn lasting(
    settings: &Settings,
    names: &NameRegistry,
    fleet: Option<&Fleet>,
    set: Option<ContinuitySettings>,
    now: Micros,
) -> Option<SharedCoordinator> {
    let life = fleet?.me();
    let (name, hall) = (life.name.to_string(), life.hall.to_string());
    let me = stonewharf_continuity::LocalDirector { name, hall, incarnation: life.incarnation };
    Some(SharedCoordinator::new(Coordinator::new(set?, settings, names.classes(), me, now)))
}

/// The settings of the halls; a block that is absent is off, and may come by a reload.
pub(super) fn halls_of(operator: Operator) -> HallSettings {
    operator.halls.unwrap_or(HallSettings { enabled: false, ..HallSettings::default() })
}

impl Node {
    /// A director as configured; listens from here on.
    pub fn new(config: &Config, log: Logger) -> Result<Self, NodeError> {
        Node::with_operator(config, None, log)
    }

    /// A director as configured, with the operator file that sets our own subsystems.
    pub fn with_operator(config: &Config, file: Option<&Path>, log: Logger) -> Result<Self, NodeError> {
        Node::with_signals(config, file, Signals::take()?, log)
    }

    /// The same with signals that were taken before the files were read: one that comes in the middle of a
    /// start is followed as soon as the director serves.
    pub fn with_signals(
        config: &Config,
        file: Option<&Path>,
        signals: Signals,
        log: Logger,
    ) -> Result<Self, NodeError> {
        let clock = Clock::start();
        let now = clock.now();
        let (settings, mut names, transport) = NameRegistry::read(&config.settings)?;
        let mut fleet = None;
        let (mut agrees, mut outlives) = (None, None);
        let operator = match file {
            Some(file) => {
                let own = operator(file, Some(&names))?;
                if let Some(set) = own.fleet.clone().filter(|set| set.enabled) {
                    let hall = names.zone_name(settings.zone).unwrap_or_default().to_owned();
                    fleet = Some((fleet_of(&set, config, &hall, digest(&own), now)?, set));
                }
                outlives = own.continuity.clone().filter(|set| set.enabled);
                agrees = own.agreement.clone().map(|set| (set, own.out.clone().unwrap_or_default()));
                let own = halls_of(own);
                let (classes, zones) = (names.classes().to_vec(), &mut names);
                let class = |name: &str| classes.iter().position(|c| c == name);
                let halls = Halls::new(own, &settings, now, class, |name| zones.zone(name));
                Some((file.to_owned(), SharedHalls::new(halls)))
            }
            None => None,
        };
        let lasting = lasting(&settings, &names, fleet.as_ref().map(|(fleet, _)| fleet), outlives, now);
        let drains = Drains::new(&settings);
        let figures = MetricsRegistry::default();
        let counters = Counters::registered_in(&figures, names.classes());
        let mut director = Director::new(settings, config.seed()?, now)?.with_counters(counters.clone());
        let drains = agrees.as_ref().map(|_| SharedDrains::new(drains));
        if let Some(drains) = &drains {
            director = director.with_limits(Box::new(drains.clone()));
        }
        if let Some(hand) = &lasting {
            director = director.with_limits(Box::new(hand.clone()));
        }
        if let Some((_, halls)) = &operator {
            director = director.with_limits(Box::new(halls.clone()));
        }
        let poll = Poll::new()?;
        let (deadlines, inputs, heard) = Default::default();
        let mut shared = Shared { poll, deadlines, inputs, heard, counters, log, now, leave: None };
        let mut folder = None;
        let peers = match fleet {
            Some((fleet, set)) => {
                folder = (!set.folder.is_empty()).then(|| PathBuf::from(&set.folder));
                let named = |voters: &[String]| voters.iter().any(|name| **name == *fleet.me().name);
                if folder.is_none() && agrees.as_ref().is_some_and(|(set, _)| named(&set.voters)) {
                    let why = "this director is named as a voter and has no folder; set fleet.folder";
                    return Err(NodeError::Fleet(why.into()));
                }
                let at = set.listens_at().map_err(|why| NodeError::Fleet(why.to_string()))?;
                let listening = Peers::listen(&mut shared, at, fleet);
                Some(listening.map_err(|why| NodeError::Fleet(format!("can't listen on {at}: {why}")))?)
            }
            None => None,
        };
        let mut agreed = match (agrees, drains, &peers) {
            (Some((set, budgets)), Some(drains), Some(peers)) => {
                Some(Agreed::start(&shared, &set, budgets, drains, folder.as_deref(), peers))
            }
            _ => None,
        };
        if let (Some(agreed), Some(hand)) = (&mut agreed, lasting) {
            let hands = ContinuityDriver::new(hand);
            shared.leave = Some(hands.act_permission(clock.clone()));
            agreed.hands = Some(hands);
        }
        let door = match config.admin_addr {
            Some(at) => {
                let door = viewers::listen(at).and_then(|listener| {
                    info!(shared.log, "operators call"; "at" => %listener.local_addr()?);
                    Door::on(&mut shared, listener)
                });
                Some(door.map_err(|why| NodeError::Listen(at, why))?)
            }
            None => None,
        };
        let mut own = OWN_DESCRIPTORS;
        own += if peers.is_some() { peers::DESCRIPTORS } else { 0 };
        own += if door.is_some() { door::DESCRIPTORS } else { 0 };
        let sockets = config.limits.sockets.saturating_sub(own);
        let listener = match config.inherited {
            Some(fd) => poll::inherit(fd).map_err(|why| NodeError::Inherited(fd, why))?,
            None => viewers::listen(config.listen).map_err(|why| NodeError::Listen(config.listen, why))?,
        };
        let viewers = Viewers::on(&mut shared, listener, sockets / 2)
            .map_err(|why| NodeError::Listen(config.listen, why))?;
        let duty = Lifecycle::new(grace_us(transport.longest_deadline_us()), config.inherited.is_some());
        let streamers = Streamers::new(transport.clone(), sockets / 2);
        let bulletin = Bulletin::new(config.bulletin, config.known.no);
        let mut node = Node {
            clock,
            director,
            names,
            transport,
            shared,
            signals,
            parts: Parts { viewers, streamers, bulletin, door, peers },
            agreed,
            file: config.file().map(Path::to_owned),
            name: config.name.clone(),
            info: config.settings.clone(),
            operator,
            told_to_end: false,
            duty,
            figures,
            estate: config.shared_folder().map(|folder| estate::file_path(folder, &config.name)),
            inherited: false,
            phase: Phase::Serving,
            tracing: false,
        };
        config.known.items.iter().for_each(|notice| node.notice(notice, true));
        node.parts.bulletin.look(&mut node.shared);
        node.parts.streamers.begin(&mut node.shared);
        Ok(node)
    }
}
