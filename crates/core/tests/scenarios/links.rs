//! Connections between daemons, as the transport behaves.

use std::collections::{BTreeMap, BTreeSet};

pub type Name = String;

/// A connection from an entry to a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection {
    pub epoch: u64,
    /// Incarnation that the other end greeted with.
    pub incarnation: u64,
    /// Something between the two ends has lost track of it.
    pub silent: bool,
}

#[derive(Default)]
pub struct Links {
    connections: BTreeMap<(Name, Name), Connection>,
    cuts: BTreeSet<(Name, Name)>,
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
            silent: false,
        };
        self.connections
            .insert((from.to_owned(), to.to_owned()), connection);
        connection
    }

    /// Closes the connection if it is still the one of this epoch.
    pub fn close(&mut self, from: &str, to: &str, epoch: u64) {
        if self.get(from, to).is_some_and(|c| c.epoch == epoch) {
            self.connections.remove(&(from.to_owned(), to.to_owned()));
        }
    }

    pub fn close_all(&mut self, name: &str) {
        self.connections.retain(|(from, _), _| from != name);
    }

    pub fn silence(&mut self, from: &str, to: &str) {
        if let Some(connection) = self.connections.get_mut(&(from.to_owned(), to.to_owned())) {
            connection.silent = true;
        }
    }

    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
        self.cuts.insert((b.to_owned(), a.to_owned()));
    }

    pub fn heal(&mut self, a: &str, b: &str) {
        self.cuts.remove(&(a.to_owned(), b.to_owned()));
        self.cuts.remove(&(b.to_owned(), a.to_owned()));
    }

    pub fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cuts.contains(&(a.to_owned(), b.to_owned()))
    }

    /// Whether a datagram on this connection arrives.
    pub fn carries(&self, from: &str, to: &str, epoch: u64) -> bool {
        let same = self.get(from, to).filter(|c| c.epoch == epoch);
        same.is_some_and(|c| !c.silent) && !self.is_cut(from, to)
    }
}
