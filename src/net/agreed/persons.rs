//! What persons ask of what is agreed, and what they are told.
use super::super::peers::Peers;
use super::super::poll::Token;
use super::super::shared::Shared;
use super::whole::Whole;
use super::{Agreed, ORDERS_MOST};
use serde::{Deserialize, Serialize};
use stonewharf_agreement::{Answer, Order, Status};
use stonewharf_rollout::{Command, Reply, Rollout};

/// What a person asks of a director.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Request {
    /// What it sees now.
    Status,
    /// What is agreed, read behind all that was agreed before.
    Read {
        /// No other order has it.
        id: u128,
    },
    /// A command, under a number that no other has; asking again by the same number acts once.
    Act {
        /// The number.
        id: u128,
        /// What.
        command: Command,
    },
    /// A change of who votes.
    Voter {
        /// The number.
        id: u128,
        /// Who.
        name: String,
        /// Votes, or votes no longer.
        add: bool,
    },
}

/// What it is answered.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Told {
    /// It is so now.
    pub done: bool,
    /// It is not known whether it is: the same order again is safe.
    pub unsure: bool,
    /// One line.
    pub text: String,
    /// The director that answers.
    pub director: String,
    /// What it sees of the log.
    pub log: Option<LogSeen>,
    /// What is agreed.
    pub rollout: Option<Rollout>,
}

/// [`Status`] as it travels.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LogSeen {
    /// Its part: learner, waiting, unsure, voter, leader.
    pub role: String,
    /// The log's number, in hexadecimal; 0: none.
    pub log: String,
    /// The term, where it votes.
    pub term: u64,
    /// The leader, where it is known.
    pub leader: Option<String>,
    /// The last entry applied here.
    pub applied: u64,
    /// Who votes.
    pub voters: Vec<String>,
}

impl Agreed {
    pub(super) fn order(&mut self, shared: &mut Shared, peers: &mut Peers, token: Token, bytes: &[u8]) {
        let (id, order) = match postcard::from_bytes(bytes) {
            Ok(Request::Status) => {
                let told = self.told(true, false, String::new(), true);
                return say(shared, peers, token, &told);
            }
            Ok(Request::Read { id }) => (id, Order::Read),
            Ok(Request::Act { id, command }) => (id, Order::Act(command.encode())),
            Ok(Request::Voter { id, name, add: true }) => (id, Order::AddVoter(name)),
            Ok(Request::Voter { id, name, add: false }) => (id, Order::RemoveVoter(name)),
            Err(_) => {
                let told =
                    self.told(false, false, "this version of the program knows no such order".into(), false);
                return say(shared, peers, token, &told);
            }
        };
        if self.orders.len() >= ORDERS_MOST {
            self.orders.pop_first();
        }
        self.orders.insert(id, token);
        self.agreement.order(shared.now, id, order);
    }

    pub(super) fn answer(&self, answer: &Answer) -> Told {
        match answer {
            Answer::Done(bytes) if bytes.is_empty() => self.told(true, false, "done".into(), false),
            Answer::Done(bytes) => {
                if let Some(whole) = Whole::read(bytes) {
                    let told = self.told(true, false, String::new(), true);
                    return Told { rollout: Some(whole.rollout), ..told };
                }
                match Reply::decode(bytes) {
                    Reply::Done => self.told(true, false, "done".into(), false),
                    Reply::Permit(permit) => {
                        self.told(true, false, format!("permit {}", permit.number), false)
                    }
                    Reply::Drained { number, names } => {
                        self.told(true, false, format!("permit {number}: {}", names.join(" ")), false)
                    }
                    Reply::Refused(why) => self.told(false, false, format!("refused: {why}"), false),
                    Reply::Unreadable => {
                        self.told(false, false, "the voters' version knows no such command".into(), false)
                    }
                }
            }
            Answer::Refused(why) => self.told(false, false, format!("refused: {why}"), false),
            Answer::Unanswered => {
                self.told(false, true, "no leader has answered; is there a quorum of voters?".into(), false)
            }
        }
    }

    fn told(&self, done: bool, unsure: bool, text: String, whole: bool) -> Told {
        let Status { role, log, term, leader, applied, voters } = self.agreement.status();
        let role = format!("{role:?}").to_lowercase();
        let log = LogSeen { role, log: format!("{log:x}"), term, leader, applied, voters };
        let rollout = whole.then(|| self.agreement.machine().rollout.clone());
        Told { done, unsure, text, director: self.name.clone(), log: whole.then_some(log), rollout }
    }
}

pub(super) fn say(shared: &mut Shared, peers: &mut Peers, token: Token, told: &Told) {
    peers.ordered(shared, token, &serde_json::to_string(told).unwrap_or_default());
}
