//! The effects that the change log requests, and the state of the change analysis that it needs.

use crate::change::Version;
use crate::record::Record;
use coppersail_operator_config::Document;

/// An effect for the caller to carry out, in the given order.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeEffect {
    /// Append the record to the log's file. The result of a [`Record::Accepted`] must be reported, with
    /// [`crate::ChangeLog::record_written`] or [`crate::ChangeLog::write_failed`].
    Write(Record),
    /// The director uses this document from now on. When the proxies have applied the resulting assignments,
    /// [`crate::ChangeLog::document_applied`] must be called.
    ApplyDocument {
        /// The change because of which the document is replaced.
        by: Version,
        /// All fields in force.
        document: Document,
    },
    /// Start the analysis of the change's effect.
    StartAnalysis(Version),
    /// End the analysis of the change.
    EndAnalysis(Version),
    /// The change is suspended: the analysis checks whether service recovers without it.
    SuspendAnalysis(Version),
    /// The change is in force again, for its second trial.
    ResumeAnalysis(Version),
    /// Write a line to the director's log.
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
    /// It has enough reports from before the change to compare with.
    pub has_baseline: bool,
    /// It has enough reports of this change's trial.
    pub has_reports: bool,
    /// Service has recovered without this change, which is suspended.
    pub has_recovered: bool,
}
