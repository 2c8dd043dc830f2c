//! Signals that ask a process to stop.

use signal_hook::consts::{SIGINT, SIGTERM};
use smol::Async;
use smol::io::AsyncReadExt;
use std::os::unix::net::UnixStream;

/// Waits for the next SIGTERM or SIGINT.
#[derive(Debug)]
pub struct StopSignals {
    reader: Async<UnixStream>,
}

impl StopSignals {
    /// Begins to listen.
    ///
    /// # Errors
    /// What the operating system refused.
    pub fn new() -> std::io::Result<Self> {
        let (reader, writer) = UnixStream::pair()?;
        signal_hook::low_level::pipe::register(SIGTERM, writer.try_clone()?)?;
        signal_hook::low_level::pipe::register(SIGINT, writer)?;
        Ok(Self { reader: Async::new(reader)? })
    }

    /// Waits for one.
    pub async fn next(&mut self) {
        let mut byte = [0];
        if self.reader.read_exact(&mut byte).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
