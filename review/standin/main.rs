//! The stand-ins of the review's cases, and the cases. `review CASE FOLDER` runs one case and writes
//! `record.txt` into the folder. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod cases;
mod cluster;
mod fleet;
mod http;
mod json;
mod record;
mod state;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    cluster::end_after(118);
    let verdict = cases::run(case, trouble, record);
    println!("{verdict:?}");
    std::process::exit(match verdict {
        cases::Verdict::Held => 0,
        cases::Verdict::Broken => 1,
        cases::Verdict::CouldNotRun => 2,
    });
}
