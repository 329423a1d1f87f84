//! The scripts of the second review. `review-2 CASE FOLDER` plays a case, and
//! writes what was sent, answered and run to `record.txt` in the folder.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0` the disruption is left out.

mod cell;
mod flapping;
mod frozen;
mod late;
mod renamed;
mod upkeep;
mod world;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use cell::{CannotRun, Record};
use flapping::Victim;

/// The longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

async fn play(case: &str, folder: &Path) -> Result<bool, CannotRun> {
    let record = Record::create(&folder.join("record.txt"))?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = async {
        match case {
            "flapping" => {
                flapping::play(&record, trouble, Victim::Standing).await
            }
            "flapping-batch" => {
                flapping::play(&record, trouble, Victim::Batch).await
            }
            "frozen" => frozen::play(&record, trouble).await,
            "renamed" => renamed::play(&record, trouble).await,
            "late" => late::play(&record, trouble).await,
            "upkeep" => upkeep::play(&record, trouble).await,
            _ => Err(CannotRun(format!("no case is named {case}"))),
        }
    };
    let limited = tokio::time::timeout(TIME_LIMIT, played).await;
    let broken = limited.map_err(|_| CannotRun("too slow".into()))??;
    record.line(if broken { "the rule was broken" } else { "the rule held" });
    Ok(broken)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let played = play(&case, Path::new(&folder));
    match actix_rt::System::new().block_on(played) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(CannotRun(problem)) => {
            eprintln!("review-2: {problem}");
            ExitCode::from(2)
        }
    }
}
