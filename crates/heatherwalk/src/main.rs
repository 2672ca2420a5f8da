//! The `heatherwalk` binary: runs the command that the command line names.

use std::{env, io, io::Write as _, process, time};

use compact_str::CompactString;
use eyre::WrapErr as _;
use heatherwalk::{
    api_client, args, dev, discovery, exit_codes, explaining, keys, logs, operators, render, roles,
    settings,
};
use tokio::{runtime, signal, sync::watch};
use world::{hosts, mesh};

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match args::parse(&arguments) {
        Ok(command) => run(&command),
        Err(exit) => {
            print_line(exit.code == exit_codes::DONE, &exit.text);
            exit.code
        }
    };
    code.into()
}

fn run(command: &args::Command) -> u8 {
    let result = match command {
        args::Command::Check(it) => settings::load(&it.settings).map(drop).map_err(Into::into),
        args::Command::Control(it) => run_role(it.settings.as_deref(), "control"),
        args::Command::Dev(it) => run_dev(it.port),
        args::Command::Explain(it) => return run_explain(it),
        args::Command::Keys(it) => run_keys(&it.command),
        args::Command::Node(it) => run_role(it.settings.as_deref(), "node"),
        args::Command::Version(_) => {
            print_line(true, &args::version());
            Ok(())
        }
        _ => return run_operator(command),
    };
    match result {
        Ok(()) => exit_codes::DONE,
        Err(err) => {
            print_line(false, &format!("{err:#}"));
            exit_codes::FAILED
        }
    }
}

/// Prints a line to standard output if it is the command's result, else to standard error. A closed
/// stream is not an error.
fn print_line(result: bool, text: &str) {
    let _ = match result {
        true => writeln!(io::stdout(), "{text}"),
        false => writeln!(io::stderr(), "{text}"),
    };
}

/// Default number of a node's runtime threads, which own its sockets and timers. A node forwards
/// about 350 requests a second beside its backend server. With a thread per core, more threads
/// would be woken only to steal work.
const NODE_THREADS: usize = 2;

fn start_runtime(threads: Option<usize>) -> eyre::Result<runtime::Runtime> {
    let mut builder = match threads {
        Some(1) => runtime::Builder::new_current_thread(),
        _ => runtime::Builder::new_multi_thread(),
    };
    if let Some(threads) = threads {
        builder.worker_threads(threads);
    }
    builder.enable_all().build().wrap_err("cannot start the runtime")
}

/// The environment variable with the path of the settings file, used when no --settings is given.
const SETTINGS_VARIABLE: &str = "HEATHERWALK_CONFIG";

fn run_role(file: Option<&str>, name: &str) -> eyre::Result<()> {
    let variable = env::var(SETTINGS_VARIABLE).ok();
    let file = file.or(variable.as_deref()).ok_or_else(|| {
        eyre::eyre!("no settings file: name one with --settings or in {SETTINGS_VARIABLE}")
    })?;
    let settings = settings::load(file)?;
    match settings {
        settings::Settings::Control(mut settings, process) if name == "control" => {
            logs::init(process.log, io::stdout())?;
            let host = host_name(&settings.mesh, settings.me);
            let identity = roles::load_identity(&process.identity, &host, hosts::Role::Control)?;
            start_runtime(process.threads)?.block_on(async {
                let stop = stop_signal();
                let seeds = reload_on_hangup(file.into(), process.seeds.clone());
                if let Some(seeds) = &process.seeds {
                    roles::find_peers(&mut settings, seeds).await?;
                }
                roles::run_control(*settings, &identity, seeds, stop).await
            })?;
        }
        settings::Settings::Node(mut settings, process) if name == "node" => {
            logs::init(process.log, io::stdout())?;
            let host = host_name(&settings.mesh, settings.me);
            let identity = roles::load_identity(&process.identity, &host, hosts::Role::Node)?;
            start_runtime(process.threads.or(Some(NODE_THREADS)))?.block_on(async {
                let stop = stop_signal();
                let seeds = reload_on_hangup(file.into(), process.seeds.clone());
                if let Some(seeds) = &process.seeds {
                    roles::find_controls(&mut settings, seeds).await;
                }
                roles::run_node(*settings, &identity, seeds, stop).await
            })?;
        }
        _ => eyre::bail!("{file}: [host] role is not {name}; run the command of the file's role"),
    }
    Ok(())
}

fn host_name(mesh: &mesh::Mesh, key: hosts::HostKey) -> CompactString {
    mesh.host(key).map(|it| it.name.clone()).unwrap_or_default()
}

