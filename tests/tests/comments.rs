//! What comments tell: guards and reasons, not how a value was found.

use std::path::{Path, PathBuf};

/// Words of a story of tuning.
const STORIES: [&str; 10] = [
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

/// All source files under a folder.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(folder).expect("the folder can be read");
    for entry in entries {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// The comments of a text that tell a story, each with its line.
fn stories(text: &str) -> Vec<(usize, &str)> {
    let lines = text.lines().enumerate();
    let comments = lines.filter_map(|(number, line)| Some((number + 1, line.split_once("//")?.1)));
    let seed = |comment: &str| {
        let mut words = comment.split_whitespace();
        let named = words.any(|word| word.trim_start_matches('(') == "seed");
        let number = words
            .next()
            .unwrap_or("")
            .trim_end_matches(&[')', ',', '.', ':'][..]);
        named && number.replace(',', "").parse::<u64>().is_ok()
    };
    let told = |comment: &str| STORIES.iter().any(|story| comment.contains(story)) || seed(comment);
    comments.filter(|(_, comment)| told(comment)).collect()
}

/// A newcomer reads in a comment what some play of some day earned, and not what the value is for.
#[test]
fn comments_tell_no_tuning() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    let packages = std::fs::read_dir(root.join("crates")).expect("the folder can be read");
    for package in packages {
        let source = package.expect("the entry can be read").path().join("src");
        sources(&source, &mut files);
    }
    sources(&root.join("platform/src"), &mut files);
    assert!(files.len() > 100, "{} files", files.len());
    for file in files {
        let text = std::fs::read_to_string(&file).expect("the file can be read");
        let found = stories(&text);
        assert!(found.is_empty(), "{}: {found:?}", file.display());
    }
}

/// The check finds what it is for.
#[test]
fn stories_found() {
    let text = "/// It is kept: ten heavy days earned 0.4.\nlet a = 1;\n// found by seed 12,345.\n// A seed of randomness.\n";
    let lines: Vec<usize> = stories(text).into_iter().map(|(line, _)| line).collect();
    assert_eq!(lines, vec![1, 3]);
}
