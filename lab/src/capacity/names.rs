//! The words of the page for what a report names, and the module that carries each part.
use crate::scale::fit::Form;
use crate::scale::report::{Design, Part, Quantity, Role, Variable};

/// A layout.
pub fn design(design: Design) -> &'static str {
    match design {
        Design::Star => "star",
        Design::Tree => "tree",
    }
}

/// A part of the program.
pub fn part(part: Part) -> &'static str {
    match part {
        Part::Budgets => "budgets",
        Part::Zones => "zones",
        Part::Discovery => "discovery",
        Part::Gossip => "gossip",
    }
}

/// Whose figures they are.
pub fn role(role: Role) -> &'static str {
    match role {
        Role::Proxy => "proxy",
        Role::Voter => "voter",
        Role::SiteLeader => "leader of a site",
        Role::RegionLeader => "leader of a region",
        Role::Leader => "leader of the fleet",
        Role::ListService => "list service (stand-in)",
        Role::CacheServer => "cache server (stand-in)",
    }
}

/// A quantity, with its unit.
pub fn quantity(quantity: Quantity) -> &'static str {
    match quantity {
        Quantity::MessagesIn => "messages in, a second",
        Quantity::MessagesOut => "messages out, a second",
        Quantity::BytesIn => "bytes in, a second",
        Quantity::BytesOut => "bytes out, a second",
        Quantity::CoreShare => "processor time",
        Quantity::MemoryBytes => "memory",
        Quantity::Descriptors => "descriptors",
        Quantity::EverywhereP99 => "seconds until everywhere, 99 in 100",
        Quantity::EverywhereLast => "seconds until everywhere, the last",
    }
}

/// What a quantity grows with.
pub fn variable(variable: Variable) -> &'static str {
    match variable {
        Variable::Proxies => "proxies",
        Variable::Caches => "caches",
        Variable::Regions => "regions",
        Variable::PurgesPerSecond => "purges a second",
        Variable::ChangesPerDay => "changes a day",
        Variable::RequestsPerSecond => "requests a second",
    }
}

/// A form of a curve.
pub fn form(form: Form) -> &'static str {
    match form {
        Form::Constant => "constant",
        Form::Linear => "linear",
        Form::NLogN => "n log n",
        Form::Quadratic => "quadratic",
    }
}

/// The module that carries a role's work.
pub fn module(design: Design, part: Part, role: Role) -> &'static str {
    match (part, role) {
        (_, Role::ListService | Role::CacheServer) => "a stand-in",
        (Part::Discovery, _) => "`node/src/bulletin.rs`",
        (Part::Gossip, _) => "`gossip/src/members.rs`, `belief.rs`",
        (Part::Zones, Role::Proxy) => "`zones/src/lib.rs`",
        (Part::Zones, Role::Voter) => "`zones/src/map.rs`",
        (Part::Zones, _) => "`zones/src/decider.rs`, `judge.rs`",
        (Part::Budgets, Role::Voter) => "`budgets/src/vote.rs`",
        (Part::Budgets, Role::Proxy) => "`budgets/src/lib.rs`",
        (Part::Budgets, _) if design == Design::Tree => "`control/`, `budgets/src/grant.rs`",
        (Part::Budgets, _) => "`budgets/src/grant.rs`",
    }
}
