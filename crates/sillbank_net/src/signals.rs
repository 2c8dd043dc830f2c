//! Operating system signals that a process handles.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::Async;
use smol::io::AsyncReadExt;
use std::os::unix::net::UnixStream;

/// Receiver of a set of signals.
#[derive(Debug)]
pub struct Signals {
    reader: Async<UnixStream>,
}

impl Signals {
    /// Listens for the signals that stop a process: SIGTERM and SIGINT.
    ///
    /// # Errors
    /// Returns an error if the signal handlers cannot be registered.
    pub fn stop() -> std::io::Result<Self> {
        Self::of(&[SIGTERM, SIGINT])
    }

    /// Listens for the signal that reloads the settings: SIGHUP.
    ///
    /// # Errors
    /// Returns an error if the signal handler cannot be registered.
    pub fn reload() -> std::io::Result<Self> {
        Self::of(&[SIGHUP])
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let mut byte = [0];
        if let Err(error) = self.reader.read_exact(&mut byte).await {
            tracing::error!("net: Signals are no longer received: {error}.");
            std::future::pending::<()>().await;
        }
    }

    fn of(signals: &[i32]) -> std::io::Result<Self> {
        let (reader, writer) = UnixStream::pair()?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
        }
        Ok(Self { reader: Async::new(reader)? })
    }
}
