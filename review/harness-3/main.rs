//! The stand-ins and the cases of the third review. `harness CASE RECORD` runs a case from the
//! repository's root and exits with 1 if its rule was broken, 0 if it held, 2 if it could not run.

mod cases;
mod http;
mod mesh;
mod target;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: harness CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    mesh::watch();
    let record = mesh::Record::create(path);
    let result = match case.as_str() {
        "late-reports" => cases::late_reports::run(&record, trouble),
        "old-life" => cases::old_life::run(&record, trouble),
        "lost-before" => cases::lost_before::run(&record, trouble),
        "popular" => cases::popular::run(&record, trouble),
        "poison" => cases::poison::run(&record, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(detail) => {
            record.line(&format!("could not run: {detail}"));
            eprintln!("could not run: {detail}");
            2
        }
    };
    std::process::exit(code);
}
