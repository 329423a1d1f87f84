/*!
Logs the decisions of the leader and the events that they are based on.

Each event or action that affects a job is logged as one line.
docs/REFERENCE.md lists the kinds of lines and their fields.
*/

use puffinknot_core::jobs::message::ExecutorIndex;
use puffinknot_core::jobs::{Action, Event, Outcome, Request, Scheduler};
use tracing::{info, warn};

use crate::cell::iteration::IterationStats;

fn executor_name(scheduler: &Scheduler, index: ExecutorIndex) -> &str {
    let executor = scheduler.executor(index);
    executor.map(|e| e.info.id.as_str()).unwrap_or_default()
}

/// Logs the worst of `slow` slow iterations.
pub fn log_slow_iteration(
    scheduler: &Scheduler,
    token: u64,
    slow: u64,
    stats: &IterationStats,
) {
    info!(
        took_ms = stats.duration / 1_000,
        cpu_ms = stats.cpu / 1_000,
        advance_ms = stats.advance / 1_000,
        inputs = stats.inputs,
        oldest_wait_ms = stats.longest_wait.0 / 1_000,
        oldest = stats.longest_wait.1.name(),
        steps = stats.placement.steps,
        executors = stats.placement.executors,
        runs = stats.placement.runs,
        jobs = scheduler.live_jobs(),
        slow,
        token,
        "turn_slow"
    );
}

/// Logs an event that the scheduler receives.
pub fn log_event(scheduler: &Scheduler, token: u64, event: &Event) {
    match event {
        Event::Request { id, request, .. } => match request {
            Request::Submit(job) => {
                let queue = &job.queue;
                info!(job = %job.id, request = id, queue, token, "submit");
            }
            Request::Cancel { job, .. } => {
                info!(%job, request = id, token, "cancel");
            }
            Request::State { .. } | Request::Pending { .. } => {}
        },
        Event::RenewalAnswered { executor, answer: Ok(answer), .. } => {
            let meant = scheduler.executor(*executor);
            let meant = meant.and_then(|executor| executor.info.born);
            let executor = executor_name(scheduler, *executor);
            if meant != answer.born {
                let born = answer.born;
                warn!(executor, meant, born, "account_of_another_life");
            }
            for end in &answer.ended {
                info!(
                    task = %end.task,
                    run = end.run,
                    how = ?end.how,
                    number = end.number,
                    executor,
                    "run_ended"
                );
            }
        }
        Event::RenewalAnswered { executor, answer: Err(error), .. } => {
            let executor = executor_name(scheduler, *executor);
            warn!(executor, ?error, "hold_failed");
        }
        Event::StartAnswered { executor, task, run, answer: Err(error) } => {
            let executor = executor_name(scheduler, *executor);
            warn!(%task, run, executor, ?error, "start_failed");
        }
        Event::StopAnswered { executor, task, run, answer: Err(error) } => {
            let executor = executor_name(scheduler, *executor);
            warn!(%task, run, executor, ?error, "stop_failed");
        }
        Event::Advised { call, answer: Ok(rows) } => {
            info!(call, good = rows.len(), token, "advised");
        }
        Event::Advised { call, answer: Err(error) } => {
            warn!(call, ?error, token, "advice_failed");
        }
        Event::Listed(executor) => {
            let (draining, born) = (executor.draining, executor.born);
            info!(executor = executor.id, born, draining, "executor_listed");
        }
        Event::MaintenanceAnswered { wave, machine, answer } => {
            info!(wave, machine, ?answer, "upkeep_answered");
        }
        Event::Unlisted(executor) => info!(executor, "executor_unlisted"),
        Event::EntryUnreadable(_) => {}
        Event::StartAnswered { .. }
        | Event::StopAnswered { .. }
        | Event::Advisors(_)
        | Event::ThrottleAnswered { .. }
        | Event::Wave(_)
        | Event::Machines(_)
        | Event::EntriesRead
        | Event::Committed
        | Event::CommitDeclined(_)
        | Event::Tick => {}
    }
}

