//! Cases of the independent review. Usage: `review CASE FOLDER ROOT TROUBLE`; TROUBLE is 0 to leave
//! out the disruption, else 1.
//!
//! Starts the project's programs with the commands of the deploy file, and the stand-ins of the
//! clients, the engines and the platform's store in this process.

mod base;
mod cases;
mod group;
mod plain;
mod store;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    if words[1] == "stream-engine" {
        return cases::stream_engine(&words[2], &words[3]);
    }
    let trouble = match words.get(4).map(String::as_str) {
        Some("0") => false,
        Some("1") => true,
        _ => {
            eprintln!("TROUBLE has to be 0 or 1");
            std::process::exit(2)
        }
    };
    let folder = std::path::PathBuf::from(&words[2]);
    let root = std::path::PathBuf::from(&words[3]);
    let record = base::Record::create(&folder.join("record.txt"));
    let work =
        std::env::temp_dir().join(base::fresh_id(&format!("review-{}-", std::process::id())));
    std::fs::create_dir_all(&work).expect("a temporary folder");
    let run = cases::Run { record: record.clone(), root, work: work.clone(), trouble };
    let held = match words[1].as_str() {
        "foreign-group" => cases::foreign_group(&run),
        "unreadable-entry" => cases::unreadable_entry(&run),
        "cut-watches" => cases::cut_watches(&run),
        "unframed-crash" => cases::unframed_crash(&run),
        "stale-base" => cases::stale_base(&run),
        _ => {
            eprintln!("no such case");
            std::process::exit(2)
        }
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    }
    let (code, text) = match held {
        Ok(None) => (0, "the rule held".to_string()),
        Ok(Some(broken)) => (1, format!("the rule was broken: {broken}")),
        Err(reason) => (2, format!("the case couldn't run: {reason}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
