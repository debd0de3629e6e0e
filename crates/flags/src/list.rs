//! A setting type for comma-separated lists.

use std::str::FromStr;

/// A comma-separated list of values; an empty text is the empty list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List<T>(pub Vec<T>);

/// The error of a list item that does not parse.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("item {position}: {error}")]
pub struct BadItem<E: std::fmt::Display + std::fmt::Debug> {
    /// Position in the list, starting at 1.
    pub position: usize,
    /// Error of the item's parser.
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
