//! One small log that a few voters agree on and the rest of the fleet learns. Raft (Ongaro, Ousterhout,
//! USENIX ATC 2014) by the library `raft`, with pre-vote and quorum checks; on top of it stands what that
//! library leaves to its host: how a log is founded once, how a voter that has lost its folder, or runs on
//! an older copy of it, is found out before it votes, and commands that act once however often they come.
//!
//! Owns no socket, file, thread or clock: words of other directors and the time come in, and words, batches
//! to be stored and answers go out. No vote, acknowledgement or answer leaves before what it stands on is
//! stored. Knows nothing of what is agreed: that is a [`Machine`]'s.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agreement;
mod entry;
mod held;
mod kept;
mod machine;
mod settings;
mod voter;
mod word;

pub use agreement::{Agreement, Answer, Deed, Me, News, Order, Role, Status};
pub use entry::{Conf, EntryKind, EntryWord, Hard, SnapshotWord};
pub use kept::{Batch, Change, Kept};
pub use machine::Machine;
pub use settings::{AgreementSettings, SettingError};
pub use word::{Unreadable, WORD_MOST};
