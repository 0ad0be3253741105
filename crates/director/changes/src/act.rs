//! What the change log wants done, and what it has to know of the change analysis.

use crate::change::Version;
use crate::record::Record;
use coppersail_operator_config::Document;

/// An effect that the caller carries out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeEffect {
    /// Append the record to the log's file. Of [`Record::Accepted`] the result is to be reported, by
    /// [`crate::ChangeLog::record_written`] or [`crate::ChangeLog::write_failed`].
    Write(Record),
    /// The director uses this document from now on. When the proxies have what comes of it,
    /// [`crate::ChangeLog::document_applied`] is to be called.
    ApplyDocument {
        /// The change because of which the document is replaced.
        by: Version,
        /// All fields in force.
        document: Document,
    },
    /// Start the analysis of the change's effect.
    StartAnalysis(Version),
    /// End it.
    EndAnalysis(Version),
    /// The change is suspended: the analysis is to observe whether service recovers without it.
    SuspendAnalysis(Version),
    /// The change is in force again, for its second trial.
    ResumeAnalysis(Version),
    /// Write a line to the program's log.
    Log {
        /// The change that it is about, if any.
        about: Option<Version>,
        /// One line.
        text: String,
    },
}

/// State of the change analysis.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnalysisState {
    /// It has enough reports of the time before to compare with.
    pub has_baseline: bool,
    /// It has enough reports of this change's trial.
    pub has_reports: bool,
    /// Service has recovered without this change, which is set aside.
    pub has_recovered: bool,
}
