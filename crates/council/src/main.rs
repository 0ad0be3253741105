//! `council`: the program of a centre. Settings: the file that COPPERSAIL_SETTINGS names.
use slog::{Drain, Level, Never, OwnedKVList, Record};
use std::process::exit;

mod inspect;

/// One line a fact, on standard error, with the prefix of this part.
struct Lines;

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _values: &OwnedKVList) -> Result<(), Never> {
        let mark = if record.level().is_at_least(Level::Warning) { "council! " } else { "council: " };
        eprintln!("{mark}{}", record.msg());
        Ok(())
    }
}

fn main() {
    let mut words = lexopt::Parser::from_env();
    match words.next() {
        Ok(None) => {}
        Ok(Some(lexopt::Arg::Long("help"))) => {
            println!("council: a centre of the gateway. COPPERSAIL_SETTINGS names its settings file.");
            println!("council --inspect FOLDER: what the data folder of a stopped centre holds; 0 if it is whole, else 1.");
            return;
        }
        Ok(Some(lexopt::Arg::Long("inspect"))) => match (words.value(), words.next()) {
            (Ok(folder), Ok(None)) => exit(inspect::run(folder.as_ref())),
            (Err(_), _) => {
                eprintln!("council! --inspect: nothing, expected a folder");
                exit(2);
            }
            (_, other) => {
                eprintln!("council! word: {other:?}, expected none after the folder");
                exit(2);
            }
        },
        other => {
            eprintln!("council! word: {other:?}, expected none, --inspect FOLDER or --help");
            exit(2);
        }
    }
    let boot = terms::Boot::read().unwrap_or_else(|fault| {
        eprintln!("council! {fault}");
        exit(2)
    });
    // Nothing is mended by going on without one of the threads.
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        hook(info);
        exit(101)
    }));
    let log = slog::Logger::root(Lines.fuse(), slog::o!());
    match council::Centre::start(&boot, log) {
        Ok(_centre) => loop {
            std::thread::park();
        },
        Err(e) => {
            eprintln!("council! {e:#}");
            exit(1)
        }
    }
}
