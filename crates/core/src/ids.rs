//! Identifiers, hash functions, hash maps and the random generator of the workspace.

use std::hash::BuildHasherDefault;
use std::hash::Hash;
use std::hash::Hasher;

use rustc_hash::FxHasher;
use sha2::Digest;
use sha2::Sha256;

/// Id of a backend server or an entry; unique in the fleet.
pub type MemberId = String;
/// Id of a backend server.
pub type ServerId = String;
/// Name of an availability zone.
pub type ZoneName = String;
/// Name of an organisation, whose callers share one fair part of the capacity.
pub type OrganisationName = String;
/// Name of a class of requests.
pub type ClassName = String;
/// Name of a model or other service that backend servers offer.
pub type ServiceName = String;
/// Name of a group of ranks.
pub type GroupName = String;
/// First bits of the hash of an organisation's name.
pub type OrganisationDigest = u32;
/// Id of a request; unique in the fleet.
pub type RequestId = u64;
/// Number of an attempt of one request, from 1.
pub type AttemptNumber = u32;
/// Hash of a request's content and organisation; the same for all its attempts.
pub type RequestDigest = u64;
/// Hash of the id of a prompt part, which requests of all callers may share.
pub type PartDigest = u64;
/// Version that the object API assigned to a change; increases over all objects.
pub type ObjectVersion = u64;

/// Hash map with a fast hasher that does not resist collisions of chosen keys.
pub type FastMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<FxHasher>>;
/// Hash set with the hasher of [`FastMap`].
pub type FastSet<K> = std::collections::HashSet<K, BuildHasherDefault<FxHasher>>;

/// Hashes parts with their lengths, so that `("ab", "c")` and `("a", "bc")` differ.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Hashes a value; equal values have equal hashes in all processes of one version.
pub fn hash_value(value: &impl Hash) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the digest of a request by method, path with query, organisation and body.
///
/// The hash is cryptographic, so that no caller can craft a request with the digest of
/// another's request.
pub fn digest_request(
    method: &str,
    path: &str,
    organisation: Option<&str>,
    body: &[u8],
) -> RequestDigest {
    let mut hasher = Sha256::new();
    hasher.update([u8::from(organisation.is_some())]);
    for part in [method.as_bytes(), path.as_bytes(), organisation.unwrap_or("").as_bytes(), body] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    first_bits(hasher.finalize().as_slice())
}

/// Returns the digest of a prompt part by its id, in upper or lower case.
///
/// The hash is cryptographic, so that no caller can craft a part with the digest of another.
pub fn digest_part(id: &str) -> PartDigest {
    first_bits(Sha256::digest(id.to_ascii_lowercase()).as_slice())
}

/// Returns the first 64 bits of a hash.
fn first_bits(hash: &[u8]) -> u64 {
    hash.iter().take(size_of::<u64>()).fold(0, |bits, byte| bits << 8 | u64::from(*byte))
}

/// Mixes a 64-bit value; a step of the SplitMix64 generator.
pub fn mix_bits(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Deterministic random generator (SplitMix64): the same seed gives the same decisions.
#[derive(Debug, Clone)]
pub struct ChoiceRng {
    state: u64,
}

impl ChoiceRng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> ChoiceRng {
        ChoiceRng { state: seed }
    }

    /// Returns the next 64 random bits.
    pub fn next_bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix_bits(self.state)
    }

    /// Returns a value below `bound`, or 0 when `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        (self.next_bits() % bound as u64) as usize
    }
}
