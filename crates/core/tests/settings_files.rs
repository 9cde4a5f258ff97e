//! Valid and invalid settings files.

use std::path::PathBuf;

use cuminpick::settings::AgentSettings;
use cuminpick::settings::EntrySettings;

const ENTRY_TOML: &str = "id = \"e1\"\nzone = \"bole\"\ncallers = \"127.0.0.1:8080\"\n\
    peers = \"127.0.0.1:8081\"\nadmin = \"127.0.0.1:8082\"\nplatform = \"http://127.0.0.1:7000\"\n";

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("settings-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn entry_error(name: &str, text: &str) -> String {
    let path = write_file(name, text);
    let error = EntrySettings::load(&path).unwrap_err().to_string();
    std::fs::remove_file(path).unwrap();
    error
}

#[test]
fn good_entry() {
    let path = write_file("good", ENTRY_TOML);
    let settings = EntrySettings::load(&path).unwrap();
    std::fs::remove_file(path).unwrap();
    assert_eq!(settings.zone, "bole");
    assert_eq!(settings.max_body_bytes, 1 << 20);
}

#[test]
fn bad_entries() {
    let unknown = entry_error("unknown", &format!("{ENTRY_TOML}weight = 3\n"));
    assert!(unknown.contains("line 7") && unknown.contains("weight"), "{unknown}");
    let name = entry_error("name", &ENTRY_TOML.replace("\"bole\"", "\"bo le\""));
    assert!(name.contains("line 2") && name.contains("zone must be"), "{name}");
    let url = entry_error("url", &ENTRY_TOML.replace("http://", ""));
    assert!(url.contains("line 6") && url.contains("http://"), "{url}");
    let missing = entry_error("missing", &ENTRY_TOML.replace("id = \"e1\"\n", ""));
    assert!(missing.contains("missing field `id`"), "{missing}");
    let zero = entry_error("zero", &format!("{ENTRY_TOML}max_connections = 0\n"));
    assert!(zero.contains("above 0"), "{zero}");
}

#[test]
fn no_file() {
    let error = EntrySettings::load(&PathBuf::from("/nowhere/e.toml")).unwrap_err().to_string();
    assert!(error.contains("give the path"), "{error}");
}

#[test]
fn agent_limits() {
    let text = "id = \"a\"\nzone = \"z\"\nservice = \"m\"\nbackend = \"http://127.0.0.1:1\"\n\
        peers = \"127.0.0.1:2\"\nadmin = \"127.0.0.1:3\"\nplatform = \"http://127.0.0.1:4\"\n\
        cold_floor = 9\nceiling = 8\n";
    let path = write_file("agent", text);
    let error = AgentSettings::load(&path).unwrap_err().to_string();
    std::fs::remove_file(path).unwrap();
    assert!(error.contains("line 9") && error.contains("at least cold_floor"), "{error}");
}
