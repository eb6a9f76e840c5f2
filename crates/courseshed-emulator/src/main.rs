//! The binary `courseshed-emulator`.

fn main() {}
