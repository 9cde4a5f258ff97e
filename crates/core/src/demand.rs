//! Demand for experts, from the counts that ranks report.
//!
//! What is asked for shifts within seconds, so the latest passes count most; a
//! part of the long-run demand keeps experts that are often hot from being
//! given up too soon.

use std::time::Duration;

use crate::experts::SetDemand;
use crate::routing::ExpertLayout;

/// Bounds on the memory of demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandSettings {
    /// Time constant of the recent demand.
    pub recent_time_constant: Duration,
    /// Time constant of the long-run demand.
    pub long_run_time_constant: Duration,
    /// Part of the long-run demand in the whole, 0 to 1.
    pub long_share: f64,
}

impl Default for DemandSettings {
    /// Values in force; docs/ROUNDS.md tells what was tried beside them.
    fn default() -> DemandSettings {
        DemandSettings {
            recent_time_constant: Duration::from_millis(180),
            long_run_time_constant: Duration::from_secs(10),
            long_share: 0.15,
        }
    }
}

/// Demand of a group, by set and expert.
#[derive(Debug, Clone)]
pub struct DemandMeter {
    settings: DemandSettings,
    layout: ExpertLayout,
    recent: Vec<f64>,
    long_run: Vec<f64>,
    decayed_at: Duration,
}

impl DemandMeter {
    /// Starts without demand.
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

    /// Takes in what a rank's requests chose since its last report, set after set.
    pub fn add_counts(&mut self, now: Duration, counts: &[u32]) {
        self.decay(now);
        for (index, &count) in counts.iter().enumerate().take(self.recent.len()) {
            self.recent[index] += f64::from(count);
            self.long_run[index] += f64::from(count);
        }
    }

    /// Returns the demand of each set, as parts of one; `None` before any.
    pub fn set_demands(&self) -> Option<Vec<SetDemand>> {
        let recent: f64 = self.recent.iter().sum();
        let long_run: f64 = self.long_run.iter().sum();
        if recent <= 0.0 || long_run <= 0.0 {
            return None;
        }
        let share = self.settings.long_share;
        let mixed = self.recent.iter().zip(&self.long_run).map(|(recent_count, long_count)| {
            recent_count / recent * (1.0 - share) + long_count / long_run * share
        });
        let mixed: Vec<f64> = mixed.collect();
        Some(mixed.chunks(self.layout.experts).map(<[f64]>::to_vec).collect())
    }

    /// Counts that the recent demand rests on.
    pub fn recent_total(&self) -> f64 {
        self.recent.iter().sum()
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let recent = (-passed / self.settings.recent_time_constant.as_secs_f64()).exp();
        let long_run = (-passed / self.settings.long_run_time_constant.as_secs_f64()).exp();
        self.recent.iter_mut().for_each(|count| *count *= recent);
        self.long_run.iter_mut().for_each(|count| *count *= long_run);
    }
}
