//! Longest-prefix match of client addresses.

use crate::ClientBlock;
use ipnet::IpNet;
use std::net::IpAddr;

/// Ranges of one address family: a value applies from its start up to the next start.
#[derive(Clone, Debug, Default)]
struct Ranges<A> {
    starts: Vec<A>,
    values: Vec<u32>,
}

impl<A: Copy + Ord> Ranges<A> {
    fn find(&self, address: A) -> Option<u32> {
        let after = self.starts.partition_point(|start| *start <= address);
        let value = self.values[after.checked_sub(1)?];
        (value != BlockTable::NONE).then_some(value)
    }

    fn push(&mut self, start: A, value: u32) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.values.pop();
        }
        if self.values.last() == Some(&value) {
            return;
        }
        self.starts.push(start);
        self.values.push(value);
    }

    /// Flattens nested blocks, sorted by start and then by prefix length, into ranges.
    fn build(blocks: &[(A, A, u32)], next: impl Fn(A) -> Option<A>) -> Self {
        let mut ranges = Self { starts: Vec::new(), values: Vec::new() };
        let mut open: Vec<(A, u32)> = Vec::new();
        for (first, last, value) in blocks {
            ranges.close(&mut open, Some(*first), &next);
            ranges.push(*first, *value);
            open.push((*last, *value));
        }
        ranges.close(&mut open, None, &next);
        ranges
    }

    /// Closes the open blocks that end before an address, or all without one; innermost first.
    fn close(
        &mut self,
        open: &mut Vec<(A, u32)>,
        before: Option<A>,
        next: impl Fn(A) -> Option<A>,
    ) {
        while let Some((last, _)) = open.last().copied()
            && before.is_none_or(|first| last < first)
        {
            open.pop();
            let outer = open.last().map_or(BlockTable::NONE, |(_, value)| *value);
            if let Some(start) = next(last) {
                self.push(start, outer);
            }
        }
    }
}

/// A compact map from client addresses to small numbers, by longest-prefix match.
///
/// Nested blocks are flattened into sorted ranges, so that a lookup is one binary search.
///
/// ```
/// use steer::BlockTable;
/// let blocks = [("10.0.0.0/8".parse().unwrap(), 1), ("10.1.0.0/16".parse().unwrap(), 2)];
/// let table = BlockTable::new(blocks);
/// assert_eq!(table.find("10.1.0.9".parse().unwrap()), Some(2));
/// assert_eq!(table.find("10.2.0.9".parse().unwrap()), Some(1));
/// assert_eq!(table.find("11.0.0.9".parse().unwrap()), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    v4: Ranges<u32>,
    v6: Ranges<u128>,
}

impl BlockTable {
    /// Value of the ranges that no block covers.
    const NONE: u32 = u32::MAX;

    /// Builds a table from blocks and their values.
    pub fn new(blocks: impl IntoIterator<Item = (ClientBlock, u32)>) -> Self {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for (block, value) in blocks {
            match block.network() {
                IpNet::V4(net) => {
                    v4.push((net.network().to_bits(), net.broadcast().to_bits(), value));
                }
                IpNet::V6(net) => {
                    v6.push((net.network().to_bits(), net.broadcast().to_bits(), value));
                }
            }
        }
        v4.sort_by_key(|(first, last, _)| (*first, u32::MAX - *last));
        v6.sort_by_key(|(first, last, _)| (*first, u128::MAX - *last));
        Self {
            v4: Ranges::build(&v4, |a| a.checked_add(1)),
            v6: Ranges::build(&v6, |a| a.checked_add(1)),
        }
    }

    /// Returns the value of the longest prefix that contains an address.
    pub fn find(&self, address: IpAddr) -> Option<u32> {
        match address {
            IpAddr::V4(v4) => self.v4.find(v4.to_bits()),
            IpAddr::V6(v6) => self.v6.find(v6.to_bits()),
        }
    }

    /// Returns the memory used by the ranges, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let value = size_of::<u32>();
        self.v4.starts.len() * (size_of::<u32>() + value)
            + self.v6.starts.len() * (size_of::<u128>() + value)
    }
}
