//! A link to a controller that can refuse connections, like a packet filter.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Link {
    pub address: SocketAddr,
    refuses: Mutex<bool>,
    /// The open connections.
    streams: Mutex<Vec<TcpStream>>,
}

impl Link {
    /// Opens a link to an address.
    pub fn open(to: SocketAddr) -> Arc<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let address = listener.local_addr().expect("a local address");
        let link = Arc::new(Link {
            address,
            refuses: Mutex::new(false),
            streams: Mutex::default(),
        });
        let of = link.clone();
        std::thread::spawn(move || of.serve(listener, to));
        link
    }

    /// Refuses connections from now on, and resets the open ones; or accepts them again.
    pub fn refuse(&self, refuses: bool) {
        *self.refuses.lock().expect("lock") = refuses;
        for stream in self.streams.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, listener: TcpListener, to: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if *self.refuses.lock().expect("lock") {
                // Without a listener, the system refuses connections.
                listener = None;
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((near, _)) => {
                    let _ = near.set_nonblocking(false);
                    if let Ok(far) = TcpStream::connect(to) {
                        let mut streams = self.streams.lock().expect("lock");
                        for (from, into) in [(&near, &far), (&far, &near)] {
                            let _ = from.set_nodelay(true);
                            streams.extend(from.try_clone());
                            if let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) {
                                std::thread::spawn(move || copy(from, into));
                            }
                        }
                    }
                }
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }
}

fn copy(mut from: TcpStream, mut into: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(n) = from.read(&mut buffer) {
        if n == 0 || into.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = into.shutdown(Shutdown::Both);
}
