//! Templates: a Jsonnet file becomes JSON, with a bound on depth and no file from outside its folder. Bounds of time
//! and memory are set by who starts this process.

use jrsonnet_evaluator::manifest::JsonFormat;
use jrsonnet_evaluator::stack::set_stack_depth_limit;
use jrsonnet_evaluator::{bail, trace::PathResolver};
use jrsonnet_evaluator::{AsPathLike, Error, FileImportResolver, ImportResolver, Result, SourcePath, State};
use jrsonnet_gcmodule::Acyclic;
use std::path::{Path, PathBuf};

/// Deeper than any honest template calls itself.
const DEPTH_MOST: usize = 200;

/// Finds files beside the first one and below it alone, wherever links lead.
#[derive(Acyclic)]
struct Folder {
    root: PathBuf,
    files: FileImportResolver,
}

impl Folder {
    fn within(&self, found: SourcePath) -> Result<SourcePath> {
        let real = found.path().and_then(|path| path.canonicalize().ok());
        match real {
            Some(real) if real.starts_with(&self.root) => Ok(found),
            _ => bail!("expected imports from the file's own folder, {found} is elsewhere"),
        }
    }
}

impl ImportResolver for Folder {
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

/// One line: file, line, what is wrong.
fn said(path: &Path, wrong: &Error) -> String {
    let place = wrong.trace().0.iter().find_map(|element| element.location.as_ref());
    let (file, line) = match place {
        Some(span) => {
            let file = span.0.source_path().path().map_or(path.to_path_buf(), Path::to_path_buf);
            (file, format!(":{}", span.0.map_source_locations(&[span.1])[0].line))
        }
        None => (path.to_path_buf(), String::new()),
    };
    let what = wrong.error().to_string().replace('\n', " ");
    format!("{}{line}: the file: expected a template that can be evaluated: {what}", file.display())
}

/// What the file evaluates to.
pub fn evaluate(path: &Path) -> std::result::Result<String, String> {
    let fault = |wrong: std::io::Error| format!("{}: the file: expected a file ({wrong})", path.display());
    let real = path.canonicalize().map_err(fault)?;
    let root = real.parent().unwrap_or(Path::new("/")).to_path_buf();
    set_stack_depth_limit(DEPTH_MOST);
    let library = jrsonnet_stdlib::ContextInitializer::new(PathResolver::new_cwd_fallback());
    let mut builder = State::builder();
    builder
        .import_resolver(Folder { root, files: FileImportResolver::new(vec![]) })
        .context_initializer(library);
    let state = builder.build();
    let _entered = state.enter();
    let value = state.import(&*std::borrow::Cow::Borrowed(real.as_path()));
    let json = value.and_then(|value| value.manifest(JsonFormat::minify()));
    json.map_err(|wrong| said(path, &wrong))
}
