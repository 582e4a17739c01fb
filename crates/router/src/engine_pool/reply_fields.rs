//! Decodes the fields of engines' replies.

use super::protocol_error::EngineProtocolError;
use crate::config::MAX_PEER_NUMBER;
use crate::field_list::{FieldList, Separators};
use emberflow::{LoadReport, ProgressUpdate, Usage};
use emberflow_settings::{build_load_report, from_ms};

/// Limit of the number of pages of a result.
pub(super) const MAX_PAGES: usize = 256;
/// The separators of a reply's fields.
const FIELD_SEPARATORS: Separators = Separators { field: ',', value: '=' };
/// The separators of the figures of a load report.
const LOAD_SEPARATORS: Separators = Separators { field: ';', value: ':' };
/// Value of a `stall` report if the attempt waits for memory.
const STALLED_FOR_MEMORY: f64 = 1.0;
/// Value of a `stall` report if the attempt waits for a bulk load of its table group.
const STALLED_FOR_BULK_LOAD: f64 = 2.0;

/// The undecoded fields of a reply.
pub(super) struct EncodedFields(pub String);

impl EncodedFields {
    /// Decodes the list of fields. The values are decoded on access.
    ///
    /// # Errors
    /// Fails if the text is not a list of names and values.
    pub fn decode(&self) -> Result<ReplyFields<'_>, EngineProtocolError> {
        Ok(ReplyFields(FieldList::parse(&self.0, FIELD_SEPARATORS)?))
    }
}

/// The names and values of a reply's fields. Each value is decoded on access.
pub(super) struct ReplyFields<'a>(FieldList<'a>);

impl<'a> ReplyFields<'a> {
    fn text(&self, name: &str) -> Option<&'a str> {
        self.0.get(name)
    }

    /// Decodes a numeric field; `None` if the reply does not have it.
    fn number(&self, name: &str) -> Result<Option<f64>, EngineProtocolError> {
        self.text(name).map(|value| parse_number(name, value)).transpose()
    }

    /// Decodes a numeric field that must be a whole number; `None` if the reply does not have it.
    fn whole_number(&self, name: &str) -> Result<Option<usize>, EngineProtocolError> {
        match self.number(name)? {
            Some(number) if number.fract() != 0.0 => {
                Err(EngineProtocolError::NotWhole { name: name.to_owned(), value: number })
            }
            number => Ok(number.map(|number| number as usize)),
        }
    }

    /// Decodes the load report, if the reply carries one.
    pub fn load_report(&self) -> Result<Option<LoadReport>, EngineProtocolError> {
        self.text("use").map(parse_load_report).transpose()
    }

    /// Decodes the number of pages of a result. Every result must state it, because a result with missing pages looks
    /// like a complete one.
    pub fn page_count(&self) -> Result<usize, EngineProtocolError> {
        let pages = self.whole_number("pages")?.ok_or(EngineProtocolError::NoPageCount)?;
        if !(1..=MAX_PAGES).contains(&pages) {
            return Err(EngineProtocolError::PageCount(pages));
        }
        Ok(pages)
    }

    /// Decodes the number of a further page of a result.
    pub fn page_number(&self) -> Result<usize, EngineProtocolError> {
        self.whole_number("page")?.ok_or(EngineProtocolError::NoPageNumber)
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
    let figures = FieldList::parse(text, LOAD_SEPARATORS)?;
    build_load_report(|names| {
        for name in names {
            if let Some(value) = figures.get(name) {
                return parse_number(name, value).map(Some);
            }
        }
        Ok(None)
    })
}

/// Decodes a number from 0 to [`MAX_PEER_NUMBER`].
fn parse_number(name: &str, value: &str) -> Result<f64, EngineProtocolError> {
    let number = value.parse().ok().filter(|number| (0.0..=MAX_PEER_NUMBER).contains(number));
    let invalid = || EngineProtocolError::NotANumber { name: name.to_owned(), value: value.to_owned() };
    number.ok_or_else(invalid)
}
