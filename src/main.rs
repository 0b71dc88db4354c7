//! Command line of the scheduler: runs a controller, checks its files, or prints a report.

use clap::{Arg, ArgAction, ArgMatches, Command};
use lichencrank::features::Features;
use lichencrank::settings::{Settings, Tuning};
use lichencrank::{logging, node::Node, quota_report, zones_report};
use std::path::PathBuf;
use std::process::ExitCode;

const CONFIG_ARG: &str = "config";
const TUNING_ARG: &str = "tuning";
const FEATURES_ARG: &str = "features";
const CHECK_ARG: &str = "check";
const QUOTA_COMMAND: &str = "quota";
const ZONES_COMMAND: &str = "zones";

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help(help)
}

fn cli() -> Command {
    let config = file_arg(CONFIG_ARG, "Settings file of the controller (JSON)").required(true);
    Command::new("lichencrank")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Cluster scheduler; runs one controller until the process is killed")
        .after_help("LOG_LEVEL (error, warn, info, debug, trace) sets the log level; logs are written to standard error.")
        .subcommand_negates_reqs(true)
        .arg(config.clone())
        .arg(file_arg(TUNING_ARG, "Tuning file (YAML); without it the default values apply"))
        .arg(file_arg(FEATURES_ARG, "Features file (YAML); without it all features are disabled"))
        .arg(
            Arg::new(CHECK_ARG)
                .long(CHECK_ARG)
                .action(ArgAction::SetTrue)
                .help("Validate the given files and exit"),
        )
        .subcommand(
            Command::new(QUOTA_COMMAND)
                .about("Print limits, guarantees, allowances and usage of all teams, read from the state service")
                .arg(config.clone()),
        )
        .subcommand(
            Command::new(ZONES_COMMAND)
                .about("Print state, penalty and delayed displacements of all zones, read from the state service")
                .arg(config),
        )
}

fn run(args: &ArgMatches) -> Result<(), String> {
    if let Some(args) = args.subcommand_matches(QUOTA_COMMAND) {
        let settings = load_settings(args)?;
        print!("{}", quota_report::report(&settings)?);
        return Ok(());
    }
    if let Some(args) = args.subcommand_matches(ZONES_COMMAND) {
        let settings = load_settings(args)?;
        print!("{}", zones_report::report(&settings)?);
        return Ok(());
    }
    let settings = load_settings(args)?;
    let tuning = match args.get_one::<PathBuf>(TUNING_ARG) {
        Some(file) => Tuning::load(file)?,
        None => Tuning::default(),
    };
    let features = match args.get_one::<PathBuf>(FEATURES_ARG) {
        Some(file) => Features::load(file)?,
        None => Features::default(),
    };
    if args.get_flag(CHECK_ARG) {
        println!("settings, tuning and features: ok");
        return Ok(());
    }
    let mut node = Node::open(settings, tuning, features)?;
    loop {
        node.run_once()?;
    }
}

fn load_settings(args: &ArgMatches) -> Result<Settings, String> {
    let config = args.get_one::<PathBuf>(CONFIG_ARG);
    let config = config.ok_or("--config FILE is required")?;
    Settings::load(config)
}

fn main() -> ExitCode {
    let args = cli().get_matches();
    logging::init(std::env::var("LOG_LEVEL").ok().as_deref());
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lichencrank: {message}");
            ExitCode::FAILURE
        }
    }
}
