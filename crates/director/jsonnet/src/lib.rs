//! Evaluates Jsonnet files to JSON, with a bound on the depth of calls and imports from the file's own folder alone.
//! Bounds of time and memory are set by whoever starts the process that evaluates.

use jrsonnet_evaluator::manifest::JsonFormat;
use jrsonnet_evaluator::stack::set_stack_depth_limit;
use jrsonnet_evaluator::{bail, trace::PathResolver};
use jrsonnet_evaluator::{AsPathLike, Error, FileImportResolver, ImportResolver, Result, SourcePath, State};
use jrsonnet_gcmodule::Acyclic;
use std::path::{Path, PathBuf};

/// Calls in calls; deeper is a runaway recursion.
const MAX_DEPTH: usize = 200;

/// Resolves imports within one folder: a path is judged after links are followed, so none leads out.
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

/// Why a file could not be evaluated, as one line: file, line where it is known, cause.
#[derive(Debug, thiserror::Error)]
pub enum EvaluateError {
    /// There is no such file, or it cannot be read.
    #[error("{}: the file: expected a file ({source})", path.display())]
    Unreadable {
        /// As it was given.
        path: PathBuf,
        /// What the operating system answered.
        source: std::io::Error,
    },
    /// The evaluator found a mistake.
    #[error(
        "{}{}: the file: expected a template that can be evaluated: {message}",
        path.display(),
        line.map(|line| format!(":{line}")).unwrap_or_default()
    )]
    Invalid {
        /// The file with the mistake: the one given, or one that it imports.
        path: PathBuf,
        /// Counted from 1; none where the evaluator names no place.
        line: Option<usize>,
        /// The evaluator's words, on one line.
        message: String,
    },
}

fn invalid(path: &Path, error: &Error) -> EvaluateError {
    let message = error.error().to_string().replace('\n', " ");
    let location = error.trace().0.iter().find_map(|element| element.location.as_ref());
    match location {
        Some(window) => {
            let file = window.0.source_path().path().map_or(path.to_path_buf(), Path::to_path_buf);
            let line = window.0.map_source_locations(&[window.1])[0].line;
            EvaluateError::Invalid { path: file, line: Some(line), message }
        }
        None => EvaluateError::Invalid { path: path.to_path_buf(), line: None, message },
    }
}

/// The JSON to which the file evaluates, on one line.
///
/// # Errors
/// [`EvaluateError`]: the file cannot be read, or is no sound template.
pub fn evaluate(path: &Path) -> std::result::Result<String, EvaluateError> {
    let unreadable = |source| EvaluateError::Unreadable { path: path.to_path_buf(), source };
    let canonical = path.canonicalize().map_err(unreadable)?;
    let root = canonical.parent().unwrap_or(Path::new("/")).to_path_buf();
    set_stack_depth_limit(MAX_DEPTH);
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
