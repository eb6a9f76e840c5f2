//! The settings a branch may hold: one row for each, with form, inheritance and example.
//!
//! Parser, effective values, differences and documentation all follow this
//! table, so that a setting is added in one place (and then in `compile`).

use std::fmt;

use super::value::Form;

/// Name of a kind of program, such as `quote`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindName(pub(super) String);

impl KindName {
    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A setting of a branch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SettingKey {
    /// A setting that every branch has by the same name.
    Plain(PlainKey),
    /// A setting of one kind of program.
    Kind(KindName, KindKey),
}

/// Settings that every branch has by the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlainKey {
    /// Weight against the siblings.
    Share,
    /// Part of the pool that comes before shares count.
    Floor,
    /// Priority of the branch's calls.
    Priority,
    /// Aim for the latency of programs that name no kind.
    Aim,
    /// Worth of programs that name no kind.
    Worth,
    /// What a node does when cut off from the controllers.
    WhenCutOff,
    /// Digests of the bearer keys of this very branch.
    Keys,
    /// Tokens the branch may spend in each period.
    BudgetTokens,
    /// Length of a budget period.
    BudgetPeriod,
    /// Tokens one program may spend, with its sub-agents.
    BudgetPerProgram,
    /// Calls running or waiting at once.
    LimitCallsAtOnce,
    /// Programs under way at once.
    LimitProgramsAtOnce,
    /// Calls of one program.
    LimitTurns,
    /// Tokens of one program's history.
    LimitHistoryTokens,
    /// Pause between two calls of a program.
    LimitToolPause,
    /// Wait of a call for an engine.
    LimitQueueWait,
    /// Tokens one call may generate.
    LimitOutputTokens,
    /// Nesting of sub-agents.
    LimitDepth,
    /// Part of the engines' prefix cache.
    CacheShare,
    /// Models the branch may use.
    ModelsAllowed,
    /// Model of calls that name none.
    ModelsDefault,
}

/// Settings of one kind of program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum KindKey {
    /// Aim for the latency of the whole program.
    Aim,
    /// Worth of a program completed within its aim.
    Worth,
    /// Added to the branch's priority.
    Priority,
}

/// How a branch that does not hold a setting comes by its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inheritance {
    /// It takes the value of the closest branch above that holds one, else the default.
    Inherited,
    /// It takes the default: the setting speaks of this branch alone.
    Own,
    /// It has none of its own, but stays bound by the closest branch above that holds one.
    Bounding,
}

/// One row of the table of settings.
pub(super) struct PlainSpec {
    pub(super) key: PlainKey,
    /// Table within the branch; empty for the branch itself.
    pub(super) group: &'static str,
    pub(super) name: &'static str,
    pub(super) form: Form,
    pub(super) inheritance: Inheritance,
    pub(super) example: &'static str,
}

/// Tables within a branch that hold plain settings.
pub(super) const GROUPS: [&str; 4] = ["budget", "limits", "cache", "models"];
/// The table within a branch that holds the kinds of programs.
pub(super) const KINDS: &str = "kinds";

const fn row(
    key: PlainKey,
    group: &'static str,
    name: &'static str,
    form: Form,
    inheritance: Inheritance,
    example: &'static str,
) -> PlainSpec {
    PlainSpec {
        key,
        group,
        name,
        form,
        inheritance,
        example,
    }
}

use Inheritance::{Bounding, Inherited, Own};

const ONE_DIGEST: &str = "[\"<64 hex digits of sha256 of the key>\"]";

