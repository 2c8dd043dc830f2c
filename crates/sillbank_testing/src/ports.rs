//! Ports for servers that a test starts, which no other test program that runs is given.
//!
//! A server is started after its port was chosen, so another program could take it in between, or reach the
//! wrong server. So ports come in blocks, and a program claims a block by listening on its last port.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of the first block: above those of usual services, and all blocks lie below the ports that the
/// system gives to outgoing connections (32,768 and up).
const FIRST_PORT: u16 = 12_000;
/// Blocks: more than test programs and their fleets that run at a time.
const BLOCKS: u16 = 100;
/// Ports from one block to the next.
const BLOCK_SIZE: u16 = 200;

/// A block of ports that is this program's for as long as it is kept.
#[derive(Debug)]
pub struct PortBlock {
    first: u16,
    /// Listens on the last port, which tells other programs that the block is taken.
    _claim: TcpListener,
}

impl PortBlock {
    /// Ports of a block that may be used.
    pub const PORTS: u16 = BLOCK_SIZE - 1;

    /// A block that no other program, and nobody else in this one, has claimed.
    ///
    /// # Panics
    /// If all blocks are taken.
    pub fn claim() -> Self {
        static CLAIMS: AtomicU16 = AtomicU16::new(0);
        // Programs begin at different blocks, so that one seldom gets those of another that has just ended.
        let begin = (std::process::id() as u16).wrapping_mul(7) % BLOCKS;
        let offset = CLAIMS.fetch_add(1, Ordering::Relaxed);
        let mut blocks = (0..BLOCKS).map(|tried| (begin + offset % BLOCKS + tried) % BLOCKS);
        let claimed = blocks.find_map(|block| {
            let first = FIRST_PORT + block * BLOCK_SIZE;
            let claim = TcpListener::bind((Ipv4Addr::LOCALHOST, first + Self::PORTS)).ok()?;
            Some(Self { first, _claim: claim })
        });
        claimed.expect("a block of ports is free; end test programs that were left running")
    }

    /// The first port.
    pub fn first(&self) -> u16 {
        self.first
    }
}
