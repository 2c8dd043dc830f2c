//! Blocks of ports are exclusive, and outside the ephemeral ports.

use sillbank_testing::ports::PortBlock;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, TcpListener};

/// Blocks that are claimed at the same time share no port.
#[test]
fn claimed_blocks_do_not_overlap() {
    let blocks: Vec<PortBlock> = (0..8).map(|_| PortBlock::claim()).collect();

    let ports: BTreeSet<u16> =
        blocks.iter().flat_map(|block| block.first()..block.first() + PortBlock::PORTS).collect();

    assert_eq!(ports.len(), 8 * usize::from(PortBlock::PORTS));
}

/// A program skips blocks that another program has claimed.
#[test]
fn a_block_claimed_by_another_program_is_skipped() {
    // Arrange: the next claim tries the block after this one, or one of the ten after it, because the
    // other tests of this program may claim nine blocks in the meantime.
    let claimed = PortBlock::claim();
    let claim_of = |first: u16| TcpListener::bind((Ipv4Addr::LOCALHOST, first + PortBlock::PORTS));
    let size = PortBlock::PORTS + 1;
    let following = (1..=10).map(|number| claimed.first() + number * size);
    let foreign_claims: Vec<TcpListener> =
        following.filter_map(|first| claim_of(first).ok()).collect();

    let next = PortBlock::claim();

    let is_foreign = |claim: &TcpListener| {
        claim.local_addr().is_ok_and(|at| at.port() == next.first() + PortBlock::PORTS)
    };
    assert!(!foreign_claims.iter().any(is_foreign), "{next:?} {foreign_claims:?}");
}

/// Blocks are below the system's ephemeral ports, which outgoing connections could take.
#[test]
fn ports_are_below_the_ephemeral_ports() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range")
        .expect("the system's range of ephemeral ports is readable");
    let lowest: u16 = range.split_whitespace().next().and_then(|b| b.parse().ok()).expect("a port");

    let block = PortBlock::claim();

    assert!(block.first() + PortBlock::PORTS < lowest, "{block:?} {range}");
}
