//! Units of the settings files: durations, sizes, tokens, percentages.
//!
//! Every unit has one reader and one writer, and what the writer prints the
//! reader takes back unchanged.

use std::time::Duration;

/// Basis points in a whole: percentages are kept as hundredths of a percent.
pub const BASIS_POINTS: u32 = 10_000;

/// Reads a duration such as `500ms` or `1h 30m`, in the form of the `humantime` crate.
pub(crate) fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|error| format!("`{text}` is not a duration ({error}); units are ms, s, m, h"))
}

/// Writes a duration in the form [`parse_duration`] reads.
pub(crate) fn format_duration(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}

/// Reads a size in bytes such as `64KiB`, `8MiB` or `1GiB`; a bare number counts bytes.
pub(crate) fn parse_size(text: &str) -> Result<u64, String> {
    let units = [
        ("GiB", 1 << 30),
        ("MiB", 1 << 20),
        ("KiB", 1 << 10),
        ("B", 1),
        ("", 1),
    ];
    scaled(text, &units)
        .ok_or_else(|| format!("`{text}` is not a size; units are B, KiB, MiB, GiB"))
}

/// Reads a number of tokens such as `240k`, `4.5M` or `12000`.
pub(crate) fn parse_tokens(text: &str) -> Result<u64, String> {
    let units = [
        ("k", 1_000),
        ("M", 1_000_000),
        ("G", 1_000_000_000),
        ("", 1),
    ];
    scaled(text, &units)
        .ok_or_else(|| format!("`{text}` is not a number of tokens; units are k, M, G"))
}

/// Reads a percentage such as `12.5%`, into basis points.
pub(crate) fn parse_percent(text: &str) -> Result<u32, String> {
    let wrong = || format!("`{text}` is not a percentage from 0% to 100%");
    let number = text.trim().strip_suffix('%').ok_or_else(wrong)?;
    let points = decimal(number, u64::from(BASIS_POINTS) / 100).ok_or_else(wrong)?;
    u32::try_from(points)
        .ok()
        .filter(|points| *points <= BASIS_POINTS)
        .ok_or_else(wrong)
}

/// Writes basis points as a percentage.
pub(crate) fn format_percent(points: u32) -> String {
    let whole = points / 100;
    let rest = points % 100;
    if rest == 0 {
        return format!("{whole}%");
    }
    let digits = format!("{rest:02}");
    format!("{whole}.{}%", digits.trim_end_matches('0'))
}

/// A decimal number followed by one of `units`, the empty unit last.
fn scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let text = text.trim();
    let (unit, factor) = units.iter().find(|(unit, _)| text.ends_with(unit))?;
    let number = text.strip_suffix(unit)?.trim_end();
    decimal(number, *factor)
}

/// `number` times `factor`, if `number` is a plain decimal and the product is whole.
pub(crate) fn decimal(number: &str, factor: u64) -> Option<u64> {
    let (whole, fraction) = number.split_once('.').unwrap_or((number, ""));
    let digits_only = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    if whole.is_empty() || !digits_only(whole) || !digits_only(fraction) {
        return None;
    }
    let whole = whole.parse::<u64>().ok()?.checked_mul(factor)?;
    if fraction.is_empty() {
        return (!number.ends_with('.')).then_some(whole);
    }
    let divisor = 10_u64.checked_pow(u32::try_from(fraction.len()).ok()?)?;
    let scaled = fraction.parse::<u64>().ok()?.checked_mul(factor)?;
    if scaled % divisor != 0 {
        return None;
    }
    whole.checked_add(scaled / divisor)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use yare::parameterized;

    #[parameterized(
        bytes = { "512", Some(512) },
        kibibytes = { "64KiB", Some(65_536) },
        half = { "1.5MiB", Some(1_572_864) },
        spaced = { "8 MiB", Some(8_388_608) },
        foreign_unit = { "8MB", None },
        negative = { "-1KiB", None },
        empty = { "", None },
        too_large = { "99999999999GiB", None },
    )]
    fn sizes(text: &str, expected: Option<u64>) {
        assert_eq!(parse_size(text).ok(), expected);
    }

    #[parameterized(
        plain = { "12000", Some(12_000) },
        thousand = { "240k", Some(240_000) },
        fraction = { "4.5M", Some(4_500_000) },
        not_whole = { "0.0001k", None },
        dangling = { "4.", None },
        other = { "4T", None },
    )]
    fn tokens(text: &str, expected: Option<u64>) {
        assert_eq!(parse_tokens(text).ok(), expected);
    }

    #[parameterized(
        whole = { "20%", Some(2_000) },
        fraction = { "12.5%", Some(1_250) },
        all = { "100%", Some(10_000) },
        over = { "100.01%", None },
        bare = { "20", None },
    )]
    fn percentages(text: &str, expected: Option<u32>) {
        assert_eq!(parse_percent(text).ok(), expected);
    }

    proptest! {
        #[test]
        fn a_written_percentage_reads_back(points in 0..=BASIS_POINTS) {
            prop_assert_eq!(parse_percent(&format_percent(points)), Ok(points));
        }

        #[test]
        fn a_written_duration_reads_back(millis in 0_u64..100_000_000_000) {
            let duration = Duration::from_millis(millis);
            prop_assert_eq!(parse_duration(&format_duration(duration)), Ok(duration));
        }
    }
}
