//! Paths of branches in the settings tree, such as `guild/quotes`; the root is written `/`.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest branch path in bytes.
pub const MAX_BRANCH_PATH_BYTES: usize = 200;
/// Deepest branch, counted in segments.
pub const MAX_BRANCH_DEPTH: usize = 8;

/// Why a text is not a branch path.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BranchPathError {
    /// The path or one of its segments is empty.
    #[snafu(display("branch path '{path}' has an empty segment; write it like guild/quotes"))]
    EmptySegment {
        /// The text given.
        path: String,
    },
    /// A character that may not stand in a segment.
    #[snafu(display(
        "branch path '{path}' holds '{character}'; segments take a-z, 0-9, '-', '_' and '.'"
    ))]
    BadCharacter {
        /// The text given.
        path: String,
        /// The first character that may not stand there.
        character: char,
    },
    /// Too long or too deep.
    #[snafu(display(
        "branch path is too long: at most {MAX_BRANCH_DEPTH} segments and {MAX_BRANCH_PATH_BYTES} bytes"
    ))]
    TooLong,
}

/// The path of a branch; cheap to clone. The root is the empty path and is displayed as `/`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BranchPath(Arc<str>);

impl BranchPath {
    /// The root of the tree.
    pub fn root() -> BranchPath {
        BranchPath(Arc::from(""))
    }

    /// Whether this is the root.
    pub fn is_root(&self) -> bool {
        self.0.is_empty()
    }

    /// The path without slashes at its ends; empty for the root.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The branch one level up; none for the root.
    pub fn parent(&self) -> Option<BranchPath> {
        if self.is_root() {
            return None;
        }
        let parent = self.0.rsplit_once('/').map_or("", |(parent, _)| parent);
        Some(BranchPath(Arc::from(parent)))
    }

    /// This branch and all above it, the root last.
    pub fn ancestry(&self) -> impl Iterator<Item = BranchPath> {
        std::iter::successors(Some(self.clone()), BranchPath::parent)
    }

    /// Whether this branch is `ancestor` or lies below it.
    pub fn is_within(&self, ancestor: &BranchPath) -> bool {
        if ancestor.is_root() || self == ancestor {
            return true;
        }
        let rest = self.0.strip_prefix(ancestor.as_str());
        rest.is_some_and(|rest| rest.starts_with('/'))
    }

    /// Number of segments; zero for the root.
    pub fn depth(&self) -> usize {
        if self.is_root() {
            0
        } else {
            self.0.split('/').count()
        }
    }
}

impl FromStr for BranchPath {
    type Err = BranchPathError;

    fn from_str(text: &str) -> Result<BranchPath, BranchPathError> {
        if text.is_empty() || text == "/" {
            return Ok(BranchPath::root());
        }
        if text.len() > MAX_BRANCH_PATH_BYTES || text.split('/').count() > MAX_BRANCH_DEPTH {
            return Err(BranchPathError::TooLong);
        }
        if text.split('/').any(str::is_empty) {
            return EmptySegmentSnafu { path: text }.fail();
        }
        match text.chars().find(|character| !is_allowed(*character)) {
            Some(character) => BadCharacterSnafu {
                path: text,
                character,
            }
            .fail(),
            None => Ok(BranchPath(Arc::from(text))),
        }
    }
}

impl TryFrom<String> for BranchPath {
    type Error = BranchPathError;

    fn try_from(text: String) -> Result<BranchPath, BranchPathError> {
        text.parse()
    }
}

impl From<BranchPath> for String {
    fn from(path: BranchPath) -> String {
        path.0.to_string()
    }
}

impl Borrow<str> for BranchPath {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for BranchPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(if self.is_root() { "/" } else { &self.0 })
    }
}

fn is_allowed(character: char) -> bool {
    matches!(character, 'a'..='z' | '0'..='9' | '-' | '_' | '.' | '/')
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ancestry_ends_at_the_root() {
        let path: BranchPath = "guild/quotes/rush".parse().expect("valid");
        let names: Vec<String> = path.ancestry().map(|branch| branch.to_string()).collect();
        assert_eq!(names, ["guild/quotes/rush", "guild/quotes", "guild", "/"]);
    }

    #[test]
    fn a_sibling_with_the_same_prefix_is_not_within() {
        let guild: BranchPath = "guild".parse().expect("valid");
        let guildhall: BranchPath = "guildhall".parse().expect("valid");
        let quotes: BranchPath = "guild/quotes".parse().expect("valid");
        assert!(!guildhall.is_within(&guild));
        assert!(quotes.is_within(&guild));
        assert!(guildhall.is_within(&BranchPath::root()));
    }

    #[test]
    fn bad_paths_are_refused() {
        assert!("guild//quotes".parse::<BranchPath>().is_err());
        assert!("Guild".parse::<BranchPath>().is_err());
        assert!("a/b/c/d/e/f/g/h/i".parse::<BranchPath>().is_err());
    }
}
