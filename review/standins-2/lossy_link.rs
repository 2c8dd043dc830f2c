//! The link to one runner, which may lose the opening packets of new channels. Channels that are open go on.

use std::io::{ErrorKind, copy};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PASSING: u8 = 0;
const LOSING: u8 = 1;

unsafe extern "C" {
    fn listen(socket: RawFd, backlog: i32) -> i32;
}

#[derive(Clone)]
pub struct LossyLink {
    /// Address at which the runner is reached.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    listener: Arc<Mutex<Option<TcpListener>>>,
    /// Connections that fill the queue of the listener, so that opening packets are dropped.
    fill: Arc<Mutex<Vec<TcpStream>>>,
}

impl LossyLink {
    pub fn start(runner: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let address = listener.local_addr().expect("an address");
        let link = Self {
            address,
            mode: Arc::default(),
            listener: Arc::new(Mutex::new(Some(listener))),
            fill: Arc::default(),
        };
        let passing = link.clone();
        std::thread::spawn(move || passing.accept_all(runner));
        link
    }

    fn accept_all(&self, runner: SocketAddr) {
        loop {
            {
                let listener = self.listener.lock().expect("no panic");
                let Some(listener) = listener.as_ref() else { return };
                while self.mode.load(Ordering::Relaxed) == PASSING {
                    match listener.accept() {
                        Ok((stream, _)) => drop(std::thread::spawn(move || pass_on(stream, runner))),
                        Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                        Err(_) => return,
                    }
                }
            }
            std::thread::sleep(Duration::from_micros(300));
        }
    }

    /// Opening packets are lost from now on: the queue of the listener is full, so that the system drops them.
    pub fn lose_openings(&self) {
        let listener = self.listener.lock().expect("no panic");
        let Some(listener) = listener.as_ref() else { return };
        self.mode.store(LOSING, Ordering::Relaxed);
        // SAFETY: the listener is open; the call changes the length of its queue.
        unsafe { listen(listener.as_raw_fd(), 0) };
        let mut fill = self.fill.lock().expect("no panic");
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(20)) {
            fill.push(stream);
        }
    }

    /// New channels are refused from now on.
    pub fn refuse(&self) {
        *self.listener.lock().expect("no panic") = None;
        self.fill.lock().expect("no panic").clear();
    }
}

fn pass_on(mut from: TcpStream, runner: SocketAddr) {
    let Ok(mut to) = TcpStream::connect(runner) else { return };
    let _ = (from.set_nonblocking(false), from.set_nodelay(true), to.set_nodelay(true));
    let (Ok(mut from_back), Ok(mut to_back)) = (from.try_clone(), to.try_clone()) else { return };
    std::thread::spawn(move || {
        let _ = copy(&mut to_back, &mut from_back);
        let _ = from_back.shutdown(Shutdown::Write);
    });
    let _ = copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Write);
}
