use clap::{Arg, ArgAction, Command};
use lichencrank::{logging, node::Node, settings::Settings, settings::Tuning};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn cli() -> Command {
    let path = clap::value_parser!(PathBuf);
    Command::new("lichencrank")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A cluster scheduler: runs one controller node until it is killed")
        .after_help("LOG_LEVEL (error, warn, info, debug, trace) says how much is logged on standard error.")
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .value_parser(path.clone())
                .help("The platform's settings file (JSON)"),
        )
        .arg(
            Arg::new("tuning")
                .long("tuning")
                .value_name("FILE")
                .value_parser(path)
                .help("The operators' own tuning (YAML); without it the defaults run"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the files named and exit"),
        )
}

fn run(config: &Path, tuning: Option<&PathBuf>, check: bool) -> Result<(), String> {
    let settings = Settings::load(config)?;
    let tuning = match tuning {
        Some(file) => Tuning::load(file)?,
        None => Tuning::default(),
    };
    if check {
        println!("{}: ok", config.display());
        return Ok(());
    }
    let mut node = Node::open(settings, tuning)?;
    loop {
        node.turn()?;
    }
}

fn main() -> ExitCode {
    let args = cli().get_matches();
    logging::start(std::env::var("LOG_LEVEL").ok().as_deref());
    let Some(config) = args.get_one::<PathBuf>("config") else {
        return ExitCode::FAILURE;
    };
    match run(config, args.get_one("tuning"), args.get_flag("check")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lichencrank: {message}");
            ExitCode::FAILURE
        }
    }
}
