//! Evaluates Jsonnet files to JSON. The depth of calls is limited, and imports are restricted to the file's
//! own folder. Limits of time and memory are up to the caller, which runs the evaluation in a process of its
//! own.

use jrsonnet_evaluator::manifest::JsonFormat;
use jrsonnet_evaluator::stack::set_stack_depth_limit;
use jrsonnet_evaluator::{bail, trace::PathResolver};
use jrsonnet_evaluator::{AsPathLike, Error, FileImportResolver, ImportResolver, Result, SourcePath, State};
use jrsonnet_gcmodule::Acyclic;
use std::path::{Path, PathBuf};

/// Limit of nested calls; deeper nesting is runaway recursion.
const MAX_CALL_DEPTH: usize = 200;

/// Resolves imports within one folder. Paths are checked after symbolic links are resolved, so no link leads
/// out of it.
#[derive(Acyclic)]
struct FolderImports {
    root: PathBuf,
    files: FileImportResolver,
}

impl FolderImports {
    fn within(&self, found: SourcePath) -> Result<SourcePath> {
        let canonical = found.path().and_then(|path| path.canonicalize().ok());
        match canonical {
            Some(canonical) if canonical.starts_with(&self.root) => Ok(found),
            _ => bail!("expected imports from the file's own folder, {found} is elsewhere"),
        }
    }
}

impl ImportResolver for FolderImports {
    fn resolve_from(&self, from: &SourcePath, path: &dyn AsPathLike) -> Result<SourcePath> {
        self.within(self.files.resolve_from(from, path)?)
    }
    fn resolve_from_default(&self, path: &dyn AsPathLike) -> Result<SourcePath> {
        self.within(self.files.resolve_from_default(path)?)
    }
    fn load_file_contents(&self, resolved: &SourcePath) -> Result<Vec<u8>> {
        self.files.load_file_contents(resolved)
    }
}

/// Why a file could not be evaluated. The message is one line with the file, the line if it is known, and the
/// cause.
#[derive(Debug, thiserror::Error)]
pub enum EvaluateError {
    /// The file does not exist or cannot be read.
    #[error("{}: the file: expected a file ({source})", path.display())]
    Unreadable {
        /// Path of the file, as given by the caller.
        path: PathBuf,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// The evaluator found an error.
    #[error(
        "{}{}: the file: expected a template that can be evaluated: {message}",
        path.display(),
        line.map(|line| format!(":{line}")).unwrap_or_default()
    )]
    Invalid {
        /// The file with the error: the given one, or one that it imports.
        path: PathBuf,
        /// Line of the error, from 1; `None` if the evaluator gives no location.
        line: Option<usize>,
        /// The evaluator's message, on one line.
        message: String,
    },
}

fn invalid(path: &Path, error: &Error) -> EvaluateError {
    let message = error.error().to_string().replace('\n', " ");
    let location = error.trace().0.iter().find_map(|element| element.location.as_ref());
    match location {
        Some(span) => {
            let file = span.0.source_path().path().map_or(path.to_path_buf(), Path::to_path_buf);
            let line = span.0.map_source_locations(&[span.1])[0].line;
            EvaluateError::Invalid { path: file, line: Some(line), message }
        }
        None => EvaluateError::Invalid { path: path.to_path_buf(), line: None, message },
    }
}

/// The JSON to which the file evaluates, on one line.
///
/// # Errors
/// [`EvaluateError`] if the file cannot be read or evaluated.
pub fn evaluate(path: &Path) -> std::result::Result<String, EvaluateError> {
    let unreadable = |source| EvaluateError::Unreadable { path: path.to_path_buf(), source };
    let canonical = path.canonicalize().map_err(unreadable)?;
    let root = canonical.parent().unwrap_or(Path::new("/")).to_path_buf();
    set_stack_depth_limit(MAX_CALL_DEPTH);
    let library = jrsonnet_stdlib::ContextInitializer::new(PathResolver::new_cwd_fallback());
    let mut builder = State::builder();
    builder
        .import_resolver(FolderImports { root, files: FileImportResolver::new(vec![]) })
        .context_initializer(library);
    let state = builder.build();
    let _entered = state.enter();
    let value = state.import(&*std::borrow::Cow::Borrowed(canonical.as_path()));
    let json = value.and_then(|value| value.manifest(JsonFormat::minify()));
    json.map_err(|error| invalid(path, &error))
}
