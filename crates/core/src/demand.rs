//! Estimates the demand for experts from the counts that ranks report.
//!
//! Demand shifts within seconds, so the estimate is an exponentially decaying sum that is
//! dominated by the latest passes. A share of long-run demand is mixed in, so that the
//! planner does not drop the copies of experts that are often in demand too soon.

use std::time::Duration;

use crate::experts::SetDemand;
use crate::routing::ExpertLayout;

/// How fast past demand decays, and how much long-run demand counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandSettings {
    /// Time constant of the recent demand.
    pub recent_time_constant: Duration,
    /// Time constant of the long-run demand.
    pub long_run_time_constant: Duration,
    /// Weight of long-run demand in the mix, 0 to 1.
    pub long_share: f64,
}

impl Default for DemandSettings {
    /// Returns the values in use; docs/ROUNDS.md lists the alternatives tried.
    fn default() -> DemandSettings {
        DemandSettings {
            recent_time_constant: Duration::from_millis(180),
            long_run_time_constant: Duration::from_secs(10),
            long_share: 0.15,
        }
    }
}

/// Estimates the demand of a group for each expert of each set.
#[derive(Debug, Clone)]
pub struct DemandMeter {
    settings: DemandSettings,
    layout: ExpertLayout,
    /// Decayed counts, set after set.
    recent: Vec<f64>,
    long_run: Vec<f64>,
    decayed_at: Duration,
}

impl DemandMeter {
    /// Creates a meter without any counts.
    pub fn new(layout: ExpertLayout, settings: DemandSettings) -> DemandMeter {
        let size = layout.sets * layout.experts;
        DemandMeter {
            settings,
            layout,
            recent: vec![0.0; size],
            long_run: vec![0.0; size],
            decayed_at: Duration::ZERO,
        }
    }

    /// Adds the number of times that a rank's requests chose each expert since its last
    /// report, set after set.
    pub fn add_counts(&mut self, now: Duration, counts: &[u32]) {
        self.decay(now);
        for (index, &count) in counts.iter().enumerate().take(self.recent.len()) {
            self.recent[index] += f64::from(count);
            self.long_run[index] += f64::from(count);
        }
    }

    /// Returns the demand of each set as fractions of the demand over all sets; `None`
    /// before any counts.
    pub fn set_demands(&self) -> Option<Vec<SetDemand>> {
        let recent_total: f64 = self.recent.iter().sum();
        let long_run_total: f64 = self.long_run.iter().sum();
        if recent_total <= 0.0 || long_run_total <= 0.0 {
            return None;
        }
        let share = self.settings.long_share;
        let mixed = self.recent.iter().zip(&self.long_run).map(|(recent_count, long_count)| {
            recent_count / recent_total * (1.0 - share) + long_count / long_run_total * share
        });
        let mixed: Vec<f64> = mixed.collect();
        Some(mixed.chunks(self.layout.experts).map(<[f64]>::to_vec).collect())
    }

    /// Returns the sum of the decayed recent counts, as of the last call of `add_counts`.
    pub fn recent_total(&self) -> f64 {
        self.recent.iter().sum()
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let recent_factor = (-elapsed / self.settings.recent_time_constant.as_secs_f64()).exp();
        let long_run_factor = (-elapsed / self.settings.long_run_time_constant.as_secs_f64()).exp();
        self.recent.iter_mut().for_each(|count| *count *= recent_factor);
        self.long_run.iter_mut().for_each(|count| *count *= long_run_factor);
    }
}
