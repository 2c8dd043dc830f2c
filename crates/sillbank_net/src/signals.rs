//! Signals that ask a process for something.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::Async;
use smol::io::AsyncReadExt;
use std::os::unix::net::UnixStream;

/// Waits for signals of one meaning.
#[derive(Debug)]
pub struct Signals {
    reader: Async<UnixStream>,
}

impl Signals {
    /// Listens for the signals that ask a process to stop: SIGTERM and SIGINT.
    ///
    /// # Errors
    /// What the operating system refused.
    pub fn stop() -> std::io::Result<Self> {
        Self::of(&[SIGTERM, SIGINT])
    }

    /// Listens for the signal that says that the settings have changed: SIGHUP.
    ///
    /// # Errors
    /// What the operating system refused.
    pub fn reload() -> std::io::Result<Self> {
        Self::of(&[SIGHUP])
    }

    /// Waits for the next one.
    pub async fn next(&mut self) {
        let mut byte = [0];
        if let Err(error) = self.reader.read_exact(&mut byte).await {
            tracing::error!("net: Signals are not heard any more: {error}.");
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
