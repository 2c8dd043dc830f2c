//! Ports of tests: nobody else's.

use sillbank_testing::ports::PortBlock;
use std::collections::BTreeSet;

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
    let mut kept = Vec::new();
    let mut firsts = BTreeSet::new();
    // More claims than a round over half of the blocks come to blocks that are taken.
    for _ in 0..40 {
        let block = PortBlock::claim();
        assert!(firsts.insert(block.first()), "{} was given twice", block.first());
        kept.push(block);
    }
}

#[test]
fn ports_are_never_given_to_outgoing_connections() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range")
        .expect("the system tells its range");
    let lowest: u16 = range.split_whitespace().next().and_then(|b| b.parse().ok()).expect("a port");

    let block = PortBlock::claim();

    assert!(block.first() + PortBlock::PORTS < lowest, "{block:?} {range}");
}
