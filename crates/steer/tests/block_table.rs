//! Compares the longest-prefix match with a naive search over all blocks.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use quickcheck::{Arbitrary, Gen};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use steer::{BlockTable, ClientBlock};

const CASES: u64 = 2_000;

/// Draws from a small part of the address space, so that blocks nest and contain the addresses.
fn arbitrary_address(g: &mut Gen, v6: bool) -> IpAddr {
    let low = u16::arbitrary(g);
    let high = *g.choose(&[0, 1, 0xfffe, 0xffff]).unwrap();
    if v6 {
        IpAddr::V6(Ipv6Addr::new(high, low, 0, 0, 0, 0, low, high))
    } else {
        IpAddr::V4(Ipv4Addr::from_bits((u32::from(high) << 16) | u32::from(low)))
    }
}

fn arbitrary_block(g: &mut Gen, v6: bool) -> ClientBlock {
    let bits = if v6 { 128 } else { 32 };
    let length = u8::arbitrary(g) % (bits + 1);
    let net = ipnet::IpNet::new(arbitrary_address(g, v6), length).unwrap().trunc();
    ClientBlock::from(net)
}

fn naive_find(blocks: &[(ClientBlock, u32)], address: IpAddr) -> Option<u32> {
    blocks
        .iter()
        .filter(|(block, _)| block.contains(address))
        .max_by_key(|(block, _)| block.network().prefix_len())
        .map(|(_, value)| *value)
}

#[test]
fn finds_the_longest_prefix_like_a_naive_search() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let mut blocks: Vec<(ClientBlock, u32)> = Vec::new();
        for value in 0..u32::arbitrary(&mut g) % 20 {
            let v6 = bool::arbitrary(&mut g);
            let block = arbitrary_block(&mut g, v6);
            if blocks.iter().all(|(other, _)| *other != block) {
                blocks.push((block, value % 4));
            }
        }
        let table = BlockTable::new(blocks.iter().copied());
        for _ in 0..20 {
            let v6 = bool::arbitrary(&mut g);
            let address = arbitrary_address(&mut g, v6);
            assert_eq!(
                table.find(address),
                naive_find(&blocks, address),
                "seed {seed}, address {address}, blocks {blocks:?}"
            );
        }
    }
}
