//! The program: reads its configuration, opens its sockets and starts the tasks. It reads the configuration
//! again on SIGHUP, and ends on SIGTERM once all requests that it has taken are answered.
use async_executor::LocalExecutor;
use async_io::Async;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use threadward::cli::{self, Invocation};
use threadward::clock::unix_now;
use threadward::net::{self, now, sleep_until};
use threadward::node::Node;
use threadward::shift::ProcessGroup;
use threadward::{admin, budgets, bulletin, calls, config, control_socket, front, gossip};
use threadward::{operators, signed, snmp, zones};
use threadward_core::Counter;

fn main() -> ExitCode {
    let with_program_name = |e: String| format!("threadward: {e}");
    let result = match cli::parse(std::env::args_os()) {
        Ok(Invocation::Run(file)) => start(file).map_err(|e| with_program_name(format!("cannot start: {e}"))),
        Ok(Invocation::CreateKey(path)) => {
            gossip::create_key_file(&path).and_then(|key| print_line(&key)).map_err(with_program_name)
        }
        Ok(Invocation::Print(text)) => print_line(text.trim_end()).map_err(with_program_name),
        // The message begins with the file and the line in it, where editors look for them.
        Ok(Invocation::Check { file, name, json }) => check(&file, &name, json),
        Err(e) => Err(with_program_name(e)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            net::log(&line);
            ExitCode::from(2)
        }
    }
}

