//! The queues of a connection over loopback, as its reader stops and goes on.
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use threadward_sockets::{unacknowledged_bytes, unsent_bytes};

fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let writer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (writer, listener.accept().unwrap().0)
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn bytes_that_the_reader_has_no_room_for_are_unsent() {
    let (mut writer, mut reader) = connected_pair();
    assert_eq!((unacknowledged_bytes(&writer).unwrap(), unsent_bytes(&writer).unwrap()), (0, 0));
    writer.set_nonblocking(true).unwrap();
    let (mut written, chunk) = (0, [7; 16 * 1024]);
    loop {
        match writer.write(&chunk) {
            Ok(n) => written += n,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => panic!("{error}"),
        }
    }
    let unsent = unsent_bytes(&writer).unwrap();
    assert!(unsent > 0 && unsent < written, "{unsent} of {written}");
    assert!(unacknowledged_bytes(&writer).unwrap() >= unsent);
    let mut received = vec![0; written];
    reader.read_exact(&mut received).unwrap();
    wait_until("the end of the queue", || unacknowledged_bytes(&writer).unwrap() == 0);
    assert_eq!(unsent_bytes(&writer).unwrap(), 0);
}

#[test]
fn other_sockets_give_an_error() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    assert!(unacknowledged_bytes(&listener).is_err() && unsent_bytes(&listener).is_err());
    let datagrams = UdpSocket::bind(("127.0.0.1", 0)).unwrap();
    assert!(unsent_bytes(&datagrams).is_err());
}
