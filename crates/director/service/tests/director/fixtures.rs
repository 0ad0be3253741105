//! Messages and files that several tests use.

/// A report of attempts at the host s-1.
pub(crate) const ATTEMPTS_REPORT: &str = r#"{"msg":"outcomes","az":"a","host":"s-1","n":5,"bad":0,"avg":40.0,"window":1000.0,"report":{"q":1.0,"lat_ms":30.0}}"#;

/// An operators' file without a history: changes are lost when the director exits.
pub(crate) const OPERATOR_FILE: &str =
    r#"{"form":1,"changes":{"trial":5},"control":{"socket":"DIR/control.sock"}}"#;

/// An operators' file with a history on disk.
pub(crate) const DURABLE_FILE: &str =
    r#"{"form":1,"changes":{"trial":5,"history":"DIR/changes.log"},"control":{"socket":"DIR/control.sock"}}"#;

/// An operators' file that switches the capacity guard on.
pub(crate) const GUARDED_FILE: &str =
    r#"{"form":1,"guard":{"mode":"on"},"changes":{"trial":5},"control":{"socket":"DIR/control.sock"}}"#;
