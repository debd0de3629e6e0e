//! Secret keys that the nodes of one fleet share.

use std::{fmt, str::FromStr};

/// A key of 32 bytes, parsed from 64 hexadecimal digits. Its `Debug` output hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_LEN]);

/// Length of a key in bytes.
pub const KEY_LEN: usize = 32;

/// The text is not a valid key. The message omits the text, which may contain most of a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a link key is 64 hexadecimal digits; make one with: openssl rand -hex 32")]
pub struct BadKey;

impl Key {
    /// The all-zero key, which is public and protects nothing.
    pub const PUBLIC: Key = Key([0; KEY_LEN]);

    /// Creates a key from its bytes.
    pub fn new(bytes: [u8; KEY_LEN]) -> Key {
        Key(bytes)
    }

    pub(super) fn bytes(&self) -> &[u8; KEY_LEN] {
        &self.0
    }
}

impl FromStr for Key {
    type Err = BadKey;

    fn from_str(text: &str) -> Result<Key, BadKey> {
        blake3::Hash::from_hex(text)
            .map(|it| Key(*it.as_bytes()))
            .map_err(|_| BadKey)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The keys in force: frames are sealed with one and accepted with any.
///
/// To rotate keys without an interruption, give every node the new key as an accepted one, then let every node seal
/// with the new key and accept the old one, then remove the old key.
#[derive(Clone, Debug)]
pub struct Keys {
    sealing_key: Key,
    accepted_keys: Vec<Key>,
}

impl Keys {
    /// Creates keys with one key that both seals and opens frames.
    pub fn new(sealing_key: Key) -> Keys {
        Keys {
            sealing_key,
            accepted_keys: Vec::new(),
        }
    }

    /// Also accepts frames sealed with `key`.
    pub fn accepting(mut self, key: Key) -> Keys {
        self.accepted_keys.push(key);
        self
    }

    /// Derives keys for another purpose; a tag made for one purpose is not valid for the other.
    pub fn derive(&self, purpose: &str) -> Keys {
        let derive = |it: &Key| Key(blake3::derive_key(purpose, &it.0));
        Keys {
            sealing_key: derive(&self.sealing_key),
            accepted_keys: self.accepted_keys.iter().map(derive).collect(),
        }
    }

    /// Returns the tag of `parts` under the sealing key.
    pub fn tag<'a>(&self, parts: impl IntoIterator<Item = &'a [u8]>) -> blake3::Hash {
        tag(&self.sealing_key, parts)
    }

    /// Returns whether `given` is the tag of `parts` under any key in force. Compares in constant time.
    pub fn matches<'a>(
        &self,
        parts: impl IntoIterator<Item = &'a [u8]> + Clone,
        given: &blake3::Hash,
    ) -> bool {
        self.all().any(|it| tag(it, parts.clone()) == *given)
    }

    /// Returns whether any key in force is [`Key::PUBLIC`].
    pub fn is_public(&self) -> bool {
        self.all().any(|it| *it == Key::PUBLIC)
    }

    pub(super) fn sealing_key(&self) -> &Key {
        &self.sealing_key
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.sealing_key).chain(&self.accepted_keys)
    }
}

/// Hashes each part after its length, so that different lists of parts never hash the same bytes.
fn tag<'a>(key: &Key, parts: impl IntoIterator<Item = &'a [u8]>) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    parts.into_iter().for_each(|it| {
        hasher.update(&(it.len() as u64).to_le_bytes()).update(it);
    });
    hasher.finalize()
}

impl Default for Keys {
    /// Returns the public key alone, for trials on loopback. The node refuses to use it on other addresses.
    fn default() -> Keys {
        Keys::new(Key::PUBLIC)
    }
}
