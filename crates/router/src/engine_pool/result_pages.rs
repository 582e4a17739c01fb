//! Collects the pages of a result.

use super::protocol_error::EngineProtocolError;
use crate::resp;
use emberflow::{LoadReport, Usage};

/// Limit of the size of a result, all pages together.
pub(super) const MAX_RESULT_BYTES: usize = 48_000;

/// A result whose first page has arrived.
#[derive(Clone)]
pub(super) struct ResultPages {
    page_count: usize,
    pages: Vec<Option<Vec<u8>>>,
    pub usage: Option<Usage>,
    pub load_report: Option<LoadReport>,
}

impl ResultPages {
    /// Creates a result of `count` pages, at least one, from its first page.
    pub fn new(
        first_page: Vec<u8>,
        count: usize,
        usage: Option<Usage>,
        load_report: Option<LoadReport>,
    ) -> Self {
        let mut pages = vec![None; count];
        pages[0] = Some(first_page);
        Self { page_count: count, pages, usage, load_report }
    }

    /// Adds a page by its number, from 0. Returns false if that page has arrived before, or if the result has no page
    /// with that number.
    pub fn add(&mut self, page: usize, body: Vec<u8>) -> bool {
        match self.pages.get_mut(page) {
            Some(missing @ None) => {
                *missing = Some(body);
                true
            }
            _ => false,
        }
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
