//! Experiment results, as a table and as JSON.

use std::fmt;

use serde::Serialize;

/// The measurements of one case of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The parameters that distinguish this case.
    pub case: String,
    /// The measurements, in the order of [`Report::columns`].
    pub values: Vec<f64>,
}

/// The results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: &'static str,
    /// The names of the measurements, with their units.
    pub columns: Vec<&'static str>,
    /// One row for each case.
    pub rows: Vec<Row>,
}

impl Report {
    /// Creates a report without rows.
    pub fn new(experiment: &'static str, columns: &[&'static str]) -> Report {
        let columns = columns.to_vec();
        Report { experiment, columns, rows: Vec::new() }
    }

    /// Appends a row with one value for each column.
    pub fn row(&mut self, case: impl Into<String>, values: &[f64]) {
        let values = values.to_vec();
        self.rows.push(Row { case: case.into(), values });
    }

    /// Returns the report and the seed as one line of JSON.
    pub fn json(&self, seed: u64) -> String {
        let mut value = serde_json::json!(self);
        value["seed"] = seed.into();
        format!("{value}\n")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{}", self.experiment)?;
        let case_width = self.rows.iter().map(|row| row.case.len()).max();
        let case_width = case_width.unwrap_or(0);
        write!(f, "  {:case_width$}", "")?;
        for column in &self.columns {
            write!(f, "  {column:>12}")?;
        }
        writeln!(f)?;
        for row in &self.rows {
            write!(f, "  {:case_width$}", row.case)?;
            for (value, column) in row.values.iter().zip(&self.columns) {
                let width = column.len().max(12);
                if value.fract() == 0.0 && value.abs() < 1e9 {
                    write!(f, "  {value:>width$.0}")?;
                } else {
                    write!(f, "  {value:>width$.4}")?;
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
