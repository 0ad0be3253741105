//! What the change log wants done, and what it has to know of the change analysis.

use crate::change::Version;
use crate::record::Record;
use coppersail_operator_config::Document;

/// An effect that the caller carries out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Append the record to the log's file. Of [`Record::Accepted`] the result is to be reported, by
    /// [`crate::Book::written`] or [`crate::Book::unwritten`].
    Write(Record),
    /// The director uses this document from now on. When the proxies have what comes of it,
    /// [`crate::Book::settled`] is to be called.
    Give {
        /// The change because of which the document is replaced.
        by: Version,
        /// All fields in force.
        document: Document,
    },
    /// Start the analysis of the change's effect.
    Watch(Version),
    /// End it.
    Unwatch(Version),
    /// The change is suspended: the analysis is to observe whether service recovers without it.
    SetAside(Version),
    /// The change is in force again, for its second trial.
    Resume(Version),
    /// Write a line to the program's log.
    Say {
        /// The change that it is about, if any.
        about: Option<Version>,
        /// One line.
        text: String,
    },
}

/// State of the change analysis.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// It has enough reports of the time before to compare with.
    pub baseline: bool,
    /// It has enough reports of this change's trial.
    pub heard: bool,
    /// Service has recovered without this change, which is set aside.
    pub calm: bool,
}
