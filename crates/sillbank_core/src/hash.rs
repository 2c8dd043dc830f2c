//! Hashes of texts, for keys and for choices that every VM makes alike.

/// Hash of some texts, as 64 hexadecimal digits. Each text's length is part of it.
pub fn hash_hex(parts: &[&str]) -> String {
    digest(parts).to_hex().to_string()
}

/// Hash of some texts, as a number.
pub fn hash_u64(parts: &[&str]) -> u64 {
    let digest = digest(parts);
    digest.as_bytes()[..8].iter().fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// Hash of some byte strings, as a number of 128 bits. Each one's length is part of it.
pub fn hash_u128(parts: &[&[u8]]) -> u128 {
    let digest = digest(parts);
    digest.as_bytes()[..16].iter().fold(0, |sum, byte| (sum << 8) | u128::from(*byte))
}

/// The `count` members that come first for a name by rendezvous hashing, best first.
///
/// Every VM that knows the same members chooses the same; when a member goes, only its own
/// choices move.
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
