//! Writes the tables of `docs/CAPACITY.md` from a measured report and a target.
