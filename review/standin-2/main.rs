//! Runs one case of the review: `standin-2 CASE FOLDER RECORD`. Exits with 0 if the rule held, 1 if it
//! was broken and 2 if the case could not run.

mod cases;
mod cluster;
mod fleet;
mod http;
mod json;
mod link;
mod record;
mod state;

use cases::Outcome;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = &args[..] else {
        eprintln!("usage: standin-2 CASE FOLDER RECORD");
        std::process::exit(2);
    };
    record::open(record);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::note(format!("case {case}, trouble {trouble}"));
    let outcome = match case.as_str() {
        "pipeline" => cases::pipeline(folder, trouble),
        "small-tasks" => cases::small_tasks(folder, trouble),
        "short-tasks" => cases::short_tasks(folder, trouble),
        "memory" => cases::memory(folder, trouble),
        "kept-room" => cases::kept_room(folder, trouble),
        "refused" => cases::refused(folder, trouble),
        _ => Outcome::CouldNotRun(format!("unknown case {case}")),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_string()),
        Outcome::Broken(how) => (1, format!("the rule was broken: {how}")),
        Outcome::CouldNotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record::note(&text);
    println!("{text}");
    std::process::exit(code);
}
