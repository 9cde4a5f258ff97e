//! Settings that the randomised tests share.

/// Number of schedules per test in CI.
const DEFAULT_SCHEDULES: usize = 400;

/// Returns the number of schedules per test: `CUMINPICK_SCHEDULES`, or the default.
///
/// The seed is set in `.cargo/config.toml`, so that every run uses the same schedules.
pub(crate) fn schedules() -> usize {
    let configured = std::env::var("CUMINPICK_SCHEDULES").ok();
    configured.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SCHEDULES)
}
