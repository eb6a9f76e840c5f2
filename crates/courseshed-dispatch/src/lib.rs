//! The dispatcher: tables and systems that decide whose call runs on which engine.