/// Logs an action that the scheduler returns.
pub fn log_action(scheduler: &Scheduler, token: u64, action: &Action) {
    match action {
        Action::Start { executor, task, run, checkpoint, .. } => {
            let executor = executor_name(scheduler, *executor);
            let resumed = !checkpoint.is_empty();
            info!(%task, run, executor, token, resumed, "start_ordered");
        }
        Action::Stop { executor, task, run } => {
            let executor = executor_name(scheduler, *executor);
            info!(%task, run, executor, token, "stop_ordered");
        }
        Action::Throttle { executor, task, run, percent } => {
            let executor = executor_name(scheduler, *executor);
            info!(%task, run, executor, percent, "pace_ordered");
        }
        Action::StartMaintenance { wave, machine } => {
            info!(wave, machine, token, "upkeep_ordered");
        }
        Action::Superseded => warn!(token, "fenced"),
        Action::JobEnded { job, account, state, after, in_time } => {
            info!(%job, account, ?state, after, in_time, token, "job_ended");
        }
        Action::NotAdmitted {
            job,
            account,
            ends_in,
            of_use_for,
            over_share,
        } => {
            info!(
                %job,
                account,
                ends_in,
                of_use_for,
                over_share,
                token,
                "not_admitted"
            );
        }
        Action::OverShare { account, held } => {
            info!(account, held, token, "account_over_share");
        }
        Action::Preempted { step, tasks } => {
            info!(%step, tasks, token, "displaced");
        }
        Action::ExecutorSpeed { id, percent } => {
            info!(executor = id, percent, token, "executor_speed");
        }
        Action::StepDeferred { step } => info!(%step, token, "held_back"),
        Action::RunOverdue { executor, task, run, ran, should } => {
            info!(executor, %task, run, ran, should, token, "run_overdue");
        }
        Action::RunsEvicted { executor, left, runs } => {
            info!(executor, left, runs, token, "leaving_cleared");
        }
        Action::TakeoverComplete { unseen } => info!(token, unseen, "settled"),
        Action::ExecutorHeard { id, born, running, ended } => {
            info!(
                executor = id,
                born, running, ended, token, "executor_heard"
            );
        }
        Action::ExecutorOver {
            id,
            born,
            why,
            runs,
            listed,
            heard_before,
            lease_left,
        } => {
            warn!(
                executor = id,
                born,
                ?why,
                runs,
                listed,
                heard_before,
                lease_left,
                token,
                "executor_over"
            );
        }
        Action::RunGivenUp { executor, task, run, why, ran, survived } => {
            warn!(
                %task,
                run,
                executor,
                ?why,
                ran,
                survived,
                token,
                "run_given_up"
            );
        }
        Action::TaskSuspected { task, executor, loss, runs, weight, rate } => {
            warn!(
                %task,
                run = loss.run,
                executor,
                alone = loss.alone,
                ran = loss.ran,
                survived = loss.survived,
                runs,
                weight,
                rate,
                token,
                "task_suspected"
            );
        }
        Action::TaskCleared { task, run, executor } => {
            info!(%task, run, executor, token, "task_cleared");
        }
        Action::TaskGivenUp { task, account, queue, runs, addresses } => {
            let crashed = addresses.join(" ");
            warn!(
                %task,
                account,
                queue,
                runs,
                crashed,
                token,
                "task_given_up"
            );
        }
        Action::Advise { call, advisor, step, executors } => {
            let asked = executors.len();
            info!(call, advisor, %step, asked, token, "advice_asked");
        }
        Action::Reply { id, outcome } => match outcome {
            Outcome::Accepted
            | Outcome::Cancelled
            | Outcome::Refused(_)
            | Outcome::NoSuchQueue
            | Outcome::NoSuchKey
            | Outcome::OverLimit
            | Outcome::Unknown => {
                info!(request = id, ?outcome, token, "replied");
            }
            Outcome::State(_) | Outcome::NoSuchJob | Outcome::Pending(_) => {}
        },
        Action::Commit(_)
        | Action::RenewLease { .. }
        | Action::ListMachines
        | Action::WaveState { .. } => {}
    }
}
