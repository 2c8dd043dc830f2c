//! Rejects replayed datagrams, while accepting datagrams that arrive out of order.

use sillbank_core::prelude::*;
use sillbank_protocol::gossip::{Datagram, Incarnation};
use std::collections::{BTreeSet, HashMap};

/// How many sequence numbers a datagram may lag behind the newest one of its sender.
const REPLAY_WINDOW: u64 = 4096;

/// Datagrams received from one incarnation of a VM.
#[derive(Debug, Default)]
struct SenderWindow {
    incarnation: Incarnation,
    newest: u64,
    recent: BTreeSet<u64>,
}

/// The datagrams received from each VM.
#[derive(Debug, Default)]
pub(crate) struct ReplayFilter {
    windows: HashMap<VmId, SenderWindow>,
}

impl ReplayFilter {
    /// Records a datagram. Returns whether it is from the sender's newest incarnation and was not
    /// received before.
    pub(crate) fn accept(&mut self, datagram: &Datagram) -> bool {
        let window = self.windows.entry(datagram.from.vm.clone()).or_default();
        let (incarnation, sequence) = (datagram.from.incarnation, datagram.sequence);
        if incarnation < window.incarnation {
            return false;
        }
        if incarnation > window.incarnation {
            // A refutation continues the sequence; a new process starts it again.
            *window = SenderWindow { incarnation, ..SenderWindow::default() };
        }
        let oldest = window.newest.saturating_sub(REPLAY_WINDOW);
        if sequence <= oldest || !window.recent.insert(sequence) {
            return false;
        }
        window.newest = window.newest.max(sequence);
        let oldest = window.newest.saturating_sub(REPLAY_WINDOW);
        window.recent = window.recent.split_off(&oldest);
        true
    }
}
