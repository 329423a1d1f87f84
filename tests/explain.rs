//! Tests of `puffinknot explain` on recorded and constructed log lines.

use clap::Parser;
use puffinknot::client::{run, Cli, Report, DONE, WRONG};

fn explain(arguments: &[&str]) -> Report {
    let command = ["puffinknot", "explain"];
    let arguments = command.iter().chain(arguments);
    let cli = Cli::parse_from(arguments);
    let result = actix_rt::System::new().block_on(run(cli));
    result.expect("readable files")
}

fn cause(report: &Report) -> &str {
    let last = report.text.lines().last().expect("a last line");
    last.strip_prefix("cause: ").expect("a cause")
}

#[test]
fn a_failed_job_is_traced_to_its_runs() {
    let id = "489cf12faa7e9ecd";
    let file = format!("testdata/logs/{id}.log");
    let report = explain(&[id, &file]);
    assert_eq!(report.code, DONE);
    assert_eq!(
        cause(&report),
        "it failed 2 times: 489cf12faa7e9ecd.0.0.0 on i-995d3a5320, \
         489cf12faa7e9ecd.0.0.0 on i-b42e6ba3f9",
    );
    assert!(report.text.contains("advice_asked"));
}

#[test]
fn a_job_that_was_refused_and_came_again_is_traced() {
    let id = "9e5d8ac5c82a47a4";
    let file = format!("testdata/logs/{id}.log");
    let report = explain(&[id, &file]);
    assert!(report.text.contains("Refused(1000)"), "{}", report.text);
    assert_eq!(cause(&report), "it succeeded in time");
    let json = explain(&[id, &file, "--output", "json"]);
    let json: serde_json::Value =
        serde_json::from_str(&json.text).expect("JSON");
    assert_eq!(json["cause"], "it succeeded in time");
}

