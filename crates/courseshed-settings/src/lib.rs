//! The node settings file and the settings tree: parsing, inheritance and checks.
