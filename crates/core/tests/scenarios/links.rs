//! Simulated connections between daemons.

use std::collections::{BTreeMap, BTreeSet};

pub type HostName = String;

/// A connection from an entry to a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection {
    pub epoch: u64,
    /// Incarnation that the peer stated when the connection was opened.
    pub incarnation: u64,
    /// Whether packets are dropped silently, as by a middlebox that lost its state.
    pub blackholed: bool,
}

#[derive(Default)]
pub struct Links {
    connections: BTreeMap<(HostName, HostName), Connection>,
    partitions: BTreeSet<(HostName, HostName)>,
    next_epoch: u64,
}

impl Links {
    pub fn get(&self, from: &str, to: &str) -> Option<Connection> {
        self.connections
            .get(&(from.to_owned(), to.to_owned()))
            .copied()
    }

    pub fn open(&mut self, from: &str, to: &str, incarnation: u64) -> Connection {
        self.next_epoch += 1;
        let connection = Connection {
            epoch: self.next_epoch,
            incarnation,
            blackholed: false,
        };
        self.connections
            .insert((from.to_owned(), to.to_owned()), connection);
        connection
    }

    /// Closes the connection unless it was replaced since `epoch`.
    pub fn close(&mut self, from: &str, to: &str, epoch: u64) {
        if self.get(from, to).is_some_and(|c| c.epoch == epoch) {
            self.connections.remove(&(from.to_owned(), to.to_owned()));
        }
    }

    /// Closes the connections that a host opened.
    pub fn close_all(&mut self, name: &str) {
        self.connections.retain(|(from, _), _| from != name);
    }

    pub fn blackhole(&mut self, from: &str, to: &str) {
        if let Some(connection) = self.connections.get_mut(&(from.to_owned(), to.to_owned())) {
            connection.blackholed = true;
        }
    }

    pub fn partition(&mut self, a: &str, b: &str) {
        self.partitions.insert((a.to_owned(), b.to_owned()));
        self.partitions.insert((b.to_owned(), a.to_owned()));
    }

    pub fn heal(&mut self, a: &str, b: &str) {
        self.partitions.remove(&(a.to_owned(), b.to_owned()));
        self.partitions.remove(&(b.to_owned(), a.to_owned()));
    }

    pub fn is_partitioned(&self, a: &str, b: &str) -> bool {
        self.partitions.contains(&(a.to_owned(), b.to_owned()))
    }

    /// Whether a packet sent on this connection arrives.
    pub fn delivers(&self, from: &str, to: &str, epoch: u64) -> bool {
        let current = self.get(from, to).filter(|c| c.epoch == epoch);
        current.is_some_and(|c| !c.blackholed) && !self.is_partitioned(from, to)
    }
}
