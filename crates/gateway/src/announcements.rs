//! Heeds what servers announce about themselves in their answers: that they leave, or want
//! a pause.
//!
//! The store tells of leaving servers as well, but may be away, slow or cut off from here.

use cuminpick::crash_detection::ServerIncarnation;
use cuminpick::updates::LeavingNotice;
use cuminpick_platform::headers::AnswerHead;
use cuminpick_platform::headers::RequestedPause;
use slog::o;

use crate::crash_tracking::unix_millis;
use crate::state::Gateway;

/// Maximum number of announcements that are queued for broadcast.
const MAX_QUEUED_NOTICES: usize = 32;

/// Records what an answer of a server announces.
pub fn record_announcement(gateway: &Gateway, incarnation: ServerIncarnation, head: &AnswerHead) {
    record_pause(gateway, &incarnation, head.pause);
    if !head.leaving || head.from_other_server || !record_leaving(gateway, &incarnation, true) {
        return;
    }
    let mut news = gateway.leaving_news.borrow_mut();
    if news.len() < MAX_QUEUED_NOTICES {
        let ServerIncarnation { server, started_ms } = incarnation;
        news.push(LeavingNotice { server, started_ms });
        gateway.crash_update_due.notify_one();
    }
}

/// Sends nothing to a server for as long as it asked of this gateway.
fn record_pause(gateway: &Gateway, incarnation: &ServerIncarnation, pause: RequestedPause) {
    let now = gateway.now();
    match pause {
        RequestedPause::None => {}
        RequestedPause::For(pause) => {
            let asked_ms = unix_millis(gateway);
            gateway.balance.borrow_mut().pause(now, incarnation, pause, asked_ms);
            gateway.journal.note(
                "server-paused",
                None,
                o!("server" => incarnation.server.clone(), "born" => incarnation.started_ms,
                   "pause_ms" => pause.as_millis() as u64),
            );
        }
        RequestedPause::Unreadable => {
            gateway.metrics.count_unreadable("pause");
            gateway.journal.warn("pause-unreadable", o!("server" => incarnation.server.clone()));
        }
    }
}

/// Applies announcements that another gateway heard.
pub fn apply_leaving_notices(gateway: &Gateway, notices: Vec<LeavingNotice>) {
    for LeavingNotice { server, started_ms } in notices {
        record_leaving(gateway, &ServerIncarnation { server, started_ms }, false);
    }
}

fn record_leaving(gateway: &Gateway, incarnation: &ServerIncarnation, heard_here: bool) -> bool {
    let now = gateway.now();
    let is_new = gateway.balance.borrow_mut().record_leaving(now, incarnation);
    if is_new {
        gateway.crash_detector.borrow_mut().mark_leaving(&incarnation.server);
        gateway.journal.note(
            "leaving-announced",
            None,
            o!("server" => incarnation.server.clone(), "born" => incarnation.started_ms,
               "source" => "answer", "noticed_here" => heard_here),
        );
        gateway.capacity_changed.notify_waiters();
    }
    is_new
}
