//! Identifiers of nodes, shards, programs, calls and engines.
//!
//! A program's id names its shard, so that any gateway finds the shard without a directory, and the programs of
//! one family (a program and its sub-agents) live in one shard.

use std::{fmt, num::ParseIntError, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// A text that is not an id of the expected kind.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The text has not the shape of the id.
    #[snafu(display("'{text}' is not {expected}"))]
    Shape {
        /// The text given.
        text: String,
        /// The shape expected, with an example.
        expected: &'static str,
    },
    /// A number inside the id can't be read.
    #[snafu(display("'{text}' holds a number that can't be read: {source}"))]
    Number {
        /// The text given.
        text: String,
        /// What is wrong with the number.
        source: ParseIntError,
    },
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<$name, IdError> {
                text.parse().map($name).context(NumberSnafu { text })
            }
        }
    };
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> $name {
                $name(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

number_id!(
    /// A node (one daemon) of the fleet; also its replica id in every replicated log it takes part in.
    NodeId(u32)
);
number_id!(
    /// Counts the starts of a node; a volatile replica that restarts has forgotten its vote and is a new one.
    Incarnation(u64)
);
number_id!(
    /// A program shard, numbered over the whole fleet.
    ShardId(u32)
);
number_id!(
    /// The place of a call in its program, from 1.
    Sequence(u64)
);
number_id!(
    /// The try of a call, from 1.
    Attempt(u32)
);
number_id!(
    /// Counts the accepted changes of the settings tree.
    SettingsVersion(u64)
);
number_id!(
    /// Counts the committed changes of the member map.
    MapEpoch(u64)
);

name_id!(
    /// A model engine, as the list of engines names it.
    EngineId
);
name_id!(
    /// A model as engines serve it.
    ModelName
);
name_id!(
    /// A region.
    RegionName
);
name_id!(
    /// A zone, unique over the fleet.
    ZoneName
);
name_id!(
    /// An operator's name for one change; the same id again gets the first answer.
    ChangeId
);

/// A program: its shard and its number within it. Written `p<shard>-<number>`, both in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProgramId {
    /// The shard that keeps the program.
    pub shard: ShardId,
    /// The number the shard gave it.
    pub number: u64,
}

const PROGRAM_SHAPE: &str = "a program id such as p1f-3a7";

impl fmt::Display for ProgramId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "p{:x}-{:x}", self.shard.0, self.number)
    }
}

impl FromStr for ProgramId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<ProgramId, IdError> {
        let parts = text.strip_prefix('p').and_then(|rest| rest.split_once('-'));
        let Some((shard, number)) = parts else {
            return ShapeSnafu {
                text,
                expected: PROGRAM_SHAPE,
            }
            .fail();
        };
        let shard = u32::from_str_radix(shard, 16).context(NumberSnafu { text })?;
        let number = u64::from_str_radix(number, 16).context(NumberSnafu { text })?;
        Ok(ProgramId {
            shard: ShardId(shard),
            number,
        })
    }
}

/// A call of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId {
    /// The program.
    pub program: ProgramId,
    /// The call's place in it.
    pub sequence: Sequence,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.program, self.sequence)
    }
}

/// One attempt of a call: the id under which an engine knows it. Written `p1f-3a7.4.1`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// The call.
    pub call: CallId,
    /// Which try of it.
    pub attempt: Attempt,
}

const REQUEST_SHAPE: &str = "a request id such as p1f-3a7.4.1";

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.call, self.attempt)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<RequestId, IdError> {
        let mut parts = text.split('.');
        let (Some(program), Some(sequence), Some(attempt), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return ShapeSnafu {
                text,
                expected: REQUEST_SHAPE,
            }
            .fail();
        };
        let program = program.parse()?;
        let sequence = sequence.parse()?;
        let attempt = attempt.parse()?;
        Ok(RequestId {
            call: CallId { program, sequence },
            attempt,
        })
    }
}

macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(
                deserializer: D,
            ) -> Result<$name, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

serde_as_text!(ProgramId);
serde_as_text!(RequestId);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn request_ids_round_trip() {
        let program = ProgramId {
            shard: ShardId(31),
            number: 0x3a7,
        };
        let call = CallId {
            program,
            sequence: Sequence(4),
        };
        let request = RequestId {
            call,
            attempt: Attempt(1),
        };
        assert_eq!(request.to_string(), "p1f-3a7.4.1");
        assert_eq!("p1f-3a7.4.1".parse(), Ok(request));
    }

    #[test]
    fn broken_ids_are_refused() {
        assert!("3a7".parse::<ProgramId>().is_err());
        assert!("p1-".parse::<ProgramId>().is_err());
        assert!("p1-2.3".parse::<RequestId>().is_err());
        assert!("p1-2.3.4.5".parse::<RequestId>().is_err());
    }
}
