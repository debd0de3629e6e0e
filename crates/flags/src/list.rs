//! Settings that hold several values.

use std::str::FromStr;

/// Values separated by commas; the empty text is the empty list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List<T>(pub Vec<T>);

/// One value of a list cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("item {position}: {error}")]
pub struct BadItem<E: std::fmt::Display + std::fmt::Debug> {
    /// Position in the list, from 1.
    pub position: usize,
    /// What is wrong with it.
    pub error: E,
}

impl<T> FromStr for List<T>
where
    T: FromStr,
    T::Err: std::fmt::Display + std::fmt::Debug,
{
    type Err = BadItem<T::Err>;

    fn from_str(text: &str) -> Result<List<T>, BadItem<T::Err>> {
        if text.trim().is_empty() {
            return Ok(List(Vec::new()));
        }
        let parts = text.split(',').map(str::trim).enumerate();
        let items = parts.map(|(idx, it)| {
            it.parse().map_err(|error| BadItem {
                position: idx + 1,
                error,
            })
        });
        items.collect::<Result<Vec<T>, _>>().map(List)
    }
}
