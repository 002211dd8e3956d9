//! Tests route lookup and weighted splits.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use quickcheck::{Arbitrary, Gen};
use std::fmt::Write;
use steer::{Route, RouteTable, ServiceSplit};

const HOSTS: [&str; 2] = ["a.example", "b.example"];
const PARTS: [&str; 4] = ["x", "y", "xy", "z"];
const CASES: usize = 400;

fn path(g: &mut Gen, slash: bool) -> String {
    let mut path = "/".to_owned();
    for _ in 0..usize::arbitrary(g) % 4 {
        path += g.choose(&PARTS).unwrap();
        path.push('/');
    }
    if !slash && bool::arbitrary(g) {
        path += g.choose(&PARTS).unwrap();
    }
    path
}

/// Finds the longest matching prefix by linear search.
fn linear_search<'a>(routes: &'a [(String, String)], host: &str, path: &str) -> Option<&'a str> {
    let fits = routes.iter().filter(|(h, prefix)| h == host && path.starts_with(prefix.as_str()));
    fits.max_by_key(|(_, prefix)| prefix.len()).map(|(_, prefix)| prefix.as_str())
}

#[test]
fn finds_the_same_route_as_trying_all_prefixes() {
    for seed in 0..CASES as u64 {
        let g = &mut Gen::from_size_and_seed(20, seed);
        let count = usize::arbitrary(g) % 8;
        let routes: Vec<_> =
            (0..count).map(|_| ((*g.choose(&HOSTS).unwrap()).to_owned(), path(g, true))).collect();
        let table = routes.iter().fold(RouteTable::new(1), |table, (host, prefix)| {
            table.route(Route::new("r", host, prefix, "s"))
        });
        let (host, request_path) = (*g.choose(&HOSTS).unwrap(), path(g, false));
        let found = table.find(host, &request_path).map(|route| &*route.prefix);
        assert_eq!(
            found,
            linear_search(&routes, host, &request_path),
            "seed {seed}: {request_path} of {routes:?}"
        );
    }
}

#[test]
fn splits_by_weight_over_a_few_hundred_requests() {
    let cases: [&[(&str, f64)]; 4] = [
        &[("a", 1.0)],
        &[("a", 90.0), ("b", 10.0)],
        &[("a", 0.0), ("b", 5.0)],
        &[("a", 1.0), ("b", 1.0), ("c", 2.0)],
    ];
    let mut table = String::new();
    for parts in cases {
        let split = ServiceSplit::new(parts.iter().map(|(name, weight)| ((*name).into(), *weight)));
        let chosen: Vec<String> = (0..300).map(|_| split.choose().to_string()).collect();
        write!(table, "{parts:?}:").unwrap();
        let total: f64 = parts.iter().map(|(_, weight)| weight).sum();
        for (name, weight) in parts {
            let actual = chosen.iter().filter(|chosen| chosen == name).count();
            let expected = 300.0 * weight / total;
            let is_close = (actual as f64 - expected).abs() <= 3.0;
            write!(table, " {name} {}", if is_close { "within 3 of its share" } else { "OFF" })
                .unwrap();
        }
        table.push('\n');
    }
    insta::assert_snapshot!(table);
}
