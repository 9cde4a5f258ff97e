//! Runs one case of the third review: `review-standins CASE ROOT FOLDER`, with `TROUBLE=0` or
//! `TROUBLE=1` in the environment. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod memory;
mod parts;
mod slow_readers;
mod support;

use std::path::PathBuf;

use parts::Variant;
use support::Record;
use support::Site;
use support::cannot_run;
use support::finish;
use support::guard_run;
use support::run_directory;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        cannot_run("usage: review-standins CASE ROOT FOLDER");
    };
    guard_run();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let directory = run_directory();
    if let Err(error) = std::fs::create_dir_all(&directory) {
        cannot_run(&format!("no temporary folder: {error}"));
    }
    let record = Record::create(&folder.join("record.txt"));
    record.note(format!("case {case}, trouble {trouble}"));
    let site = Site::create(&root, &directory, record.clone());
    let broken = match case.as_str() {
        "slow-readers" => slow_readers::run(site, trouble),
        "parts" => {
            let variant = Variant { shared_parts: 70, events_before_crash: 0 };
            parts::run(site, trouble, variant)
        }
        "begun" => {
            let variant = Variant { shared_parts: 3, events_before_crash: 1 };
            parts::run(site, trouble, variant)
        }
        "answers" => memory::run_answers(site, trouble),
        "chunks" => memory::run_chunks(site, trouble),
        _ => cannot_run("unknown case"),
    };
    let text = if broken { "the rule was broken" } else { "the rule held" };
    record.note(text);
    println!("{text}");
    finish(i32::from(broken));
}
