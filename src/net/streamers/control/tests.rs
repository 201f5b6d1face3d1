//! Tests of the record of control messages that may be unread.
use super::*;

const SECOND: Micros = 1_000_000;

fn release(id: u64) -> ControlMessage {
    ControlMessage::Release(RequestId(id))
}

/// What a streamer has acknowledged, or was written before that, is not sent again.
#[test]
fn acknowledged_and_old_messages_count_as_read() {
    let mut written = WrittenControl::default();
    written.record(0, release(1));
    written.record(SECOND, ControlMessage::SetRung(RequestId(2), 3));
    written.record(SECOND, release(3));
    written.record(2 * SECOND, release(4));
    written.record(2 * SECOND, ControlMessage::Probe(RequestId(5)));
    written.acknowledged(RequestId(9));
    assert_eq!(written.unread(2 * SECOND).count(), 4, "probes are not recorded");
    assert_eq!(written.unread(ASSUMED_READ_AFTER_US).count(), 3, "the oldest one counts as read");
    written.acknowledged(RequestId(3));
    assert_eq!(written.unread(2 * SECOND).collect::<Vec<_>>(), [release(4)]);
}

/// The record of a connection is bounded.
#[test]
fn the_oldest_of_too_many_messages_count_as_read() {
    let mut written = WrittenControl::default();
    (0..=MAX_WRITTEN as u64).for_each(|id| written.record(0, release(id)));
    assert_eq!(written.unread(0).next(), Some(release(1)));
    assert_eq!(written.unread(0).count(), MAX_WRITTEN);
}
