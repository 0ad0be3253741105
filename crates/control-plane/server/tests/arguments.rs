//! The lines and exit statuses for wrong command lines: scripts and operators rely on the bytes.
use std::process::Command;

fn assert_rejected(arguments: &[&str], line: &str) {
    let program = env!("CARGO_BIN_EXE_coppersail-control-plane");
    let output = Command::new(program).args(arguments).env_remove("COPPERSAIL_SETTINGS").output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    assert_eq!(
        String::from_utf8(output.stderr).unwrap(),
        format!("control-plane! {line}\n"),
        "{arguments:?}"
    );
    assert!(output.stdout.is_empty(), "{arguments:?}");
}

#[test]
fn wrong_arguments_and_settings_end_with_status_2_and_one_line() {
    assert_rejected(&["--inspect"], "--inspect: nothing, expected a folder");
    assert_rejected(
        &["--inspect", "/nowhere"],
        "--inspect: /nowhere, expected the data folder of a stopped centre",
    );
    assert_rejected(
        &["--inspect", "/tmp", "more"],
        r#"word: Ok(Some(Value("more"))), expected none after the folder"#,
    );
    assert_rejected(&["word"], r#"word: Ok(Some(Value("word"))), expected none, --inspect FOLDER or --help"#);
    assert_rejected(&[], "COPPERSAIL_SETTINGS is left out, expected the path of the settings file");
}
