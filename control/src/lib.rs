//! Divides shared budgets down a tree of sites, regions and the fleet, so that no process talks to more than a few dozen
//! others.
#![forbid(unsafe_code)]
