//! The words of a command line: positional ones, and the option that says whom to call.
use lexopt::{Arg, Parser};

#[derive(Debug, Default)]
pub(crate) struct Arguments {
    pub(crate) positional: Vec<String>,
    /// The value of the option, the last one if it is given twice.
    pub(crate) address: Option<String>,
}

impl Arguments {
    /// Reads words whose only option is `address_option` (without dashes). Fails with the first unknown option.
    pub(crate) fn parse(words: &[String], address_option: &str) -> Result<Arguments, lexopt::Error> {
        let mut arguments = Arguments::default();
        let mut parser = Parser::from_args(words);
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long(name) if name == address_option => {
                    arguments.address = Some(parser.value()?.to_string_lossy().into_owned());
                }
                Arg::Value(word) => arguments.positional.push(word.to_string_lossy().into_owned()),
                other => return Err(other.unexpected()),
            }
        }
        Ok(arguments)
    }

    /// The positional words, to be matched.
    pub(crate) fn words(&self) -> Vec<&str> {
        self.positional.iter().map(String::as_str).collect()
    }
}