/// Runs the proxy until SIGTERM, with the operators' file if one is given.
fn start(file: Option<PathBuf>) -> Result<(), String> {
    // First, before anything slow: a signal without a handler would end the program. An early signal waits in
    // the pipe.
    let (stop_signals, counter_signals, reload_signals) =
        (register_signal(SIGTERM)?, register_signal(SIGUSR1)?, register_signal(SIGHUP)?);
    let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set".to_owned())?;
    let config = read(&path)?;
    let operator_config = match &file {
        Some(file) => operators::read(file, &config.name)?,
        None => operators::OperatorConfig::default(),
    };
    let admin_addr = config.admin_addr.map_or_else(admin_addr_from_env, |at| Ok(Some(at)))?;
    // With an admin socket a second process may start beside this one, at the same addresses.
    let bound_addr = net::bind_address(config.listen, admin_addr.is_some())
        .map_err(|e| format!("{}: {e}", config.listen))?;
    let admin_listener = match admin_addr {
        Some(at) => Some(Async::<TcpListener>::bind(at).map_err(|e| format!("door: {at}: {e}"))?),
        None => None,
    };
    // Where gossip is on it uses this address instead.
    let peer_socket = match config.peer_listen.filter(|_| operator_config.gossip.is_none()) {
        Some(at) => {
            Some(net::bind_datagram_socket(at, admin_addr.is_some()).map_err(|e| format!("{at}: {e}"))?)
        }
        None => None,
    };
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let node = Node::new(config, executor);
    if operator_config.zones.is_some() {
        // Before the first member list, so that every member is assigned to its zone.
        node.plan(|p, _| p.enable_zones(node.config.names.zones.len()));
    }
    for b in node.config.known_events.clone() {
        bulletin::apply(&node, b, true);
    }
    net::log(&format!("start: {} on {}", node.config.name, node.config.listen));
    let n = node.clone();
    node.spawn_restarting("bulletin", move || bulletin::follow(n.clone()));
    let mut shift = None;
    if let Some(admin_listener) = admin_listener {
        let at = admin_listener.get_ref().local_addr().map_err(|e| e.to_string())?;
        net::log(&format!("start: door on {at}"));
        let s = ProcessGroup::new(node.clone(), std::env::var_os("TMPDIR").as_deref().map(Path::new));
        let (n, t, admin_listener) = (node.clone(), s.clone(), Rc::new(admin_listener));
        node.spawn_restarting("door", move || admin::serve(n.clone(), t.clone(), admin_listener.clone()));
        let t = s.clone();
        node.spawn_restarting("shift", move || t.clone().watch_files());
        shift = Some(s);
    }
    match shift.clone().filter(|s| !s.may_listen()) {
        None => {
            let at = bound_addr.listen().map_err(|e| format!("{}: {e}", node.config.listen))?;
            listen(&node, at, shift.as_ref());
        }
        // Another process serves here: it goes on alone until this one could take over.
        Some(s) => {
            let n = node.clone();
            node.spawn("front", async move {
                while !s.may_listen() {
                    sleep_until(now() + 5_000).await;
                }
                // One accept queue for both processes, so that nothing is lost when the old one stops. If the
                // old process doesn't hand it over, this one listens with its own.
                let received = s.request_listener().await;
                // Told to end meanwhile: the queue stays with the process that has it.
                if n.stopping.get().is_some() {
                    return;
                }
                match received.map_or_else(|| bound_addr.listen(), Ok) {
                    Ok(at) => listen(&n, at, Some(&s)),
                    Err(e) => net::log(&format!("front: {e}")),
                }
            });
        }
    }
    if let Some(peer_socket) = peer_socket {
        let (n, peer_socket) = (node.clone(), Rc::new(peer_socket));
        node.spawn_restarting("peers", move || {
            bulletin::receive_peer_messages(n.clone(), peer_socket.clone())
        });
    }
    if let Some(s) = operator_config.signed {
        let at = s.listen;
        let listener = Async::<TcpListener>::bind(at).map_err(|e| format!("{at}: {e}"))?;
        net::log(&format!("start: signed links on {at}"));
        let front = signed::SignedFront::new(node.clone(), s, Box::new(|| unix_now().micros()));
        let listener = Rc::new(listener);
        node.spawn_restarting("signed front", move || signed::serve(front.clone(), listener.clone()));
    }
    if let Some(s) = operator_config.snmp {
        let socket = Async::<UdpSocket>::bind(s.listen).map_err(|e| format!("{}: {e}", s.listen))?;
        net::log(&format!("start: agent on {}", s.listen));
        let (n, socket) = (node.clone(), Rc::new(socket));
        node.spawn_restarting("agent", move || snmp::serve(n.clone(), socket.clone(), s.community.clone()));
    }
    let gossip_client = match operator_config.gossip {
        Some(s) => Some(gossip::GossipClient::new(node.clone(), s)?),
        None => None,
    };
    if let Some(gossip_client) = &gossip_client {
        net::log("start: gossip between proxies is on");
        let t = gossip_client.clone();
        node.spawn_restarting("gossip in", move || gossip::receive(t.clone()));
        let t = gossip_client.clone();
        node.spawn_restarting("gossip", move || gossip::run_timers(t.clone()));
    }
    let client = operator_config.budgets.map(|d| budgets::BudgetClient::new(node.clone(), d)).transpose()?;
    if let Some(client) = &client {
        net::log("start: budgets shared by all proxies are on");
        let socket = client.socket();
        node.spawn_restarting("budgets in", move || control_socket::receive(socket.clone()));
        let c = client.clone();
        node.spawn_restarting("budgets", move || budgets::run_timers(c.clone()));
    }
    let mut zone_client = None;
    if let Some((z, client)) = operator_config.zones.zip(client.as_ref()) {
        let f = zones::ZoneClient::new(node.clone(), client.clone(), z)?;
        net::log("start: zones are left and taken back by all proxies together");
        zone_client = Some(f.clone());
        node.spawn_restarting("zones", move || zones::run_timers(f.clone()));
    }
    let n = node.clone();
    node.spawn("counters", async move {
        loop {
            next_signal(&counter_signals).await;
            net::log(&format!("counters: {}", n.counters_line()));
        }
    });
    let (n, t) = (node.clone(), gossip_client.clone());
    node.spawn("reload", async move {
        loop {
            next_signal(&reload_signals).await;
            n.count(Counter::Reloads);
            net::log(&match read(&path) {
                Ok(new) => format!("reload: {}", n.reload(&new)),
                Err(e) => format!("reload: kept the old configuration: {e}"),
            });
            let Some((t, file)) = t.as_ref().zip(file.as_ref()) else { continue };
            net::log(&match operators::read(file, &n.config.name) {
                Ok(operators::OperatorConfig { gossip: Some(s), zones, .. }) => {
                    zone_client.iter().zip(zones).for_each(|(f, z)| f.reload(z));
                    format!("reload: {}", t.reload(s))
                }
                Ok(_) => "reload: kept gossip: only a restart turns it off".to_owned(),
                Err(e) => format!("reload: kept gossip's peers: {e}"),
            });
        }
    });
    async_io::block_on(executor.run(async {
        next_signal(&stop_signals).await;
        node.stopping.set(Some(now()));
        shift.iter().for_each(|s| s.refresh());
        gossip_client.iter().for_each(gossip::GossipClient::leave);
        client.iter().for_each(|c| c.leave());
        net::log(&format!("stop: SIGTERM, {} requests open", node.plan(|p, _| p.open_requests())));
        node.wait_until_drained().await;
    }));
    net::log(&format!("counters: {}", node.counters_line()));
    net::log("end");
    Ok(())
}

