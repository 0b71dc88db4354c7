use clap::{Arg, ArgAction, ArgMatches, Command};
use lichencrank::features::Features;
use lichencrank::settings::{Settings, Tuning};
use lichencrank::{logging, node::Node, quota_report, zones_report};
use std::path::PathBuf;
use std::process::ExitCode;

const CONFIG: &str = "config";
const TUNING: &str = "tuning";
const FEATURES: &str = "features";
const CHECK: &str = "check";
const QUOTA: &str = "quota";
const ZONES: &str = "zones";

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help(help)
}

fn cli() -> Command {
    let config = file(CONFIG, "The platform's settings file (JSON)").required(true);
    Command::new("lichencrank")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A cluster scheduler: runs one controller node until it is killed")
        .after_help("LOG_LEVEL (error, warn, info, debug, trace) says how much is logged on standard error.")
        .subcommand_negates_reqs(true)
        .arg(config.clone())
        .arg(file(TUNING, "The operators' own tuning (YAML); without it the defaults run"))
        .arg(file(FEATURES, "What is switched on (YAML); without it everything is off"))
        .arg(
            Arg::new(CHECK)
                .long(CHECK)
                .action(ArgAction::SetTrue)
                .help("Check the files named and exit"),
        )
        .subcommand(
            Command::new(QUOTA)
                .about("Shows limits, guarantees, allowances and use of the teams, from the state service")
                .arg(config.clone()),
        )
        .subcommand(
            Command::new(ZONES)
                .about("Shows the state of every zone, its penalty and what waits, from the state service")
                .arg(config),
        )
}

fn run(args: &ArgMatches) -> Result<(), String> {
    if let Some(args) = args.subcommand_matches(QUOTA) {
        let settings = load_settings(args)?;
        print!("{}", quota_report::report(&settings)?);
        return Ok(());
    }
    if let Some(args) = args.subcommand_matches(ZONES) {
        let settings = load_settings(args)?;
        print!("{}", zones_report::report(&settings)?);
        return Ok(());
    }
    let settings = load_settings(args)?;
    let tuning = match args.get_one::<PathBuf>(TUNING) {
        Some(file) => Tuning::load(file)?,
        None => Tuning::default(),
    };
    let features = match args.get_one::<PathBuf>(FEATURES) {
        Some(file) => Features::load(file)?,
        None => Features::default(),
    };
    if args.get_flag(CHECK) {
        println!("settings, tuning and features: ok");
        return Ok(());
    }
    let mut node = Node::open(settings, tuning, features)?;
    loop {
        node.run_once()?;
    }
}

fn load_settings(args: &ArgMatches) -> Result<Settings, String> {
    let config = args.get_one::<PathBuf>(CONFIG);
    let config = config.ok_or("--config names no file")?;
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
