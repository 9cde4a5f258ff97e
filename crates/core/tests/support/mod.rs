//! What the randomised runs share.

/// Schedules of a run in CI.
const SHORT_RUN: usize = 400;

/// Returns the number of schedules: `CUMINPICK_SCHEDULES`, or a short run.
///
/// The seed is set in `.cargo/config.toml`, so that each run takes the same ones.
pub(crate) fn schedules() -> usize {
    let stated = std::env::var("CUMINPICK_SCHEDULES").ok();
    stated.and_then(|text| text.parse().ok()).unwrap_or(SHORT_RUN)
}
