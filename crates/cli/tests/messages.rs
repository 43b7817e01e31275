//! Messages of commands that fail.

use std::process::Command;

/// Returns what a command writes to its standard error.
fn errors(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_snipemast"))
        .args(args)
        .output()
        .expect("the command runs");
    assert!(!output.status.success(), "{args:?}");
    String::from_utf8(output.stderr).expect("the text is UTF-8")
}

/// Guards against a message about a file that leaves out why it can't be used, or which file it is.
#[test]
fn file_and_reason_named() {
    let text = errors(&["patch", "/nowhere/patch.toml"]);
    let expected = "snipemast: /nowhere/patch.toml can't be read: No such file";
    assert!(text.starts_with(expected), "{text}");
    let folder = std::env::temp_dir().join(format!("messages-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let file = folder.join("decisions.toml");
    std::fs::write(&file, "nothing = 1\n").expect("the file is written");
    let text = errors(&["gateway", "--decisions", &file.display().to_string()]);
    let expected = format!("snipemast: {}:\nline 1: nothing: ", file.display());
    assert!(text.starts_with(&expected), "{text}");
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}
