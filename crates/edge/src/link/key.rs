//! Keys that the nodes of one fleet share.

use std::{fmt, str::FromStr};

/// A key of 32 bytes, written as 64 hexadecimal digits. Never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_LEN]);

/// Length of a key in bytes.
pub const KEY_LEN: usize = 32;

/// The text is not a key. The text itself stays out of the message: it may be most of a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a link key is 64 hexadecimal digits; make one with: openssl rand -hex 32")]
pub struct BadKey;

impl Key {
    /// The key that everybody knows.
    pub const PUBLIC: Key = Key([0; KEY_LEN]);

    /// The key made of these bytes.
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

/// The keys in force: frames are sealed with one and opened with any.
///
/// Rotation without a cut: first give every node the new key as a further one, then seal with it and keep
/// the old as the further one, then drop the old.
#[derive(Clone, Debug)]
pub struct Keys {
    seal: Key,
    further: Vec<Key>,
}

impl Keys {
    /// One key.
    pub fn new(seal: Key) -> Keys {
        Keys {
            seal,
            further: Vec::new(),
        }
    }

    /// Also opens frames sealed with `key`.
    pub fn accepting(mut self, key: Key) -> Keys {
        self.further.push(key);
        self
    }

    /// Keys made of these for another purpose, so that a tag of one is worth nothing for the other.
    pub fn derive(&self, purpose: &str) -> Keys {
        let derive = |it: &Key| Key(blake3::derive_key(purpose, &it.0));
        Keys {
            seal: derive(&self.seal),
            further: self.further.iter().map(derive).collect(),
        }
    }

    /// The tag of `parts` by the key that seals.
    pub fn tag<'a>(&self, parts: impl IntoIterator<Item = &'a [u8]>) -> blake3::Hash {
        tag(&self.seal, parts)
    }

    /// Whether `given` is the tag of `parts` by any key in force; compared in constant time.
    pub fn fits<'a>(
        &self,
        parts: impl IntoIterator<Item = &'a [u8]> + Clone,
        given: &blake3::Hash,
    ) -> bool {
        self.all().any(|it| tag(it, parts.clone()) == *given)
    }

    /// Whether a key in force is the one that everybody knows.
    pub fn is_public(&self) -> bool {
        self.all().any(|it| *it == Key::PUBLIC)
    }

    pub(super) fn seal(&self) -> &Key {
        &self.seal
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.seal).chain(&self.further)
    }
}

/// Each part is hashed after its length, so that no two lists of parts read the same.
fn tag<'a>(key: &Key, parts: impl IntoIterator<Item = &'a [u8]>) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    parts.into_iter().for_each(|it| {
        hasher.update(&(it.len() as u64).to_le_bytes()).update(it);
    });
    hasher.finalize()
}

impl Default for Keys {
    /// A key that everybody knows, for trials on loopback. The node refuses to use it on other addresses.
    fn default() -> Keys {
        Keys::new(Key::PUBLIC)
    }
}