#[test]
fn a_job_that_crashes_executors_names_them_and_its_account() {
    let line = |at: f64, text: &str| format!("  {at} n1 {{{text}}}\n");
    let task = "\"task\":\"00000000000000ab.0.0.0\"";
    let log = [
        line(1.0, "\"message\":\"submit\",\"job\":\"00000000000000ab\""),
        line(1.5, &format!("\"message\":\"task_suspected\",{task}")),
        line(
            2.5,
            &format!(
                "\"message\":\"task_given_up\",{task},\"account\":\"c7\",\
                 \"queue\":\"q1\",\"runs\":2,\"crashed\":\"10.1.0.4:80 \
                 10.2.0.9:80\""
            ),
        ),
        line(
            2.6,
            "\"message\":\"job_ended\",\"job\":\"00000000000000ab\",\
             \"state\":\"Failed\"",
        ),
    ];
    let path = std::env::temp_dir()
        .join(format!("puffinknot-crashed-{}.log", std::process::id()));
    std::fs::write(&path, log.concat()).expect("a file");
    let report = explain(&["00000000000000ab", &path.to_string_lossy()]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(
        cause(&report),
        "it was given up: executors crashed under 00000000000000ab.0.0.0 2 \
         times, at 10.1.0.4:80 10.2.0.9:80; handed in by c7",
    );
}

#[test]
fn a_job_that_is_only_refused_names_the_dependency() {
    let log = "  1.0 n1 {\"message\":\"store_lost\"}\n  1.5 n1 \
        {\"message\":\"refused\",\"job\":\"00000000000000aa\",\
        \"kind\":\"submit\",\"after\":1000}\n";
    let path = std::env::temp_dir()
        .join(format!("puffinknot-explain-{}.log", std::process::id()));
    std::fs::write(&path, log).expect("a file");
    let report = explain(&["00000000000000aa", &path.to_string_lossy()]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(
        cause(&report),
        "it was refused and never ran: the store did not answer",
    );
}

#[test]
fn an_unknown_job_says_what_to_do() {
    let file = "testdata/logs/489cf12faa7e9ecd.log";
    let report = explain(&["00000000000000bb", file]);
    assert_eq!(report.code, WRONG);
    assert!(report.text.contains("check the id"));
}

#[test]
fn a_job_that_found_no_room_in_time_says_so() {
    let log = "  1.5 n1 {\"message\":\"not_admitted\",\
        \"job\":\"00000000000000ab\",\"account\":\"c7\",\
        \"ends_in\":9100,\"of_use_for\":4600,\"over_share\":true}\n";
    let path = std::env::temp_dir()
        .join(format!("puffinknot-explain-room-{}.log", std::process::id()));
    std::fs::write(&path, log).expect("a file");
    let report = explain(&["00000000000000ab", &path.to_string_lossy()]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(
        cause(&report),
        "it was refused and never ran: what waited of c7 left it no end \
         within 4.6 s, after which it was of no use; 9.1 s at the least",
    );
}

#[test]
fn a_job_that_newer_ones_leave_no_room_says_so() {
    let log = "  1.5 n1 {\"message\":\"not_admitted\",\
        \"job\":\"00000000000000ab\",\"of_use_for\":4600}\n";
    let path = std::env::temp_dir()
        .join(format!("puffinknot-explain-newer-{}.log", std::process::id()));
    std::fs::write(&path, log).expect("a file");
    let report = explain(&["00000000000000ab", &path.to_string_lossy()]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(
        cause(&report),
        "it was refused and never ran: what waited left it no end within \
         4.6 s, after which it was of no use; newer jobs take all capacity",
    );
}

#[test]
fn a_job_whose_key_is_of_no_account_says_so() {
    let log = "  1.5 n1 {\"message\":\"refused\",\
        \"job\":\"00000000000000ab\",\"why\":\"NoSuchKey\"}\n";
    let path = std::env::temp_dir()
        .join(format!("puffinknot-explain-key-{}.log", std::process::id()));
    std::fs::write(&path, log).expect("a file");
    let report = explain(&["00000000000000ab", &path.to_string_lossy()]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(
        cause(&report),
        "it was refused and never ran: its key is of no account",
    );
}

#[test]
fn a_job_with_an_overdue_run_names_its_executor() {
    let line = |at: f64, text: &str| format!("  {at} n1 {{{text}}}\n");
    let task = "\"task\":\"00000000000000ab.0.0.0\",\"executor\":\"x\"";
    let job = "\"job\":\"00000000000000ab\"";
    let overdue = "\"message\":\"run_overdue\",\"ran\":1700,\"should\":500";
    let log = [
        line(1.0, &format!("\"message\":\"submit\",{job}")),
        line(1.1, &format!("\"message\":\"start_ordered\",{task}")),
        line(2.8, &format!("{overdue},{task}")),
        line(5.1, &format!("\"message\":\"run_ended\",{task}")),
        line(
            5.2,
            &format!(
                "\"message\":\"job_ended\",{job},\
                 \"state\":\"Succeeded\",\"in_time\":false"
            ),
        ),
    ];
    let path = std::env::temp_dir()
        .join(format!("puffinknot-overdue-{}.log", std::process::id()));
    std::fs::write(&path, log.concat()).expect("a file");
    let report = explain(&["00000000000000ab", &path.to_string_lossy()]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(
        cause(&report),
        "it succeeded later than guessed: 00000000000000ab.0.0.0 on x had \
         run for 1.7 s of 0.5 s and went on",
    );
}

#[test]
fn a_late_job_that_was_held_back_says_so() {
    let job = "00000000000000ab";
    let line = |at: f64, text: &str| format!("  {at} n1 {{{text}}}\n");
    let log = [
        line(1.0, &format!("\"message\":\"submit\",\"job\":\"{job}\"")),
        line(
            1.1,
            &format!("\"message\":\"held_back\",\"step\":\"{job}.0.0\""),
        ),
        line(
            9.5,
            &format!("\"message\":\"start_ordered\",\"task\":\"{job}.0.0.0\""),
        ),
        line(
            9.9,
            &format!(
                "\"message\":\"job_ended\",\"job\":\"{job}\",\
                 \"state\":\"Succeeded\",\"in_time\":false"
            ),
        ),
    ];
    let file =
        std::env::temp_dir().join(format!("held-{}.log", std::process::id()));
    std::fs::write(&file, log.concat()).expect("a log file");
    let report = explain(&[job, &file.to_string_lossy()]);
    std::fs::remove_file(&file).expect("to remove the log file");
    assert_eq!(
        cause(&report),
        "it succeeded late: nothing happened for 8.4 s between held_back and \
         start_ordered; room was kept free for urgent work",
    );
}

#[test]
fn a_late_job_names_that_its_account_was_over_its_share() {
    let log = [
        "1.0 n1 {\"message\":\"submit\",\"job\":\"00000000000000ab\"}",
        "2.0 n1 {\"message\":\"account_over_share\",\"account\":\"c7\"}",
        "2.1 n1 {\"message\":\"account_over_share\",\"account\":\"c8\"}",
        "6.0 n1 {\"message\":\"start_ordered\",\
         \"task\":\"00000000000000ab.0.0.0\"}",
        "6.5 n1 {\"message\":\"job_ended\",\"job\":\"00000000000000ab\",\
         \"account\":\"c7\",\"state\":\"Succeeded\",\"in_time\":false}",
    ];
    let path = std::env::temp_dir()
        .join(format!("puffinknot-over-share-{}.log", std::process::id()));
    std::fs::write(&path, log.join("\n")).expect("a file");
    let report = explain(&["00000000000000ab", &path.to_string_lossy()]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(
        cause(&report),
        "it succeeded late: nothing happened for 5.0 s between submit and \
         start_ordered; meanwhile account_over_share",
    );
    assert!(!report.text.contains("c8"));
}