/// The table of plain settings, in the order of [`PlainKey`].
#[rustfmt::skip]
pub(super) const PLAIN: [PlainSpec; 21] = [
    row(PlainKey::Share, "", "share", Form::Weight, Own, "2.5"),
    row(PlainKey::Floor, "", "floor", Form::Percent, Own, "\"10%\""),
    row(PlainKey::Priority, "", "priority", Form::Priority, Inherited, "5"),
    row(PlainKey::Aim, "", "aim", Form::Duration, Inherited, "\"20s\""),
    row(PlainKey::Worth, "", "worth", Form::Weight, Inherited, "3"),
    row(PlainKey::WhenCutOff, "", "when_cut_off", Form::CutOff, Inherited, "\"refuse\""),
    row(PlainKey::Keys, "", "keys", Form::Digests, Own, ONE_DIGEST),
    row(PlainKey::BudgetTokens, "budget", "tokens", Form::Tokens, Bounding, "\"50M\""),
    row(PlainKey::BudgetPeriod, "budget", "period", Form::Duration, Inherited, "\"1h\""),
    row(PlainKey::BudgetPerProgram, "budget", "per_program", Form::Tokens, Inherited, "\"500k\""),
    row(PlainKey::LimitCallsAtOnce, "limits", "calls_at_once", Form::Count, Inherited, "200"),
    row(PlainKey::LimitProgramsAtOnce, "limits", "programs_at_once", Form::Count, Inherited, "5000"),
    row(PlainKey::LimitTurns, "limits", "turns", Form::Count, Inherited, "320"),
    row(PlainKey::LimitHistoryTokens, "limits", "history_tokens", Form::Tokens, Inherited, "\"240k\""),
    row(PlainKey::LimitToolPause, "limits", "tool_pause", Form::Duration, Inherited, "\"15m\""),
    row(PlainKey::LimitQueueWait, "limits", "queue_wait", Form::Duration, Inherited, "\"60s\""),
    row(PlainKey::LimitOutputTokens, "limits", "output_tokens", Form::Tokens, Inherited, "4096"),
    row(PlainKey::LimitDepth, "limits", "depth", Form::Count, Inherited, "4"),
    row(PlainKey::CacheShare, "cache", "share", Form::Percent, Own, "\"25%\""),
    row(PlainKey::ModelsAllowed, "models", "allowed", Form::Models, Inherited, "[\"quote-8b\"]"),
    row(PlainKey::ModelsDefault, "models", "default", Form::Model, Inherited, "\"quote-8b\""),
];

/// One row of the table of settings of a kind.
pub(super) struct KindSpec {
    pub(super) key: KindKey,
    pub(super) name: &'static str,
    pub(super) form: Form,
    pub(super) example: &'static str,
}

/// The table of settings of a kind, in the order of [`KindKey`]; all are inherited.
pub(super) const KIND: [KindSpec; 3] = [
    KindSpec {
        key: KindKey::Aim,
        name: "aim",
        form: Form::Duration,
        example: "\"20s\"",
    },
    KindSpec {
        key: KindKey::Worth,
        name: "worth",
        form: Form::Weight,
        example: "3",
    },
    KindSpec {
        key: KindKey::Priority,
        name: "priority",
        form: Form::Priority,
        example: "2",
    },
];

impl PlainKey {
    /// The row of the table.
    pub(super) fn spec(self) -> &'static PlainSpec {
        &PLAIN[self as usize]
    }
}

impl KindKey {
    /// The row of the table.
    pub(super) fn spec(self) -> &'static KindSpec {
        &KIND[self as usize]
    }
}

impl SettingKey {
    /// How a branch that does not hold the setting comes by its value.
    pub fn inheritance(&self) -> Inheritance {
        match self {
            SettingKey::Plain(key) => key.spec().inheritance,
            SettingKey::Kind(..) => Inheritance::Inherited,
        }
    }

    /// A value that would be accepted, as TOML.
    pub fn example(&self) -> &'static str {
        match self {
            SettingKey::Plain(key) => key.spec().example,
            SettingKey::Kind(_, key) => key.spec().example,
        }
    }
}

impl From<PlainKey> for SettingKey {
    fn from(key: PlainKey) -> Self {
        SettingKey::Plain(key)
    }
}

impl fmt::Display for PlainKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let spec = self.spec();
        if !spec.group.is_empty() {
            write!(formatter, "{}.", spec.group)?;
        }
        formatter.write_str(spec.name)
    }
}

impl fmt::Display for SettingKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingKey::Plain(key) => key.fmt(formatter),
            SettingKey::Kind(kind, key) => {
                write!(formatter, "{KINDS}.{}.{}", kind.as_str(), key.spec().name)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rows_stand_in_the_order_of_their_keys() {
        for (index, spec) in PLAIN.iter().enumerate() {
            assert_eq!(spec.key as usize, index, "{}", spec.name);
        }
        for (index, spec) in KIND.iter().enumerate() {
            assert_eq!(spec.key as usize, index, "{}", spec.name);
        }
    }
}
