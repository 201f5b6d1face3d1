//! Log lines of the level `trace` for every input to the core and every output from it.
//!
//! The lines contain ids and numbers but no session descriptions: their bytes made a line ten times as long,
//! and a day's trace heavy enough to change the timing that it was to show. This module also logs requests
//! that end without an answer.
use super::Node;
use crate::director::{Input, Output, SetUp};
use slog::debug;

impl Node {
    /// Logs connections that were lost while requests were pending on them.
    pub(super) fn log_lost_requests(&self, inputs: &[Input]) {
        for input in inputs {
            if let Input::LinkLost(link) = input
                && let (open @ 1.., _) = self.director.requests_and_sessions_on(*link)
            {
                debug!(self.shared.log, "requests are cancelled because their connection was lost";
                    "at_us" => self.shared.now, "connection" => link.0, "requests" => open);
            }
        }
    }
}

/// Describes an input briefly. Returns `None` for updates of the streamer list and the core's own timers,
/// which are not traced.
pub fn describe_input(input: &Input) -> Option<String> {
    Some(match input {
        Input::List { .. } | Input::Due(_) => return None,
        Input::Wanted { link, request, parcel } => {
            format!("Wanted {request:?} from {link:?}, class {:?}", parcel.class)
        }
        Input::Stands { streamer, session, number, description } => {
            format!("Stands {session:?} at {streamer:?}, attempt {number:?}, {} bytes", description.len())
        }
        Input::TurnedAway { streamer, session, number, outcome, report } => {
            format!("TurnedAway {session:?} at {streamer:?}, attempt {number:?}, {outcome:?}, {report:?}")
        }
        Input::Released { streamer, session, number, why, report, .. } => {
            format!("Released {session:?} at {streamer:?}, attempt {number:?}, {why:?}, {report:?}")
        }
        other => format!("{other:?}"),
    })
}

/// Describes an output briefly. Returns `None` for deadlines and log lines of the core, which are not traced.
pub fn describe_output(output: &Output) -> Option<String> {
    Some(match output {
        Output::Wake(..) | Output::Log(_) => return None,
        Output::Answer(link, id, description) => {
            format!("Answer {id:?} to {link:?}, {} bytes", description.len())
        }
        Output::SetUp(SetUp { streamer, attempt, rung, until, .. }) => {
            format!("SetUp {attempt:?} at {streamer:?}, rung {rung}, until {until}")
        }
        other => format!("{other:?}"),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::director::Parcel;
    use crate::interface::{Request, RequestId, StreamerId};
    use std::rc::Rc;

    #[test]
    fn trace_lines_keep_ids_and_omit_descriptions() {
        let parcel = Rc::new(Parcel { class: "paid".into(), title: "t".into(), description: vec![7; 500] });
        let request = Request { id: RequestId(42), ..Request::default() };
        let wanted = describe_input(&Input::Wanted { link: crate::director::ViewerLink(3), request, parcel });
        let wanted = wanted.expect("traced");
        assert!(wanted.contains("RequestId(42)") && wanted.len() < 400, "{wanted}");
        let answer =
            describe_output(&Output::Answer(crate::director::ViewerLink(3), RequestId(42), vec![7; 500]));
        assert_eq!(answer.as_deref(), Some("Answer RequestId(42) to ViewerLink(3), 500 bytes"));
        assert!(describe_output(&Output::Probe(StreamerId(1))).is_some());
    }
}
