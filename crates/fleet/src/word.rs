//! What observers say of a member in question, and how it spreads: with SWIM's messages, each word so many
//! times as they spread their own news. Nothing is judged here.
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Words remembered, so that each is passed on once; the oldest go first.
const KNOWN_MOST: usize = 4096;
/// Observers that a verdict may name.
const BY_MOST: usize = 8;

/// What is said of one life of a member.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Saying {
    /// The observer tried and heard nothing.
    Unheard,
    /// The observer has just heard it.
    Heard,
    /// It is taken as lost, on the word of these observers.
    Lost(Vec<String>),
}

/// One word.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Word {
    /// Who says it.
    pub observer: String,
    /// Of whom.
    pub subject: String,
    /// Of which of its lives.
    pub incarnation: u64,
    /// Numbers what this observer says of this subject.
    pub number: u32,
    /// What.
    pub saying: Saying,
}

impl Word {
    /// As it travels; `None` for one that can't, which is none of ours.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok()
    }
}

impl Word {
    /// One that came straight from its observer.
    pub fn read(bytes: &[u8]) -> Option<Word> {
        let word: Word = postcard::from_bytes(bytes).ok()?;
        (!matches!(&word.saying, Saying::Lost(by) if by.len() > BY_MOST)).then_some(word)
    }
}

/// Which word replaces which: the same observer's later one of the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    observer: String,
    subject: String,
    order: (u64, u32),
}

impl Invalidates for Key {
    fn invalidates(&self, other: &Key) -> bool {
        (&self.observer, &self.subject) == (&other.observer, &other.subject) && self.order >= other.order
    }
}

/// A word that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("a word of an observer can't be read")]
pub struct Unreadable;

/// Words that have come and are not yet weighed.
pub type Inbox = Rc<RefCell<Vec<Word>>>;

/// Takes words in, each once.
#[derive(Default)]
pub struct Words {
    inbox: Inbox,
    known: BTreeMap<(String, String), (u64, u32)>,
    order: VecDeque<(String, String)>,
}

impl Words {
    /// With the inbox that it fills.
    pub fn new() -> (Words, Inbox) {
        let words = Words::default();
        let inbox = Rc::clone(&words.inbox);
        (words, inbox)
    }
}

impl<T> BroadcastHandler<T> for Words {
    type Key = Key;
    type Error = Unreadable;

    fn receive_item(&mut self, data: &[u8], from: Option<&T>) -> Result<Option<Key>, Unreadable> {
        let word = Word::read(data).ok_or(Unreadable)?;
        let (about, order) = ((word.observer.clone(), word.subject.clone()), (word.incarnation, word.number));
        if self.known.get(&about).is_some_and(|known| *known >= order) {
            return Ok(None);
        }
        if self.known.insert(about.clone(), order).is_none() {
            self.order.push_back(about);
            if self.order.len() > KNOWN_MOST
                && let Some(oldest) = self.order.pop_front()
            {
                self.known.remove(&oldest);
            }
        }
        let key = Key { observer: word.observer.clone(), subject: word.subject.clone(), order };
        if from.is_some() {
            self.inbox.borrow_mut().push(word); // own ones are weighed as they are said
        }
        Ok(Some(key))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_word_is_taken_once_and_a_later_one_replaces_it() {
        let (mut words, inbox) = Words::new();
        let word = |number| Word {
            observer: "a".into(),
            subject: "b".into(),
            incarnation: 7,
            number,
            saying: Saying::Unheard,
        };
        let mut take =
            |word: Word| words.receive_item(&word.bytes().expect("bytes"), Some(&())).expect("read");
        let first = take(word(1)).expect("new");
        assert!(take(word(1)).is_none(), "known");
        let second = take(word(2)).expect("later");
        assert!(second.invalidates(&first) && !first.invalidates(&second));
        assert!(take(word(1)).is_none(), "overtaken");
        assert_eq!(inbox.borrow().len(), 2);
        assert!(words.receive_item(&[255; 40], Some(&())).is_err(), "noise is refused");
    }
}
