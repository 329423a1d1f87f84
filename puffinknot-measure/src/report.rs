//! What an experiment found, as a table and as JSON.

use std::fmt;

use serde::Serialize;

/// One measured row: what was varied, and the figures.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What was varied.
    pub case: String,
    /// The figures, in the order of the report's columns.
    pub values: Vec<f64>,
}

/// What an experiment found.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The experiment.
    pub experiment: &'static str,
    /// The names of the figures, with their units.
    pub columns: Vec<&'static str>,
    /// The rows.
    pub rows: Vec<Row>,
}

impl Report {
    /// A report without rows.
    pub fn new(experiment: &'static str, columns: &[&'static str]) -> Report {
        let columns = columns.to_vec();
        Report { experiment, columns, rows: Vec::new() }
    }

    /// Adds a row.
    pub fn row(&mut self, case: impl Into<String>, values: &[f64]) {
        let values = values.to_vec();
        self.rows.push(Row { case: case.into(), values });
    }

    /// The report as one line of JSON.
    pub fn json(&self, seed: u64) -> String {
        let mut value = serde_json::json!(self);
        value["seed"] = seed.into();
        format!("{value}\n")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{}", self.experiment)?;
        let wide = self.rows.iter().map(|row| row.case.len()).max();
        let wide = wide.unwrap_or(0);
        write!(f, "  {:wide$}", "")?;
        for column in &self.columns {
            write!(f, "  {column:>12}")?;
        }
        writeln!(f)?;
        for row in &self.rows {
            write!(f, "  {:wide$}", row.case)?;
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
