use crate::report::Report;
pub fn calls(_: u64) -> Report {
    Report::new("x", &[])
}
pub fn control(_: u64) -> Report {
    Report::new("x", &[])
}
pub fn config(_: u64) -> Report {
    Report::new("x", &[])
}
