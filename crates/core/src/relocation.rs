//! Decides whether running streams are moved off a slow rank of a group.
//!
//! A pass lasts as long as its slowest rank. While a rank is slow, expert maps keep experts
//! off it and no new stream is sent to it, but each stream that it already runs still
//! delays the streams of all other ranks until it ends.

use std::time::Duration;

use crate::admission::PASS_TIME_SHARE;
use crate::routing::EngineModel;

/// Returns whether the streams of a rank keep the passes of its group from being on time.
///
/// `slowdown` is the time that the rank's work takes relative to a healthy one, `streams`
/// the number of streams that it runs, and `target` the longest accepted event gap.
pub fn delays_group(model: &EngineModel, slowdown: f64, streams: u32, target: Duration) -> bool {
    let pass = model.pass_seconds(f64::from(streams), 1.0) * slowdown;
    pass > target.as_secs_f64() * PASS_TIME_SHARE
}
