//! Writes the tables of `docs/CAPACITY.md` from a measured report, a target and inputs, and checks that they
//! agree.
//!
//! Each module makes one kind of table: `run` what the page is made from, `roles` what each role needs,
//! `data_path` the arithmetic of the data path, `breaks` what breaks first, `real` what real processes showed
//! beside virtual time. `page` puts the texts between their markers.
mod breaks;
mod data_path;
mod error;
mod inputs;
mod measured;
mod names;
mod page;
mod real;
mod roles;
mod run;
mod table;
pub mod units;

pub use breaks::{breakages, Breakage, Ratio};
pub use error::CapacityError;
pub use inputs::{Input, Inputs};
pub use measured::{Measured, Reading};
pub use page::Section;

use crate::scale::report::{Design, Report};
use crate::scale::target::Target;
use run::Sources;
use std::path::{Path, PathBuf};

/// Where the files are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// The target.
    pub target: PathBuf,
    /// The report of the scale run.
    pub report: PathBuf,
    /// The inputs that no run gives.
    pub inputs: PathBuf,
    /// The page.
    pub page: PathBuf,
}

impl Files {
    /// The files of a repository.
    pub fn of_repository(root: &Path) -> Files {
        Files {
            target: root.join("deploy/target.toml"),
            report: root.join("docs/capacity.json"),
            inputs: root.join("docs/capacity-inputs.toml"),
            page: root.join("docs/CAPACITY.md"),
        }
    }

    /// Writes the tables into the page; says whether it changed.
    ///
    /// # Errors
    /// A file that cannot be read, understood or written.
    pub fn write(&self) -> Result<bool, CapacityError> {
        let page = read(&self.page)?;
        let sections = self.sections()?;
        let new =
            page::with_sections(&page, &sections).map_err(|what| CapacityError::new(&self.page, what))?;
        if new == page {
            return Ok(false);
        }
        std::fs::write(&self.page, new).map_err(|error| CapacityError::new(&self.page, error))?;
        Ok(true)
    }

    /// Whether the page's tables are those of the report, the target and the inputs.
    ///
    /// # Errors
    /// A file that cannot be read or understood, or the name of the first table that differs.
    pub fn check(&self) -> Result<(), CapacityError> {
        let page = read(&self.page)?;
        let sections = self.sections()?;
        match page::first_difference(&page, &sections) {
            Ok(None) => Ok(()),
            Ok(Some(name)) => {
                let what = format!(
                    "the table '{name}' is not that of report, target and inputs: run `make capacity`"
                );
                Err(CapacityError::new(&self.page, what))
            }
            Err(what) => Err(CapacityError::new(&self.page, what)),
        }
    }

    fn sections(&self) -> Result<Vec<Section>, CapacityError> {
        let texts = (read(&self.target)?, read(&self.report)?, read(&self.inputs)?);
        let target = Target::read(&texts.0).and_then(|target| target.check().map(|()| target));
        let target = target.map_err(|what| CapacityError::new(&self.target, what))?;
        let report: Report =
            serde_json::from_str(&texts.1).map_err(|error| CapacityError::new(&self.report, error))?;
        let inputs = Inputs::read(&texts.2).map_err(|what| CapacityError::new(&self.inputs, what))?;
        let measured =
            Measured::new(&report, &target).map_err(|what| CapacityError::new(&self.report, what))?;
        let sources = Sources { target: &texts.0, report: &texts.1, inputs: &texts.2 };
        Ok(sections(&measured, &inputs, sources))
    }
}

/// All generated parts of the page, the text of the tables before the checksums of their sources, so that a
/// check names the table that differs.
fn sections(measured: &Measured, inputs: &Inputs, sources: Sources) -> Vec<Section> {
    vec![
        run::target(measured),
        roles::section(measured, Design::Star, "roles-star"),
        roles::section(measured, Design::Tree, "roles-tree"),
        data_path::section(measured, inputs),
        breaks::section(measured, inputs),
        roles::slopes(measured),
        real::section(measured),
        run::figures(measured),
        run::inputs(inputs),
        run::section(measured, sources),
    ]
}

fn read(path: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(path).map_err(|error| CapacityError::new(path, error))
}
