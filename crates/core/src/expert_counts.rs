//! Compact form of expert counts for messages between agents.
//!
//! Counts go on a logarithmic scale with dithered rounding: the error of a single
//! rank's count averages out over the ranks of a group, so a large group sends
//! fewer bits for each.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ChoiceRng;

/// Steps for each doubling of a count in the fine form.
const FINE_STEPS: f64 = 8.0;
/// Steps for each doubling of a count in the coarse form.
const COARSE_STEPS: f64 = 1.0;
/// Largest value in the coarse form.
const COARSE_TOP: u8 = 15;
/// Ranks from which on the coarse form is used.
const COARSE_RANKS: usize = 32;

/// Counts of one rank in compact form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PackedCounts {
    /// Nothing was read.
    None,
    /// A byte for each count.
    Fine(Vec<u8>),
    /// Half a byte for each count; they are relative to the largest.
    Coarse {
        /// Number of counts.
        length: u32,
        /// Doublings that are taken off each count.
        shift: u8,
        /// Two counts in a byte, the first in the low half.
        halves: Vec<u8>,
    },
}

/// Packs the counts of a rank in a group of `ranks`.
pub fn pack_counts(counts: &[u32], ranks: usize, rng: &mut ChoiceRng) -> PackedCounts {
    if counts.is_empty() {
        return PackedCounts::None;
    }
    if ranks < COARSE_RANKS {
        let fine = counts.iter().map(|&count| scaled(count, FINE_STEPS, rng).min(255) as u8);
        return PackedCounts::Fine(fine.collect());
    }
    let largest = counts.iter().copied().max().unwrap_or(0);
    let top = scaled(largest, COARSE_STEPS, rng);
    let shift = top.saturating_sub(u32::from(COARSE_TOP));
    let half = |count: u32, rng: &mut ChoiceRng| {
        let value = scaled(count, COARSE_STEPS, rng).saturating_sub(shift);
        value.min(u32::from(COARSE_TOP)) as u8
    };
    let halves = counts.chunks(2).map(|pair| {
        let high = pair.get(1).map_or(0, |&count| half(count, rng));
        half(pair[0], rng) | high << 4
    });
    let halves = halves.collect();
    PackedCounts::Coarse { length: counts.len() as u32, shift: shift as u8, halves }
}

/// Returns the counts that a packed form stands for.
pub fn unpack_counts(packed: &PackedCounts) -> Vec<u32> {
    match packed {
        PackedCounts::None => Vec::new(),
        PackedCounts::Fine(fine) => {
            fine.iter().map(|&value| unscaled(u32::from(value), FINE_STEPS)).collect()
        }
        PackedCounts::Coarse { length, shift, halves } => {
            let mut counts_of = [0; COARSE_TOP as usize + 1];
            for (value, count) in counts_of.iter_mut().enumerate().skip(1) {
                *count = unscaled(value as u32 + u32::from(*shift), COARSE_STEPS);
            }
            let values = halves.iter().flat_map(|&byte| [byte & 0x0f, byte >> 4]);
            values.take(*length as usize).map(|value| counts_of[usize::from(value)]).collect()
        }
    }
}

/// Logarithm of a count in steps, rounded up or down by chance.
fn scaled(count: u32, steps: f64, rng: &mut ChoiceRng) -> u32 {
    let exact = (f64::from(count) + 1.0).log2() * steps;
    let lower = exact.floor();
    let below = 2f64.powf(lower / steps) - 1.0;
    let above = 2f64.powf((lower + 1.0) / steps) - 1.0;
    // The chance keeps the mean of what is unpacked at the count itself.
    let part = (f64::from(count) - below) / (above - below);
    let roll = rng.below(1 << 16) as f64 / f64::from(1 << 16);
    lower as u32 + u32::from(roll < part)
}

fn unscaled(value: u32, steps: f64) -> u32 {
    (2f64.powf(f64::from(value) / steps) - 1.0).round() as u32
}
