//! Bearer tokens of the operators' API.

use std::{fmt, str::FromStr};

use http::HeaderValue;

/// A secret that operators and upstreams send to the admin address. Never printed.
#[derive(Clone)]
pub struct Token(String);

/// Fewest bytes of a token: what `openssl rand -hex 16` prints has twice as many.
pub const TOKEN_MIN: usize = 16;
/// Most bytes of a token.
pub const TOKEN_MAX: usize = 256;

/// The text is not a token. The text itself stays out of the message: it may be most of a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a token is {TOKEN_MIN} to {TOKEN_MAX} letters, digits and any of -._~+/=; make one with: openssl rand -hex 32"
)]
pub struct BadToken;

/// What stands before the token in the `authorization` field.
const SCHEME: &str = "Bearer ";

impl Token {
    /// The value of the `authorization` field that carries the token.
    pub fn authorization(&self) -> HeaderValue {
        let text = format!("{SCHEME}{}", self.0);
        let mut value = HeaderValue::from_str(&text).expect("a token is visible ASCII");
        value.set_sensitive(true);
        value
    }

    /// Whether an `authorization` field carries this token.
    ///
    /// Hashes are compared, in constant time: a comparison that stops at the first difference would tell a
    /// stranger by its time how much of a guess fits.
    pub fn fits(&self, authorization: &HeaderValue) -> bool {
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
        let length = (TOKEN_MIN..=TOKEN_MAX).contains(&text.len());
        let valid = |it: u8| it.is_ascii_alphanumeric() || b"-._~+/=".contains(&it);
        match length && text.bytes().all(valid) {
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
