//! Tells new datagrams from replays, also when they overtake each other on the way.

use sillbank_core::prelude::*;
use sillbank_protocol::gossip::{Datagram, Incarnation};
use std::collections::{BTreeSet, HashMap};

/// How far behind the newest a datagram may come.
const WINDOW: u64 = 4096;

/// What was heard of one life of a VM.
#[derive(Debug, Default)]
struct Life {
    incarnation: Incarnation,
    newest: u64,
    recent: BTreeSet<u64>,
}

/// What was heard of each VM.
#[derive(Debug, Default)]
pub(crate) struct Replays {
    lives: HashMap<VmId, Life>,
}

impl Replays {
    /// Whether a datagram is of the newest life and was not heard before; notes it.
    pub(crate) fn is_new(&mut self, datagram: &Datagram) -> bool {
        let life = self.lives.entry(datagram.from.vm.clone()).or_default();
        let (incarnation, sequence) = (datagram.from.incarnation, datagram.sequence);
        if incarnation < life.incarnation {
            return false;
        }
        if incarnation > life.incarnation {
            // A refutation goes on with the same sequence; a new process begins again.
            *life = Life { incarnation, ..Life::default() };
        }
        let oldest = life.newest.saturating_sub(WINDOW);
        if sequence <= oldest || !life.recent.insert(sequence) {
            return false;
        }
        life.newest = life.newest.max(sequence);
        let oldest = life.newest.saturating_sub(WINDOW);
        life.recent = life.recent.split_off(&oldest);
        true
    }
}
