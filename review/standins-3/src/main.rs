//! The scripts of the third review. Each plays one case against node processes
//! and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

mod crashloop;
mod executor;
mod repeats;
mod tiny;
mod world;

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let record = args.next().unwrap_or_else(|| "record.txt".to_string());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let system = actix_rt::System::new();
    let code = match case.as_str() {
        "crashloop" => system.block_on(crashloop::run(&record, trouble)),
        "tiny" => system.block_on(tiny::run(&record, trouble)),
        "memory" => system.block_on(repeats::memory(&record, trouble)),
        "idle" => system.block_on(repeats::idle(&record, trouble)),
        "large" => system.block_on(tiny::memory(&record, trouble)),
        _ => 2,
    };
    std::process::exit(code);
}
