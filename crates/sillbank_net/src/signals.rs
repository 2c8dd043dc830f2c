//! Operating system signals that a process handles.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::Async;
use smol::io::AsyncReadExt;
use std::os::unix::net::UnixStream;

/// Receivers of the signals that stop a process and that reload its settings.
#[derive(Debug)]
pub struct ProcessSignals {
    /// SIGTERM and SIGINT.
    pub stop: Signals,
    /// SIGHUP.
    pub reload: Signals,
}

impl ProcessSignals {
    /// Listens for these signals. A program calls this first, since a signal that no handler is registered for ends the
    /// process.
    ///
    /// # Errors
    /// Returns an error if the signal handlers cannot be registered.
    pub fn register() -> std::io::Result<Self> {
        let (reload, stop) = (register(&RELOAD_SIGNALS)?, register(&STOP_SIGNALS)?);
        Ok(Self { stop: Signals::new(stop)?, reload: Signals::new(reload)? })
    }
}

/// Signals that stop a process.
const STOP_SIGNALS: [i32; 2] = [SIGTERM, SIGINT];
/// Signals that reload the settings.
const RELOAD_SIGNALS: [i32; 1] = [SIGHUP];

/// Registers handlers that write a byte for each signal. Returns the end to read from.
fn register(signals: &[i32]) -> std::io::Result<UnixStream> {
    let (reader, writer) = UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
    }
    Ok(reader)
}

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
        Self::new(register(&STOP_SIGNALS)?)
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let mut byte = [0];
        if let Err(error) = self.reader.read_exact(&mut byte).await {
            tracing::error!("net: Signals are no longer received: {error}.");
            std::future::pending::<()>().await;
        }
    }

    fn new(reader: UnixStream) -> std::io::Result<Self> {
        Ok(Self { reader: Async::new(reader)? })
    }
}
