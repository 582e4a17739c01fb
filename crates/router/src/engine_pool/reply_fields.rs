//! Decodes the fields of engines' replies.

use super::protocol_error::EngineProtocolError;
use crate::resp;
use emberflow::{LoadReport, ProgressUpdate, Usage};
use emberflow_settings::{build_load_report, from_ms};

/// Limit of the number of pages of a result.
pub(super) const MAX_PAGES: usize = 256;
/// The separator between the fields of a reply, and the separator between a field's name and its value.
const FIELD_SEPARATORS: (char, char) = (',', '=');
/// The same separators within a load report.
const LOAD_SEPARATORS: (char, char) = (';', ':');
/// Value of a `stall` report if the attempt waits for memory.
const STALLED_FOR_MEMORY: f64 = 1.0;
/// Value of a `stall` report if the attempt waits for a bulk load of its table group.
const STALLED_FOR_BULK_LOAD: f64 = 2.0;

/// The fields of a reply, as `name=value` separated by commas.
pub(super) struct ReplyFields(pub String);

impl ReplyFields {
    fn text(&self, name: &str) -> Option<&str> {
        resp::field_value(&self.0, name, FIELD_SEPARATORS)
    }

    /// Decodes a numeric field; `None` if the reply does not have it. A negative number counts as 0.
    fn number(&self, name: &str) -> Result<Option<f64>, EngineProtocolError> {
        let number = self.text(name).map(|value| parse_number(name, value)).transpose()?;
        Ok(number.map(|number| number.max(0.0)))
    }

    /// Decodes the load report, if the reply carries one.
    pub fn load_report(&self) -> Result<Option<LoadReport>, EngineProtocolError> {
        self.text("use").map(parse_load_report).transpose()
    }

    /// Whether a result has more than one page. A reply that does not give the number of pages has one.
    pub fn has_further_pages(&self) -> Result<bool, EngineProtocolError> {
        Ok(self.number("pages")?.is_some_and(|pages| pages > 1.0))
    }

    /// Decodes the number of pages of a result, which is 1 if the reply does not give it.
    pub fn page_count(&self) -> Result<usize, EngineProtocolError> {
        let pages = self.number("pages")?.unwrap_or(1.0);
        if !(1.0..=MAX_PAGES as f64).contains(&pages) {
            return Err(EngineProtocolError::PageCount(pages));
        }
        Ok(pages as usize)
    }

    /// Decodes the number of a further page of a result.
    pub fn page_number(&self) -> Result<usize, EngineProtocolError> {
        let page = self.number("page")?.ok_or(EngineProtocolError::NoPageNumber)?;
        Ok(page as usize)
    }

    /// Decodes the resources that the engine used for a result: the cost in ms and the memory in MB. Returns `None`
    /// unless the reply has both.
    pub fn usage(&self) -> Result<Option<Usage>, EngineProtocolError> {
        let cost_and_memory = self.number("cost")?.zip(self.number("need")?);
        Ok(cost_and_memory.map(|(ms, memory_mb)| Usage { work: from_ms(ms), memory_mb }))
    }

    /// Decodes a progress report.
    pub fn progress(&self) -> Result<ProgressUpdate, EngineProtocolError> {
        let value = self.number("v")?;
        match (self.text("detail"), value) {
            (Some("advance"), Some(fraction)) => Ok(ProgressUpdate::Fraction(fraction)),
            (Some("disk"), Some(missing_mb)) => Ok(ProgressUpdate::Spilling(missing_mb)),
            (Some("stall"), Some(STALLED_FOR_MEMORY)) => Ok(ProgressUpdate::WaitingForMemory),
            (Some("stall"), Some(STALLED_FOR_BULK_LOAD)) => Ok(ProgressUpdate::WaitingForBulkLoad),
            (None, _) => Ok(ProgressUpdate::Running),
            (detail, value) => {
                let detail = detail.map(str::to_owned);
                Err(EngineProtocolError::UnknownProgress { detail, value })
            }
        }
    }
}

/// Decodes a load report. Each of its values may be given under one of several names.
fn parse_load_report(text: &str) -> Result<LoadReport, EngineProtocolError> {
    build_load_report(|names| {
        for name in names {
            if let Some(value) = resp::field_value(text, name, LOAD_SEPARATORS) {
                return parse_number(name, value).map(Some);
            }
        }
        Ok(None)
    })
}

fn parse_number(name: &str, value: &str) -> Result<f64, EngineProtocolError> {
    let number = value.parse().ok().filter(|number: &f64| number.is_finite());
    let malformed = || EngineProtocolError::NotANumber { name: name.to_owned(), value: value.to_owned() };
    number.ok_or_else(malformed)
}
