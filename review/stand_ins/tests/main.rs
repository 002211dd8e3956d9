//! Runs one case of the review: `review-stand-ins CASE FOLDER`, from the repository's root.

mod fleet;
mod message;
mod planned_stop;
mod poison;
mod record;
mod silent_watch;
mod store;
mod target;

use record::Record;
use std::{env, path::Path, process::exit, sync::Arc};

/// Exit code if the rule was broken.
const BROKEN: i32 = 1;
/// Exit code if the case could not run.
const NOT_RUN: i32 = 2;

fn main() {
    let mut words = env::args().skip(1);
    let (case, folder) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new());
    let result = match case.as_str() {
        "planned-stop" => planned_stop::run(trouble, &record),
        "poison" => poison::run(trouble, &record),
        "silent-watch" => silent_watch::run(trouble, &record),
        _ => {
            eprintln!("unknown case {case:?}");
            exit(NOT_RUN);
        }
    };
    let written = record.write(&Path::new(&folder).join("record.txt"));
    match (result, written) {
        (Ok(broken), Ok(())) if broken.is_empty() => println!("the rule held"),
        (Ok(broken), Ok(())) => {
            broken.iter().for_each(|line| println!("broken: {line}"));
            exit(BROKEN);
        }
        (Err(error), _) | (_, Err(error)) => {
            eprintln!("the case could not run: {error}");
            exit(NOT_RUN);
        }
    }
}
