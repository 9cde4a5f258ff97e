//! Compact encoding of expert counts for messages between agents.
//!
//! Counts are quantised on a logarithmic scale with dithered rounding. The error of a single
//! rank's count averages out over the ranks of a group, so a large group sends fewer bits
//! for each count.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ChoiceRng;

/// Quantisation steps per doubling of a count in the fine form.
const FINE_STEPS: f64 = 8.0;
/// Quantisation steps per doubling of a count in the coarse form.
const COARSE_STEPS: f64 = 1.0;
/// Largest value of the coarse form, which has four bits.
const MAX_COARSE_VALUE: u8 = 15;
/// Smallest number of ranks in a group that uses the coarse form.
const MIN_COARSE_RANKS: usize = 32;

/// Encoded expert counts of one rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PackedCounts {
    /// No counts were read.
    None,
    /// One byte for each count.
    Fine(Vec<u8>),
    /// Four bits for each count, on a scale that ends at the largest count.
    Coarse {
        /// Number of counts.
        length: u32,
        /// Steps subtracted from each value so that the largest fits.
        shift: u8,
        /// Two values in a byte, the first in the low half.
        halves: Vec<u8>,
    },
}

/// Encodes the counts of one rank; `ranks` is the size of its group.
pub fn pack_counts(counts: &[u32], ranks: usize, rng: &mut ChoiceRng) -> PackedCounts {
    if counts.is_empty() {
        return PackedCounts::None;
    }
    if ranks < MIN_COARSE_RANKS {
        let fine = counts.iter().map(|&count| encode_count(count, FINE_STEPS, rng).min(255) as u8);
        return PackedCounts::Fine(fine.collect());
    }
    let largest = counts.iter().copied().max().unwrap_or(0);
    let largest_value = encode_count(largest, COARSE_STEPS, rng);
    let shift = largest_value.saturating_sub(u32::from(MAX_COARSE_VALUE));
    let encode_half = |count: u32, rng: &mut ChoiceRng| {
        let value = encode_count(count, COARSE_STEPS, rng).saturating_sub(shift);
        value.min(u32::from(MAX_COARSE_VALUE)) as u8
    };
    let halves = counts.chunks(2).map(|pair| {
        let high = pair.get(1).map_or(0, |&count| encode_half(count, rng));
        encode_half(pair[0], rng) | high << 4
    });
    let halves = halves.collect();
    PackedCounts::Coarse { length: counts.len() as u32, shift: shift as u8, halves }
}

/// Decodes counts; the result is approximate.
pub fn unpack_counts(packed: &PackedCounts) -> Vec<u32> {
    match packed {
        PackedCounts::None => Vec::new(),
        PackedCounts::Fine(fine) => {
            fine.iter().map(|&value| decode_value(u32::from(value), FINE_STEPS)).collect()
        }
        PackedCounts::Coarse { length, shift, halves } => {
            let mut count_by_value = [0; MAX_COARSE_VALUE as usize + 1];
            for (value, count) in count_by_value.iter_mut().enumerate().skip(1) {
                *count = decode_value(value as u32 + u32::from(*shift), COARSE_STEPS);
            }
            let values = halves.iter().flat_map(|&byte| [byte & 0x0f, byte >> 4]);
            values.take(*length as usize).map(|value| count_by_value[usize::from(value)]).collect()
        }
    }
}

/// Returns the logarithm of a count in steps, randomly rounded up or down.
fn encode_count(count: u32, steps: f64, rng: &mut ChoiceRng) -> u32 {
    let exact = (f64::from(count) + 1.0).log2() * steps;
    let lower = exact.floor();
    let below = 2f64.powf(lower / steps) - 1.0;
    let above = 2f64.powf((lower + 1.0) / steps) - 1.0;
    // Rounding up with this probability makes the expected decoded count equal to `count`.
    let round_up_probability = (f64::from(count) - below) / (above - below);
    let draw = rng.below(1 << 16) as f64 / f64::from(1 << 16);
    lower as u32 + u32::from(draw < round_up_probability)
}

fn decode_value(value: u32, steps: f64) -> u32 {
    (2f64.powf(f64::from(value) / steps) - 1.0).round() as u32
}
