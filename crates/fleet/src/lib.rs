//! Who is in the fleet. Keeps for each director a record (its present life, where it stands, who doubts it)
//! from the datagrams of its peers, and says what is to be sent. SWIM with suspicion (Das, Gupta, Motivala,
//! DSN 2002) finds failures and spreads news, by the library `foca`; on top of it stands what SWIM leaves to
//! one prober: a member is taken as lost only on the word of several observers (after Rapid, Suresh et al.,
//! USENIX ATC 2018), and an observer that was itself slow accuses nobody (after Lifeguard, Dadgar et al.,
//! DSN-W 2018).
//!
//! Owns no sockets, files or clock; answers no viewer and limits nothing. All times are microseconds of one
//! clock that never goes back.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fleet;
mod life;
mod message;
mod record;
mod settings;
mod swim;
mod view;
mod word;

pub use fleet::{Deed, Fleet, Me, News, Refused, Reply};
pub use life::{Life, Name, Phase};
pub use message::{Asked, DATAGRAM_MOST, FRAME_MOST, LEVEL, ask, order, read_ordered, read_view};
pub use settings::{FleetSettings, SettingError};
pub use view::{MemberView, Standing, View};

/// Digest of a text, the same in all processes of this program.
pub fn digest(text: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text)
}
