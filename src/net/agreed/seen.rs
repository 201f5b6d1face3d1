//! The members as a leader's view has them, and the log's news as lines.
use super::super::peers::Peers;
use super::super::shared::Shared;
use slog::{info, warn};
use stonewharf_agreement::News;
use stonewharf_fleet::{Phase, Standing};
use stonewharf_rollout::Member;

/// The members as the leader's view has them.
pub(super) fn members(peers: &Peers, shared: &Shared) -> Vec<Member> {
    let of = |m: stonewharf_fleet::MemberView| {
        let in_fleet = m.standing == Standing::In;
        let serving = in_fleet && m.phase == Phase::Serving;
        let (version, settings) = (m.version, m.digest);
        Member {
            name: m.name,
            hall: m.hall,
            incarnation: m.incarnation,
            serving,
            in_fleet,
            version,
            settings,
        }
    };
    peers.view(shared).members.into_iter().map(of).collect()
}

/// One line for what has changed; the keys are stable, see docs/operators/agreement.md.
pub(super) fn tell(shared: &Shared, news: &News) {
    let (log, now) = (&shared.log, shared.now);
    match news {
        News::TakesPart(number) => {
            info!(log, "agreed log: takes part"; "at_us" => now, "log" => format!("{number:x}"));
        }
        News::Leader(leader, term) => info!(log, "agreed log: leader"; "at_us" => now,
            "leader" => leader.clone().unwrap_or_default(), "term" => term),
        News::Older(by) => warn!(log, "agreed log: the folder is an older copy, this director votes no more \
            until it is removed and added as a voter"; "at_us" => now, "lacks_batches" => by),
        News::Lacks => {
            warn!(log, "agreed log: the folder lacks what it acknowledged, this director votes no \
            more until it is removed and added as a voter"; "at_us" => now)
        }
        News::Voters(names) => {
            info!(log, "agreed log: voters"; "at_us" => now, "voters" => names.join(" "));
        }
    }
}
