//! The response to each error kind.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::fmt::Write;
use steer::ErrorKind;

#[test]
fn gives_each_error_kind_its_answer() {
    let mut table = String::new();
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let retry = answer.retry_after.map_or("-".to_owned(), |s| format!("{s} s"));
        writeln!(
            table,
            "{:<20} {} {:<8} {:<4} {kind}",
            kind.slug(),
            answer.status.as_u16(),
            answer.outcome.to_string(),
            retry
        )
        .unwrap();
    }
    insta::assert_snapshot!(table);
}