fn run_dev(port: Option<u16>) -> eyre::Result<()> {
    let log = settings::Log { level: log::LevelFilter::Info, decisions: true };
    logs::init(log, io::stderr())?;
    start_runtime(None)?.block_on(async {
        let dev = dev::Dev::spawn(port).await?;
        print_line(true, &dev.guide());
        stop_signal().await;
        dev.stop().await;
        Ok(())
    })
}

/// Reads the settings file at each SIGHUP and logs its faults. The running role takes new seeds
/// from it, which the returned receiver has, and otherwise keeps the settings that it started with,
/// since none of them can change while its ports and links are open.
fn reload_on_hangup(
    file: CompactString,
    seeds: Option<discovery::Seeds>,
) -> Option<watch::Receiver<discovery::Seeds>> {
    let (sender, receiver) = seeds.map(watch::channel).unzip();
    tokio::spawn(handle_hangups(file, sender));
    receiver
}

async fn handle_hangups(file: CompactString, seeds: Option<watch::Sender<discovery::Seeds>>) {
    let Ok(mut signals) = signal::unix::signal(signal::unix::SignalKind::hangup()) else {
        log::error!("cannot handle SIGHUP, which will end this process if it is sent");
        return;
    };
    while signals.recv().await.is_some() {
        match settings::load(&file) {
            Ok(settings) => {
                log::info!(
                    "SIGHUP: {file} is valid; its seeds count from now on, the rest from the next \
                     start of this process"
                );
                if let Some((sender, new)) = seeds.as_ref().zip(settings.seeds()) {
                    sender.send_replace(new.clone());
                }
            }
            Err(err) => log::error!(
                "SIGHUP: this process keeps its settings, but cannot start with this file: {err}"
            ),
        }
    }
}

/// Completes when the process receives SIGTERM or SIGINT.
async fn stop_signal() {
    let terminated = async {
        match signal::unix::signal(signal::unix::SignalKind::terminate()) {
            Ok(mut signals) => _ = signals.recv().await,
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = signal::ctrl_c() => {}
        () = terminated => {}
    }
    log::info!("received a signal to stop; shutting down");
}

fn run_keys(command: &args::KeysCommand) -> eyre::Result<()> {
    let files = match command {
        args::KeysCommand::Authority(it) => keys::create_authority(&it.out)?,
        args::KeysCommand::Issue(it) => {
            keys::issue_host(&it.authority, &it.host, it.role, &it.out)?
        }
    };
    print_line(true, &format!("{}\n{}", files.certificate.display(), files.key.display()));
    Ok(())
}

fn run_explain(args: &args::Explain) -> u8 {
    match explain(args) {
        Ok(()) => exit_codes::DONE,
        Err(err) => {
            print_line(false, &err.to_string());
            err.exit_code()
        }
    }
}

fn explain(args: &args::Explain) -> explaining::Result<()> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a process can start a runtime on its own thread");
    let explanation = runtime.block_on(explaining::ask(args))?;
    let text =
        if args.json { render::pretty(&explanation) } else { explaining::to_text(&explanation) };
    print_line(true, text.trim_end());
    explaining::check(&explanation)
}

fn run_operator(command: &args::Command) -> u8 {
    match ask_controls(command) {
        Ok(()) => exit_codes::DONE,
        Err(err) => {
            print_line(false, &err.to_string());
            err.exit_code()
        }
    }
}

fn ask_controls(command: &args::Command) -> operators::Result<()> {
    let Some(options) = command.common_options() else { return Ok(()) };
    let variable = env::var(args::TOKEN_VARIABLE).ok().map(Into::into);
    let token = operators::inputs::read_token(options.token_file.as_deref(), variable)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a process can start a runtime on its own thread");
    let http = web::client::Client::new(web::client::Limits::default());
    let started = time::Instant::now();
    let mut client = operators::Client {
        controls: options.control,
        send: &mut |it: &operators::Request| runtime.block_on(api_client::send(&http, &token, it)),
        sleep: &mut |pause: time::Duration| {
            runtime.block_on(async { tokio::time::sleep(pause).await });
            started.elapsed()
        },
    };
    let mut console = operators::Console {
        input: &mut io::stdin(),
        out: &mut io::stdout(),
        err: &mut io::stderr(),
        user: env::var("USER").ok().map(Into::into),
    };
    operators::run(command, &mut client, &mut console)
}
