//! Counts messages, bytes, processor time and memory of each role.
