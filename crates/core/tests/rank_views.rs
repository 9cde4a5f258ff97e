//! Which reports of ranks the leader of a group accepts.

use std::time::Duration;

use cuminpick::orders::RankStatus;
use cuminpick::rank_views::RankViews;

fn status(rank: usize) -> RankStatus {
    RankStatus {
        rank,
        epoch: 1,
        open: true,
        pass: 1,
        map: 0,
        prepared: None,
        armed: None,
        held: None,
        orders: 0,
        running: 0,
        waiting: 0,
        slowdown: 1.0,
    }
}

/// Guards against a panic of the leader: an agent whose group has grown reports a rank that the
/// leader's group does not have.
#[test]
fn unknown_rank() {
    let mut views = RankViews::new(3);
    views.record_report(Duration::ZERO, status(3), Vec::new(), None);
    views.record_read(Duration::ZERO, Duration::ZERO, status(4), Vec::new());
    assert_eq!(views.unknown(), 3);
    views.record_report(Duration::ZERO, status(2), Vec::new(), None);
    assert_eq!(views.unknown(), 2);
}
