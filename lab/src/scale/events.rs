//! The events that a fleet of the target's size meets: restarts, losses, cuts, purges and changes.
