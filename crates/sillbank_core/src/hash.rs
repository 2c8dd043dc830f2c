//! Hashes for keys and for choices on which all VMs agree without communication.

/// Hashes strings into 64 hexadecimal digits. The length of each string is included in the hash.
pub fn hash_hex(parts: &[&str]) -> String {
    digest(parts).to_hex().to_string()
}

/// Hashes strings into a `u64`. The length of each string is included in the hash.
pub fn hash_u64(parts: &[&str]) -> u64 {
    let digest = digest(parts);
    digest.as_bytes()[..8].iter().fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// Hashes byte strings into a `u128`. The length of each one is included in the hash.
pub fn hash_u128(parts: &[&[u8]]) -> u128 {
    let digest = digest(parts);
    digest.as_bytes()[..16].iter().fold(0, |sum, byte| (sum << 8) | u128::from(*byte))
}

/// Returns the `count` members that rank highest for a name by rendezvous hashing, best first.
///
/// All VMs that know the same members choose the same ones. When a member is removed, only the names that had
/// chosen it are reassigned.
///
/// ```
/// use sillbank_core::hash::rendezvous;
/// let members = ["a", "b", "c"];
/// let chosen = rendezvous("slot-1", members.iter().copied(), 2);
/// assert_eq!(chosen.len(), 2);
/// ```
pub fn rendezvous<'a>(
    name: &str,
    members: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = members.map(|m| (hash_u64(&[name, m]), m)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, member)| member).collect()
}

fn digest<T: AsRef<[u8]>>(parts: &[T]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        let bytes = part.as_ref();
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    }
    hasher.finalize()
}
