//! All that is agreed, as the log's machine: who may be out, and what becomes of estates. Commands on estates
//! begin with a byte that no other begins with, and their state follows the other: a program that knows
//! nothing of them passes over both.
use stonewharf_agreement::Machine;
use stonewharf_continuity::{Command, OwnershipState};
use stonewharf_rollout::Rollout;

/// No command of a rollout begins with this: their numbers are small.
const ESTATES: u8 = 0xff;

/// The agreed state.
#[derive(Clone, Debug, Default)]
pub struct Whole {
    /// Who may be out of service.
    pub rollout: Rollout,
    /// What becomes of estates.
    pub estates: OwnershipState,
}

/// A command on estates, as bytes.
pub fn on_estates(command: &Command) -> Vec<u8> {
    let mut bytes = vec![ESTATES];
    bytes.extend(postcard::to_allocvec(command).unwrap_or_default());
    bytes
}

impl Whole {
    /// A whole state from bytes; none where they are something else.
    pub fn read(bytes: &[u8]) -> Option<Whole> {
        let (rollout, rest): (Rollout, _) = postcard::take_from_bytes(bytes).ok()?;
        // Of a version that knew no estates: none.
        let estates =
            if rest.is_empty() { OwnershipState::default() } else { postcard::from_bytes(rest).ok()? };
        let whole = Whole { rollout, estates };
        (rest.is_empty() || whole.snapshot() == bytes).then_some(whole)
    }
}

impl Machine for Whole {
    fn apply(&mut self, command: &[u8]) -> Vec<u8> {
        match command.split_first() {
            Some((&ESTATES, command)) => {
                postcard::to_allocvec(&self.estates.apply(command)).unwrap_or_default()
            }
            _ => self.rollout.apply(command).encode(),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = self.rollout.snapshot();
        bytes.extend(postcard::to_allocvec(&self.estates).unwrap_or_default());
        bytes
    }

    fn restore(&mut self, state: &[u8]) -> bool {
        Whole::read(state).map(|whole| *self = whole).is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use stonewharf_rollout::Command as Out;

    #[test]
    fn both_parts_come_back_and_a_state_of_before_has_no_estates() {
        let mut whole = Whole::default();
        whole.apply(&Out::Time { now_ms: 7 }.encode());
        whole.apply(&on_estates(&Command::BecomeGrantor { name: "d0".into(), incarnation: 1 }));
        assert_eq!((whole.rollout.now_ms, whole.estates.grantor_term), (7, 1));
        let back = Whole::read(&whole.snapshot()).expect("read");
        assert_eq!((&back.rollout, &back.estates), (&whole.rollout, &whole.estates));
        let before = Whole::read(&whole.rollout.snapshot()).expect("read");
        assert_eq!(before.estates, OwnershipState::default());
        // What this version adds behind it is passed over by one that knows nothing of it.
        assert_eq!(Rollout::restore(&whole.snapshot()).as_ref(), Some(&whole.rollout));
        let mut old = Rollout::default();
        let reply = old.apply(&on_estates(&Command::BecomeGrantor { name: "d0".into(), incarnation: 1 }));
        assert_eq!((reply, old), (stonewharf_rollout::Reply::Unreadable, Rollout::default()));
    }
}