/// Starts serving clients from this listening socket.
fn listen(node: &Rc<Node>, at: Async<TcpListener>, shift: Option<&Rc<ProcessGroup>>) {
    let listener = Rc::new(at);
    shift.iter().for_each(|s| s.start_listening(&listener));
    let n = node.clone();
    node.spawn_restarting("front", move || front::serve(n.clone(), listener.clone()));
}

/// Returns the address of the admin socket from the environment. The configuration takes precedence.
fn admin_addr_from_env() -> Result<Option<SocketAddr>, String> {
    match std::env::var("LB_ADMIN_ADDR") {
        Ok(at) => at.parse().map(Some).map_err(|_| "LB_ADMIN_ADDR is no address".to_owned()),
        Err(_) => Ok(None),
    }
}

/// Prints a line to standard output.
fn print_line(text: &str) -> Result<(), String> {
    writeln!(std::io::stdout(), "{text}").map_err(|e| e.to_string())
}

/// Reads the operators' file and prints what it turns on. An invalid file gives the same error as a start
/// with it.
fn check(file: &Path, name: &str, json: bool) -> Result<(), String> {
    let read = operators::read(file, name);
    if json {
        let text = match &read {
            Ok(f) => serde_json::json!({ "ok": true, "parts": f.enabled_parts() }),
            Err(e) => serde_json::json!({ "ok": false, "error": e }),
        };
        print_line(&text.to_string())?;
    }
    let operator_config = read?;
    if !json {
        let on = operator_config.enabled_parts().join(", ");
        let on = if on.is_empty() { "nothing" } else { &on };
        print_line(&format!("{}: right for {name}, turns on: {on}", file.display()))?;
    }
    Ok(())
}

/// Reads the platform's configuration file.
fn read(path: &str) -> Result<config::Config, String> {
    let json = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    config::parse(&json).map_err(|e| format!("{path}: {e}"))
}

/// Registers a handler that writes a byte to the returned stream for each signal, which also wakes the
/// executor.
fn register_signal(signal: i32) -> Result<Async<UnixStream>, String> {
    let (a, b) = UnixStream::pair().map_err(|e| e.to_string())?;
    signal_hook::low_level::pipe::register(signal, b).map_err(|e| e.to_string())?;
    Async::new(a).map_err(|e| e.to_string())
}

/// Waits for a signal; several that arrived together count as one. A failed read doesn't count as a signal.
async fn next_signal(pipe: &Async<UnixStream>) {
    loop {
        match calls::uninterrupted(|| pipe.get_ref().read(&mut [0u8; 64])) {
            Ok(1..) => return,
            Err(e) if e.kind() == ErrorKind::WouldBlock => calls::readable(pipe).await,
            // The handler holds the other end for as long as the program runs, so the stream doesn't end.
            Ok(0) | Err(_) => {
                calls::count_retry();
                sleep_until(now() + calls::BACKOFF).await;
            }
        }
    }
}
