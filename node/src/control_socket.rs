//! The one UDP socket for control messages between proxies. It sends to proxies by their place in the operators' file and
//! hands what comes in to whoever registered for that kind of message. It neither signs nor verifies: each receiver does.
use crate::net;
use async_io::Async;
use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use threadward_budgets::seal::TAG_BYTES;

/// The longest datagram that is read whole. Messages on zones are the longest, and bear a code as long as those on budgets.
const MAX_DATAGRAM_BYTES: usize = threadward_zones::wire::MAX_MESSAGE_BYTES + TAG_BYTES;

/// Takes one datagram.
type Receiver = Box<dyn Fn(&[u8])>;

/// What a datagram is about, by its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Budgets, and all that belongs to nothing else: their receiver counts what it cannot verify.
    Budgets,
    /// Zones that the proxies leave and take back together.
    Zones,
}

impl Subject {
    fn of(datagram: &[u8]) -> Subject {
        if threadward_zones::wire::is_zones_message(datagram) {
            Subject::Zones
        } else {
            Subject::Budgets
        }
    }
}

/// The socket, the addresses of all proxies and the receivers.
pub struct ControlSocket {
    socket: Async<UdpSocket>,
    /// In the order of the file.
    proxies: Vec<SocketAddr>,
    budgets: RefCell<Option<Receiver>>,
    zones: RefCell<Option<Receiver>>,
}

impl ControlSocket {
    /// Opens the socket at the own address; `proxies` are those of all proxies in the order of the file.
    ///
    /// # Errors
    /// One line that says why it cannot be opened.
    pub fn bind(listen: SocketAddr, proxies: Vec<SocketAddr>) -> Result<Rc<ControlSocket>, String> {
        let socket = Async::<UdpSocket>::bind(listen).map_err(|e| format!("budgets: {listen}: {e}"))?;
        Ok(Rc::new(ControlSocket { socket, proxies, budgets: RefCell::default(), zones: RefCell::default() }))
    }

    /// Sends a datagram to a proxy. One that finds no room is lost, as any may be.
    pub fn send(&self, to: u16, datagram: &[u8]) {
        if let Some(address) = self.proxies.get(usize::from(to)) {
            self.socket.get_ref().send_to(datagram, address).ok();
        }
    }

    /// Registers who takes datagrams on a subject; without one they are dropped.
    pub fn register(&self, subject: Subject, receiver: Receiver) {
        *self.receiver(subject).borrow_mut() = Some(receiver);
    }

    fn receiver(&self, subject: Subject) -> &RefCell<Option<Receiver>> {
        match subject {
            Subject::Budgets => &self.budgets,
            Subject::Zones => &self.zones,
        }
    }

    fn received(&self, datagram: &[u8]) {
        if let Some(receiver) = self.receiver(Subject::of(datagram)).borrow().as_ref() {
            receiver(datagram);
        }
    }
}

/// Reads datagrams for as long as the program runs.
pub async fn receive(socket: Rc<ControlSocket>) {
    net::receive_datagrams(&socket.socket, MAX_DATAGRAM_BYTES, |datagram, _| socket.received(datagram)).await;
}
