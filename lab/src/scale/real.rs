//! Real processes beside hosts of many hollow proxies on loopback sockets.
