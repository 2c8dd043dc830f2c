//! Ports for servers that a test starts, exclusive among the running test programs.
//!
//! A server is started after its port is chosen, so another program could take the port in between,
//! or reach the wrong server. Ports are therefore claimed in blocks: a program claims a block by
//! listening on its last port.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of the first block. All blocks are above the ports of common services and below the
/// ephemeral ports that the system uses for outgoing connections (32,768 and up).
const FIRST_PORT: u16 = 12_000;
/// Number of blocks; more than there are test programs and fleets running at a time.
const BLOCK_COUNT: u16 = 100;
/// Number of ports of a block, including the one that claims it.
const BLOCK_SIZE: u16 = 200;

/// A block of ports that is reserved for this program until it is dropped.
#[derive(Debug)]
pub struct PortBlock {
    first: u16,
    /// Listens on the last port, which marks the block as taken for other programs.
    _claim: TcpListener,
}

impl PortBlock {
    /// Number of usable ports of a block.
    pub const PORTS: u16 = BLOCK_SIZE - 1;

    /// Claims a block that neither another program nor another caller in this one has claimed.
    ///
    /// # Panics
    /// If all blocks are taken.
    pub fn claim() -> Self {
        static CLAIM_COUNT: AtomicU16 = AtomicU16::new(0);
        // Programs start at different blocks, so that one seldom reuses those of a program that has
        // just ended.
        let start = (std::process::id() as u16).wrapping_mul(7) % BLOCK_COUNT;
        let offset = CLAIM_COUNT.fetch_add(1, Ordering::Relaxed);
        let mut blocks =
            (0..BLOCK_COUNT).map(|step| (start + offset % BLOCK_COUNT + step) % BLOCK_COUNT);
        let claimed = blocks.find_map(|block| {
            let first = FIRST_PORT + block * BLOCK_SIZE;
            let claim = TcpListener::bind((Ipv4Addr::LOCALHOST, first + Self::PORTS)).ok()?;
            Some(Self { first, _claim: claim })
        });
        claimed.expect("a block of ports is free; end test programs that were left running")
    }

    /// Returns the first port of the block.
    pub fn first(&self) -> u16 {
        self.first
    }
}
