//! Collects the pages of a result.

use super::protocol_error::EngineProtocolError;
use crate::resp;
use emberflow::{LoadReport, Usage};

/// Limit of the size of a result, all pages together.
pub(super) const MAX_RESULT_BYTES: usize = 48_000;

/// The number of the first page of a result.
const FIRST_PAGE: usize = 0;

/// A result whose first page has arrived.
#[derive(Clone)]
pub(super) struct ResultPages {
    page_count: usize,
    pages: Vec<Option<Vec<u8>>>,
    pub usage: Option<Usage>,
    pub load_report: Option<LoadReport>,
}

impl ResultPages {
    /// Creates a result of `page_count` pages, at least one, from its first page.
    ///
    /// # Errors
    /// Fails if the result has several pages and the first one has no rows.
    pub fn new(
        first_page: Vec<u8>,
        page_count: usize,
        usage: Option<Usage>,
        load_report: Option<LoadReport>,
    ) -> Result<Self, EngineProtocolError> {
        let mut result = Self { page_count, pages: vec![None; page_count], usage, load_report };
        result.add(FIRST_PAGE, first_page)?;
        Ok(result)
    }

    /// Adds a page by its number, from 0. Returns false if that page has arrived before, or if the result has no page
    /// with that number.
    ///
    /// # Errors
    /// Fails if the page differs from the one that has arrived before under its number, or if the result has several
    /// pages and this one has no rows.
    pub fn add(&mut self, number: usize, page: Vec<u8>) -> Result<bool, EngineProtocolError> {
        match self.pages.get_mut(number) {
            None => Ok(false),
            Some(Some(known)) if *known != page => Err(EngineProtocolError::ContradictoryPage(number)),
            Some(Some(_)) => Ok(false),
            // A result without rows has one page.
            Some(None) if page.is_empty() && self.page_count > 1 => {
                Err(EngineProtocolError::EmptyPage(number))
            }
            Some(missing @ None) => {
                *missing = Some(page);
                Ok(true)
            }
        }
    }

    /// Checks a repeated first page, which must announce `page_count` pages and have the same rows.
    ///
    /// # Errors
    /// Fails if the two differ. Either of them may have been altered.
    pub fn check_first_page_copy(&self, page_count: usize, page: &[u8]) -> Result<(), EngineProtocolError> {
        let known = self.pages.get(FIRST_PAGE).and_then(Option::as_deref);
        let is_copy = page_count == self.page_count && known == Some(page);
        if is_copy { Ok(()) } else { Err(EngineProtocolError::ContradictoryPage(FIRST_PAGE)) }
    }

    /// Whether all pages have arrived.
    pub fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// Returns the number of pages that the engine announced, also after the pages were taken.
    pub fn page_count(&self) -> usize {
        self.page_count
    }

    /// Returns the bytes of the pages that have arrived.
    pub fn bytes(&self) -> usize {
        self.pages.iter().flatten().map(Vec::len).sum()
    }

    /// Takes the pages out and concatenates them.
    ///
    /// # Errors
    /// Fails if a page is not made of complete rows, or if the result is too large. Such a result must never be
    /// forwarded to a client.
    pub fn take_body(&mut self) -> Result<Vec<u8>, EngineProtocolError> {
        let pages: Vec<Vec<u8>> = std::mem::take(&mut self.pages).into_iter().flatten().collect();
        if !pages.iter().all(|page| resp::has_complete_rows(page)) {
            return Err(EngineProtocolError::MalformedRows);
        }
        let body = pages.concat();
        if body.len() > MAX_RESULT_BYTES {
            return Err(EngineProtocolError::ResultTooLarge(body.len()));
        }
        Ok(body)
    }

    /// Returns the pages, for fingerprints; `None` in place of a page that has not arrived.
    pub fn pages(&self) -> &[Option<Vec<u8>>] {
        &self.pages
    }
}
