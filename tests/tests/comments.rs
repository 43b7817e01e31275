//! Checks that comments give reasons, and do not tell how a value was found.

use std::path::{Path, PathBuf};

/// The phrases of comments that tell how a value was tuned.
const TUNING_PHRASES: [&str; 10] = [
    "Measured:",
    "measured with",
    "Measured with",
    "Measured on",
    "Measured looks",
    "earned 0",
    "of the credit",
    "of their worth",
    "heavy days",
    "quiet days",
];

/// Collects all source files under a folder.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(folder).expect("the folder can be read");
    for entry in entries {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Returns the comments of a text that tell how a value was tuned, each with its line.
fn find_tuning(text: &str) -> Vec<(usize, &str)> {
    let lines = text.lines().enumerate();
    let comments = lines.filter_map(|(number, line)| Some((number + 1, line.split_once("//")?.1)));
    let names_seed = |comment: &str| {
        let mut words = comment.split_whitespace();
        let named = words.any(|word| word.trim_start_matches('(') == "seed");
        let number = words
            .next()
            .unwrap_or("")
            .trim_end_matches(&[')', ',', '.', ':'][..]);
        named && number.replace(',', "").parse::<u64>().is_ok()
    };
    let is_tuning = |comment: &str| {
        TUNING_PHRASES.iter().any(|phrase| comment.contains(phrase)) || names_seed(comment)
    };
    comments.filter(|(_, comment)| is_tuning(comment)).collect()
}

/// Guards against comments that tell how a value was tuned instead of what it is for.
#[test]
fn comments_tell_no_tuning() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    let packages = std::fs::read_dir(root.join("crates")).expect("the folder can be read");
    for package in packages {
        let source = package.expect("the entry can be read").path().join("src");
        collect_sources(&source, &mut files);
    }
    collect_sources(&root.join("platform/src"), &mut files);
    assert!(files.len() > 100, "{} files", files.len());
    for file in files {
        let text = std::fs::read_to_string(&file).expect("the file can be read");
        let found = find_tuning(&text);
        assert!(found.is_empty(), "{}: {found:?}", file.display());
    }
}

/// Guards against a check that overlooks such comments, or that takes other comments for them.
#[test]
fn tuning_found() {
    let text = "/// It is kept: ten heavy days earned 0.4.\nlet a = 1;\n// found by seed 12,345.\n// A seed of randomness.\n";
    let lines: Vec<usize> = find_tuning(text)
        .into_iter()
        .map(|(line, _)| line)
        .collect();
    assert_eq!(lines, vec![1, 3]);
}
