//! Values of the settings of a branch, how they are read, and how they are written.

use std::fmt;
use std::time::Duration;

use courseshed_types::policy::CutOffPolicy;
use courseshed_types::{ModelName, Tokens};
use toml::de::DeValue;

use crate::digest::KeyDigest;
use crate::names;
use crate::reader::{expected, integer, integer_within, list, string};
use crate::units::{format_duration, format_percent, parse_duration, parse_percent, parse_tokens};

/// Thousandths in a weight of one.
const THOUSANDTHS: u64 = 1_000;
/// Greatest weight: shares further apart than this cannot be kept.
const MOST_WEIGHT: u64 = 1_000_000;
/// Greatest count.
const MOST_COUNT: u64 = 1_000_000_000;
/// Priorities reach from its negative to it.
const MOST_PRIORITY: i64 = 100;
/// Longest duration.
const LONGEST: Duration = Duration::from_secs(366 * 24 * 60 * 60);

/// What a value must look like in the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    /// A number above 0, with up to three decimals.
    Weight,
    /// A string such as `"12.5%"`.
    Percent,
    /// A whole number, which may be negative.
    Priority,
    /// A whole number of 1 or more.
    Count,
    /// A whole number, or a string such as `"240k"`.
    Tokens,
    /// A string such as `"1h 30m"`.
    Duration,
    /// `"refuse"` or `"continue"`.
    CutOff,
    /// Digests of keys.
    Digests,
    /// Names of models.
    Models,
    /// The name of a model.
    Model,
}

/// A weight above 0, in thousandths, so that equal texts are equal weights on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(u64);

impl Weight {
    /// The weight as a number.
    #[expect(clippy::cast_precision_loss, reason = "at most 1e9 thousandths")]
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / THOUSANDTHS as f64
    }

    /// A whole weight.
    pub(super) const fn whole(weight: u64) -> Self {
        Self(weight * THOUSANDTHS)
    }
}

/// A part of a whole in basis points (hundredths of a percent).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(pub(super) u32);

impl Percent {
    /// The part as a number from 0 to 1.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(crate::units::BASIS_POINTS)
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&format_percent(self.0))
    }
}

/// The value of a setting; it displays as the TOML that would set it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingValue {
    /// A weight.
    Weight(Weight),
    /// A part of a whole.
    Percent(Percent),
    /// A priority.
    Priority(i32),
    /// A count.
    Count(u32),
    /// A number of tokens.
    Tokens(Tokens),
    /// A duration.
    Duration(Duration),
    /// What to do when cut off.
    CutOff(CutOffPolicy),
    /// Digests of keys.
    Digests(Vec<KeyDigest>),
    /// Models.
    Models(Vec<ModelName>),
    /// A model.
    Model(ModelName),
}

impl SettingValue {
    /// Reads a value of the given form.
    pub(super) fn read(form: Form, value: &DeValue<'_>) -> Result<Self, String> {
        match form {
            Form::Weight => weight(value).map(Self::Weight),
            Form::Percent => parse_percent(&string(value)?)
                .map(Percent)
                .map(Self::Percent),
            Form::Priority => priority(value).map(Self::Priority),
            Form::Count => count(value).map(Self::Count),
            Form::Tokens => tokens(value).map(Self::Tokens),
            Form::Duration => duration(value).map(Self::Duration),
            Form::CutOff => cut_off(value).map(Self::CutOff),
            Form::Digests => list(value, digest).map(Self::Digests),
            Form::Models => models(value).map(Self::Models),
            Form::Model => names::model(value).map(Self::Model),
        }
    }
}

impl fmt::Display for SettingValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Weight(weight) => write!(formatter, "{}", weight.as_f64()),
            Self::Percent(percent) => write!(formatter, "\"{percent}\""),
            Self::Priority(priority) => write!(formatter, "{priority}"),
            Self::Count(count) => write!(formatter, "{count}"),
            Self::Tokens(tokens) => write!(formatter, "{tokens}"),
            Self::Duration(duration) => write!(formatter, "\"{}\"", format_duration(*duration)),
            Self::CutOff(CutOffPolicy::Refuse) => formatter.write_str("\"refuse\""),
            Self::CutOff(CutOffPolicy::Continue) => formatter.write_str("\"continue\""),
            Self::Digests(digests) => write_list(formatter, digests),
            Self::Models(models) => write_list(formatter, models),
            Self::Model(model) => write!(formatter, "\"{model}\""),
        }
    }
}

/// Writes a TOML array of strings; the items hold nothing that TOML would escape.
pub(super) fn write_list(
    formatter: &mut fmt::Formatter<'_>,
    items: &[impl fmt::Display],
) -> fmt::Result {
    formatter.write_str("[")?;
    for (index, item) in items.iter().enumerate() {
        let separator = if index > 0 { ", " } else { "" };
        write!(formatter, "{separator}\"{item}\"")?;
    }
    formatter.write_str("]")
}

fn weight(value: &DeValue<'_>) -> Result<Weight, String> {
    let text = match value {
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.as_str().to_owned(),
        other => return Err(expected("a number", other)),
    };
    let wrong = || {
        format!("`{text}` is not a number above 0, up to {MOST_WEIGHT}, with at most 3 decimals")
    };
    let thousandths = crate::units::decimal(&text, THOUSANDTHS).ok_or_else(wrong)?;
    if thousandths == 0 || thousandths > MOST_WEIGHT * THOUSANDTHS {
        return Err(wrong());
    }
    Ok(Weight(thousandths))
}

fn priority(value: &DeValue<'_>) -> Result<i32, String> {
    let DeValue::Integer(number) = value else {
        return Err(expected("a whole number", value));
    };
    let wrong = || format!("`{number}` is not within -{MOST_PRIORITY} to {MOST_PRIORITY}");
    let priority = i64::from_str_radix(number.as_str(), number.radix()).map_err(|_| wrong())?;
    if !(-MOST_PRIORITY..=MOST_PRIORITY).contains(&priority) {
        return Err(wrong());
    }
    i32::try_from(priority).map_err(|_| wrong())
}

fn count(value: &DeValue<'_>) -> Result<u32, String> {
    let number = integer_within(value, 1, MOST_COUNT)?;
    u32::try_from(number).map_err(|error| error.to_string())
}

fn tokens(value: &DeValue<'_>) -> Result<Tokens, String> {
    let number = match value {
        DeValue::String(text) => parse_tokens(text)?,
        _ => integer(value)?,
    };
    if number == 0 {
        return Err("must be at least 1 token".to_owned());
    }
    Ok(Tokens(number))
}

fn duration(value: &DeValue<'_>) -> Result<Duration, String> {
    let text = string(value)?;
    let duration = parse_duration(&text)?;
    if duration < Duration::from_millis(1) || duration > LONGEST {
        return Err(format!("`{text}` is not within 1ms to 366d"));
    }
    Ok(duration)
}

fn cut_off(value: &DeValue<'_>) -> Result<CutOffPolicy, String> {
    match string(value)?.as_str() {
        "refuse" => Ok(CutOffPolicy::Refuse),
        "continue" => Ok(CutOffPolicy::Continue),
        other => Err(format!("`{other}` is neither refuse nor continue")),
    }
}

fn digest(value: &DeValue<'_>) -> Result<KeyDigest, String> {
    string(value)?
        .parse::<KeyDigest>()
        .map_err(|error| error.to_string())
}

fn models(value: &DeValue<'_>) -> Result<Vec<ModelName>, String> {
    let models = list(value, names::model)?;
    if models.is_empty() {
        return Err("must name at least one model; leave the key out to allow all".to_owned());
    }
    Ok(models)
}
