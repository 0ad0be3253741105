//! Fingerprints of states, by which a search recognises the states that it has visited.
use std::hash::{Hash, Hasher};

/// Faster than the standard hasher, whose protection against chosen inputs the model does not need.
struct FastHasher(u64);

impl Hasher for FastHasher {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.write_u64(u64::from_le_bytes(word));
        }
    }

    fn write_u64(&mut self, word: u64) {
        let product = u128::from(self.0 ^ word ^ 0x9e37_79b9_7f4a_7c15) * 0xf39c_c060_5ced_c835;
        self.0 = (product >> 64) as u64 ^ (product as u64).rotate_left(29);
    }

    fn write_usize(&mut self, word: usize) {
        self.write_u64(word as u64);
    }

    fn write_u8(&mut self, byte: u8) {
        self.write_u64(u64::from(byte) | 1 << 40);
    }

    fn finish(&self) -> u64 {
        let mut hash = self.0;
        for multiplier in [0xff51_afd7_ed55_8ccd_u64, 0xc4ce_b9fe_1a85_ec53] {
            hash = (hash ^ hash >> 33).wrapping_mul(multiplier);
        }
        hash ^ hash >> 33
    }
}

/// The fingerprint of a value. Equal values have equal fingerprints, also in different runs.
pub(super) fn fingerprint_of<T: Hash>(value: &T) -> u64 {
    let mut hasher = FastHasher(0x243f_6a88_85a3_08d3);
    value.hash(&mut hasher);
    hasher.finish()
}
