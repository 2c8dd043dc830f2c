//! Ports of tests: nobody else's.

use sillbank_testing::ports::PortBlock;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, TcpListener};

#[test]
fn blocks_that_are_kept_do_not_overlap() {
    let blocks: Vec<PortBlock> = (0..8).map(|_| PortBlock::claim()).collect();

    let ports: BTreeSet<u16> =
        blocks.iter().flat_map(|block| block.first()..block.first() + PortBlock::PORTS).collect();

    assert_eq!(ports.len(), 8 * usize::from(PortBlock::PORTS));
}

/// A program to which chance gives the block of another takes the next one.
#[test]
fn a_block_that_another_program_has_claimed_is_left_to_it() {
    // Arrange: whoever claims next comes to the block after this one, or, as the tests of this program that run
    // beside it claim nine, to one of the ten after it.
    let own = PortBlock::claim();
    let claim_of = |first: u16| TcpListener::bind((Ipv4Addr::LOCALHOST, first + PortBlock::PORTS));
    let size = PortBlock::PORTS + 1;
    let following = (1..=10).map(|number| own.first() + number * size);
    let of_others: Vec<TcpListener> = following.filter_map(|first| claim_of(first).ok()).collect();

    let next = PortBlock::claim();

    let is_theirs = |claim: &TcpListener| {
        claim.local_addr().is_ok_and(|at| at.port() == next.first() + PortBlock::PORTS)
    };
    assert!(!of_others.iter().any(is_theirs), "{next:?} {of_others:?}");
}

#[test]
fn ports_are_never_given_to_outgoing_connections() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range")
        .expect("the system tells its range");
    let lowest: u16 = range.split_whitespace().next().and_then(|b| b.parse().ok()).expect("a port");

    let block = PortBlock::claim();

    assert!(block.first() + PortBlock::PORTS < lowest, "{block:?} {range}");
}
