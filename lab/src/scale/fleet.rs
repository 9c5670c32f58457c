//! A fleet of hollow proxies in virtual time.
