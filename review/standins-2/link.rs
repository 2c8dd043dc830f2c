//! The link to one runner. A cut link keeps all bytes, and the ends of connections, until it is whole again.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

#[derive(Clone)]
pub struct Link {
    /// Address at which the runner is reached.
    pub address: SocketAddr,
    is_cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Link {
    pub fn start(runner: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let link = Self { address, is_cut: Arc::default() };
        let passing = link.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let passing = passing.clone();
                std::thread::spawn(move || passing.pass_on(stream, runner));
            }
        });
        link
    }

    pub fn set_cut(&self, is_cut: bool) {
        *self.is_cut.0.lock().expect("no panic") = is_cut;
        self.is_cut.1.notify_all();
    }

    fn await_whole(&self) {
        let mut is_cut = self.is_cut.0.lock().expect("no panic");
        while *is_cut {
            is_cut = self.is_cut.1.wait(is_cut).expect("no panic");
        }
    }

    fn pass_on(&self, from: TcpStream, runner: SocketAddr) {
        self.await_whole();
        let Ok(to) = TcpStream::connect(runner) else { return };
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let (Ok(from_back), Ok(to_back)) = (from.try_clone(), to.try_clone()) else { return };
        let back = self.clone();
        std::thread::spawn(move || back.copy(to_back, from_back));
        self.copy(from, to);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0; 16 << 10];
        loop {
            let read = from.read(&mut chunk);
            self.await_whole();
            match read {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Err(_) => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
                Ok(length) if to.write_all(&chunk[..length]).is_err() => {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
                Ok(_) => {}
            }
        }
    }
}
