//! Finds the waiting streams whose turn comes too late.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::admission::GateRequest;
use crate::ids::FastMap;
use crate::ids::RequestId;

/// Factor by which more streams may leave than estimated; those that would then be served are not
/// refused for their wait.
const RATE_MARGIN: f64 = 1.25;

/// Returns the waiting streams that cannot be admitted before their latest start when `rate` streams
/// per second leave, with the number of streams before each that take a place which is not
/// free yet.
///
/// Streams are served as the queues serve them while capacity is scarce: by priority, then those
/// that are on time, and in rounds of one stream of each organisation. Those of the same round count
/// as none before a stream, since which of them comes first is not known.
pub(crate) fn find_unservable(
    waiting: &[GateRequest],
    now: Duration,
    rate: f64,
    free: u32,
) -> Vec<(RequestId, usize)> {
    let mut levels: BTreeMap<(u8, bool), FastMap<&str, VecDeque<&GateRequest>>> = BTreeMap::new();
    for stream in waiting {
        let level = levels.entry((stream.priority, stream.on_time_until <= now)).or_default();
        level.entry(stream.organisation.as_str()).or_default().push_back(stream);
    }
    let mut unservable = Vec::new();
    let mut kept: usize = 0;
    for mut level in levels.into_values() {
        while !level.is_empty() {
            let ahead = kept.saturating_sub(free as usize);
            let wait = Duration::from_secs_f64(ahead as f64 / (rate * RATE_MARGIN));
            for queue in level.values_mut() {
                while let Some(stream) = queue.pop_front() {
                    if now + wait <= stream.latest_start {
                        kept += 1;
                        break;
                    }
                    unservable.push((stream.request, ahead));
                }
            }
            level.retain(|_, queue| !queue.is_empty());
        }
    }
    unservable
}
