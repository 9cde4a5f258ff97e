//! No decision depends on the name of a deployment: the sources contain none.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Names of deployments, their zones, services and classes.
const NAMES: [&str; 16] = [
    "magnolia",
    "endcap",
    "hafnar",
    "gulf-",
    "kazanchis",
    "merkato",
    "reykjanes",
    "drafting-llm",
    "dispatch-app",
    "shelfwriter",
    "capbook",
    "deigvit",
    "pantanir",
    "survey-draft",
    "header-copy",
    "shop-note",
];

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

#[test]
fn absent_from_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    for package in ["core", "gateway", "rank-agent", "objects", "operators"] {
        source_files(&root.join("crates").join(package).join("src"), &mut files);
    }
    source_files(&root.join("platform/src"), &mut files);
    assert!(files.len() > 50, "{} files", files.len());
    for file in files {
        let text = fs::read_to_string(&file).unwrap().to_lowercase();
        let found = NAMES.iter().find(|name| text.contains(**name));
        assert_eq!(found, None, "{} names a deployment", file.display());
    }
}
