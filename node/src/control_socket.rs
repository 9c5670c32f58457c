//! The single UDP socket for control messages between proxies. It sends to proxies by their index in the
//! operators' file and passes each datagram received to the receiver registered for its subject. It neither
//! authenticates nor verifies messages: senders and receivers do.
use crate::net;
use async_io::Async;
use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use threadward_budgets::seal::TAG_BYTES;

/// Largest datagram that is received whole. Messages on zones are the longest, and their authentication code
/// is as long as that of messages on budgets.
const MAX_DATAGRAM_BYTES: usize = threadward_zones::wire::MAX_MESSAGE_BYTES + TAG_BYTES;

/// A callback that is given one datagram.
type Receiver = Box<dyn Fn(&[u8])>;

/// What a datagram is about, by its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Budgets, and every datagram that is not about another subject: the receiver for budgets counts those
    /// that it cannot verify.
    Budgets,
    /// Zones that the proxies take out of service and back together.
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

/// The control socket, the addresses of all proxies and the receivers.
pub struct ControlSocket {
    socket: Async<UdpSocket>,
    /// The addresses of all proxies, in the order of the file.
    proxies: Vec<SocketAddr>,
    budgets_receiver: RefCell<Option<Receiver>>,
    zones_receiver: RefCell<Option<Receiver>>,
}

impl ControlSocket {
    /// Binds the socket to this proxy's address. `proxies` holds the addresses of all proxies, in the order
    /// of the file.
    ///
    /// # Errors
    /// One line that says why the socket cannot be bound.
    pub fn bind(listen: SocketAddr, proxies: Vec<SocketAddr>) -> Result<Rc<ControlSocket>, String> {
        let socket = Async::<UdpSocket>::bind(listen).map_err(|e| format!("budgets: {listen}: {e}"))?;
        Ok(Rc::new(ControlSocket {
            socket,
            proxies,
            budgets_receiver: RefCell::default(),
            zones_receiver: RefCell::default(),
        }))
    }

    /// Sends a datagram to the proxy with the index `to`. One that the socket cannot take is dropped: the
    /// protocols tolerate the loss of any datagram.
    pub fn send(&self, to: u16, datagram: &[u8]) {
        if let Some(address) = self.proxies.get(usize::from(to)) {
            self.socket.get_ref().send_to(datagram, address).ok();
        }
    }

    /// Registers the receiver of datagrams on a subject, in place of an earlier one. Without a receiver they
    /// are dropped.
    pub fn register(&self, subject: Subject, receiver: Receiver) {
        *self.receiver(subject).borrow_mut() = Some(receiver);
    }

    fn receiver(&self, subject: Subject) -> &RefCell<Option<Receiver>> {
        match subject {
            Subject::Budgets => &self.budgets_receiver,
            Subject::Zones => &self.zones_receiver,
        }
    }

    fn deliver(&self, datagram: &[u8]) {
        if let Some(receiver) = self.receiver(Subject::of(datagram)).borrow().as_ref() {
            receiver(datagram);
        }
    }
}

/// Receives datagrams for as long as the program runs.
pub async fn receive(socket: Rc<ControlSocket>) {
    net::receive_datagrams(&socket.socket, MAX_DATAGRAM_BYTES, |datagram, _| socket.deliver(datagram)).await;
}
