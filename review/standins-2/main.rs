//! Stand-ins for callers, servers and the platform, and the cases of the review.
//!
//! The first argument names the case, the second its folder. The exit status is 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod base;
mod crashing_request;
mod deadly_part;
mod foreign_entry;
mod foreign_server;
mod large_bodies;
mod other_version;
mod paused_caller;
mod plain;
mod reborn_engine;
mod slow_caller;
mod store;
mod streams;
mod unread_body;

use std::path::Path;
use std::time::Duration;

use crate::base::Record;

/// What a case found.
pub struct Verdict {
    /// Whether the rule was broken.
    pub is_broken: bool,
    /// What was counted.
    pub summary: String,
}

/// Time after which a case is given up; the processes under test end with this one.
const TIME_LIMIT: Duration = Duration::from_secs(116);

fn main() {
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        println!("could not run: it took longer than {} s", TIME_LIMIT.as_secs());
        std::process::exit(2);
    });
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    if case == "engine" {
        let error = reborn_engine::run_engine(folder).err().map(|error| error.to_string());
        println!("the engine could not run: {}", error.unwrap_or_default());
        std::process::exit(2);
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let work = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    let outcome = run(case, Path::new(folder), &work, has_trouble);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    }
    match outcome {
        Ok(verdict) => {
            println!("{}: {}", if verdict.is_broken { "broken" } else { "held" }, verdict.summary);
            std::process::exit(i32::from(verdict.is_broken));
        }
        Err(error) => {
            println!("could not run: {error}");
            std::process::exit(2);
        }
    }
}

fn run(case: &str, folder: &Path, work: &Path, has_trouble: bool) -> Result<Verdict, String> {
    std::fs::create_dir_all(work).map_err(|error| error.to_string())?;
    let record = Record::create(folder).map_err(|error| error.to_string())?;
    record.note(&format!("case {case}, trouble {has_trouble}"));
    let verdict = match case {
        "foreign-entry" => foreign_entry::run(&record, work, has_trouble),
        "foreign-server" => foreign_server::run(&record, work, has_trouble),
        "deadly-part" => deadly_part::run(&record, work, has_trouble),
        "crashing-request" => crashing_request::run(&record, work, has_trouble),
        "other-version" => other_version::run(&record, work, has_trouble),
        "reborn-engine" => reborn_engine::run(&record, work, has_trouble),
        "reborn-behind-cut" => reborn_engine::run_behind_cut(&record, work, has_trouble),
        "large-bodies" => large_bodies::run(&record, work, has_trouble),
        "unread-body" => unread_body::run(&record, work, has_trouble),
        "paused-caller" => paused_caller::run(&record, work, has_trouble),
        "slow-caller" => slow_caller::run(&record, work, has_trouble),
        _ => Err(format!("no case {case}")),
    }?;
    let word = if verdict.is_broken { "broken" } else { "held" };
    record.note(&format!("verdict: {word}: {}", verdict.summary));
    Ok(verdict)
}
