//! Tests the transfer of large objects between VMs, part by part.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use quickcheck::{Arbitrary, Gen};
use std::{fmt::Write, sync::Arc, time::Duration};
use steer::{
    CompletedTransfer, KindUpdate, LargeObject, ObjectBatch, ObjectCache, ObjectTransfers,
    RawObject, UpdateQuery, UpdateReply,
};
use tokio::time::{Instant, sleep};

const KIND: &str = "routes";
const MAX_AGE: Duration = Duration::from_secs(60);
const RUNS: u64 = 40;

/// A text of about this length, with characters of several bytes.
fn text(revision: u64, length: usize) -> String {
    let mut text = revision.to_string();
    while text.len() < length {
        text.push(char::from_u32(0x20 + (text.len() % 0x600) as u32).unwrap());
    }
    text
}

fn write(cache: &ObjectCache, revision: u64, name: &str, length: usize) {
    let text = text(revision, length).into();
    let object = RawObject { deleted: false, name: name.into(), text };
    cache.extend(KIND, revision - 1, ObjectBatch::new(vec![object], revision), Instant::now());
}

fn cache() -> Arc<ObjectCache> {
    let cache = ObjectCache::new();
    cache.replace(KIND, ObjectBatch::new(Vec::new(), 1), MAX_AGE, Instant::now());
    cache
}

fn query(cache: &ObjectCache) -> UpdateQuery {
    cache.query(Duration::ZERO)
}

/// Polls a delegate once, and requests the next part if one is pending.
async fn poll(own: &ObjectCache, transfers: &mut ObjectTransfers, delegate: &ObjectCache) {
    let query = query(own);
    own.apply_reply(&query, transfers.accept(&query, delegate.answer(&query).await));
    let Some(next) = transfers.next_part() else { return };
    let Some(part) = delegate.part(&next) else {
        transfers.discard(&next.kind);
        return;
    };
    assert!(part.len() <= LargeObject::PART_SIZE);
    if let Some(CompletedTransfer { kind, query, update, .. }) =
        transfers.add_part(&next, &part).unwrap()
    {
        own.apply_reply(&query, UpdateReply::from([(kind, update)]));
    }
}

#[tokio::test(start_paused = true)]
async fn objects_of_any_size_arrive_whole_from_delegates_that_fail_in_turn() {
    for seed in 0..RUNS {
        let mut g = Gen::from_size_and_seed(30, seed);
        let delegates = [cache(), cache()];
        let (own, mut transfers) = (cache(), ObjectTransfers::default());
        let mut revision = 1;
        for _ in 0..u8::arbitrary(&mut g) % 40 {
            if bool::arbitrary(&mut g) {
                revision += 1;
                let (name, length) = (u8::arbitrary(&mut g) % 3, u32::arbitrary(&mut g) % 300_000);
                for delegate in &delegates {
                    write(delegate, revision, &name.to_string(), length as usize);
                }
            }
            let delegate = &delegates[usize::from(bool::arbitrary(&mut g))];
            poll(&own, &mut transfers, delegate).await;
        }
        let mut polls = 0;
        while own.all(KIND) != delegates[0].all(KIND) {
            poll(&own, &mut transfers, &delegates[0]).await;
            polls += 1;
            assert!(polls < 40, "seed {seed}: not equal after {polls} polls");
        }
        assert!(transfers.is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn changes_that_come_faster_than_a_transfer_do_not_stop_it() {
    let delegate = cache();
    let (own, mut transfers) = (cache(), ObjectTransfers::default());
    let mut table = String::new();
    for revision in 2..62 {
        write(&delegate, revision, "main", 1_000_000);
        poll(&own, &mut transfers, &delegate).await;
        sleep(Duration::from_millis(50)).await;
        if revision % 10 == 1 {
            let known = own.query(Duration::ZERO).revisions[KIND];
            writeln!(table, "store at {revision}, known {known}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_text_that_does_not_match_its_digest_is_discarded() {
    let object = LargeObject::new("main".into(), "whole text");
    let cases = [
        ("other text of this length", vec!["whole ", "test"]),
        ("longer", vec!["whole ", "text and more"]),
        ("empty part", vec!["whole ", ""]),
        ("complete", vec!["whole ", "text"]),
    ];
    let mut table = String::new();
    for (name, parts) in cases {
        let mut transfers = ObjectTransfers::default();
        let large = vec![object.clone()];
        let update = KindUpdate { large, ..KindUpdate::default() };
        transfers.accept(&query(&cache()), UpdateReply::from([(KIND.into(), update)]));
        let results = parts.iter().map(|part| {
            let result = transfers.add_part(&transfers.next_part().unwrap(), part);
            result.map(|completed| completed.map(|transfer| transfer.bytes))
        });
        let results: Vec<_> = results.collect();
        writeln!(table, "{name}: {results:?}, pending {}", !transfers.is_empty()).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn an_object_beyond_the_maximum_size_is_not_requested() {
    let object = LargeObject { digest: 1, name: "main".into(), size: LargeObject::MAX_SIZE + 1 };
    let mut transfers = ObjectTransfers::default();
    let update = KindUpdate { large: vec![object], ..KindUpdate::default() };
    let reply = UpdateReply::from([(KIND.into(), update)]);
    assert!(transfers.accept(&query(&cache()), reply).is_empty());
    assert!(transfers.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_requests_no_parts_gets_whole_objects() {
    let delegate = cache();
    write(&delegate, 2, "main", 300_000);
    let query = UpdateQuery { parts: false, ..query(&cache()) };
    let reply = delegate.answer(&query).await;
    assert!(reply[KIND].large.is_empty());
    assert_eq!(reply[KIND].batch.objects.len(), 1);
}
