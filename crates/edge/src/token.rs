//! Bearer tokens of the operators' API.

use std::{fmt, str::FromStr};

use http::HeaderValue;

/// A secret that operators and upstreams send to the admin address. Its `Debug` output hides it.
#[derive(Clone)]
pub struct Token(String);

/// Minimum length of a token in bytes.
pub const TOKEN_MIN: usize = 16;
/// Maximum length of a token in bytes.
pub const TOKEN_MAX: usize = 256;

/// The text is not a valid token. The message omits the text, which may contain most of a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a token is {TOKEN_MIN} to {TOKEN_MAX} letters, digits and any of -._~+/=; make one with: openssl rand -hex 32"
)]
pub struct BadToken;

/// Prefix of the token in the `authorization` field.
const SCHEME: &str = "Bearer ";

impl Token {
    /// Returns the value of the `authorization` field that carries the token.
    pub fn authorization(&self) -> HeaderValue {
        let text = format!("{SCHEME}{}", self.0);
        let mut value = HeaderValue::from_str(&text).expect("a token is visible ASCII");
        value.set_sensitive(true);
        value
    }

    /// Returns whether an `authorization` field carries this token.
    ///
    /// Compares hashes in constant time, so that the response time reveals nothing about a guessed token.
    pub fn matches(&self, authorization: &HeaderValue) -> bool {
        let given = authorization.as_bytes();
        let Some((scheme, given)) = given.split_at_checked(SCHEME.len()) else {
            return false;
        };
        scheme.eq_ignore_ascii_case(SCHEME.as_bytes())
            && blake3::hash(given) == blake3::hash(self.0.as_bytes())
    }
}

impl FromStr for Token {
    type Err = BadToken;

    fn from_str(text: &str) -> Result<Token, BadToken> {
        let length_ok = (TOKEN_MIN..=TOKEN_MAX).contains(&text.len());
        let valid = |it: u8| it.is_ascii_alphanumeric() || b"-._~+/=".contains(&it);
        match length_ok && text.bytes().all(valid) {
            true => Ok(Token(text.to_owned())),
            false => Err(BadToken),
        }
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
