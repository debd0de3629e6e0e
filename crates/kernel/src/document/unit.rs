//! Durations and sizes with units.

/// A unit and its factor.
type Unit = (&'static str, u64);

/// A kind of quantity.
#[derive(Debug)]
pub(super) struct Quantity {
    /// Name of the kind in messages.
    pub what: &'static str,
    /// The units as listed in messages.
    pub units: &'static str,
    /// Quoted examples of valid values.
    pub example: &'static str,
    scale: &'static [Unit],
}

/// Durations, in ms.
pub(super) const DURATION: Quantity = Quantity {
    what: "a duration",
    units: "ms, s or min",
    example: "\"1500ms\" or \"30s\"",
    scale: &[("ms", 1), ("s", 1_000), ("min", 60_000)],
};

/// Sizes, in bytes.
pub(super) const SIZE: Quantity = Quantity {
    what: "a size",
    units: "B, KiB or MiB",
    example: "\"64KiB\" or \"1MiB\"",
    scale: &[("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)],
};

impl Quantity {
    /// Parses `text`: digits, an optional space and a unit. Saturates on overflow.
    pub fn read(&self, text: &str) -> Option<u64> {
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, rest) = text.split_at(digits);
        let unit = rest.strip_prefix(' ').unwrap_or(rest);
        let (_, factor) = self.scale.iter().find(|(name, _)| *name == unit)?;
        let saturated = number.bytes().fold(0_u64, |sum, it| {
            sum.saturating_mul(10).saturating_add(u64::from(it - b'0'))
        });
        (digits > 0).then(|| saturated.saturating_mul(*factor))
    }

    /// Formats `value` in the largest unit that divides it.
    pub fn write(&self, value: u64) -> String {
        let (name, factor) = self
            .scale
            .iter()
            .rev()
            .find(|(_, factor)| value >= *factor && value.is_multiple_of(*factor))
            .unwrap_or(&self.scale[0]);
        format!("{}{name}", value / factor)
    }
}
