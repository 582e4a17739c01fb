//! Collects the pages of a result.

use super::protocol_error::EngineProtocolError;
use crate::resp;
use emberflow::{LoadReport, Usage};
use std::collections::BTreeMap;
use std::ops::Range;

/// Limit of the size of a result, all pages together, by the protocol.
pub(super) const MAX_RESULT_BYTES: usize = 48_000;
/// Limit of the pages of a result that are requested and have not arrived. A result of full pages has fewer.
const MAX_OUTSTANDING_PAGES: usize = 16;
/// The number of the first page of a result.
pub(super) const FIRST_PAGE: usize = 0;

/// A result whose first page is arriving or has arrived. It holds only pages that belong to a valid result.
#[derive(Clone)]
pub(super) struct ResultPages {
    /// The number of pages that the engine announced.
    page_count: usize,
    /// The pages that have arrived, by their numbers.
    pages: BTreeMap<usize, Vec<u8>>,
    /// Size of the pages that have arrived.
    bytes: usize,
    /// The pages below this number were requested.
    requested: usize,
    pub usage: Option<Usage>,
    pub load_report: Option<LoadReport>,
}

impl ResultPages {
    /// Creates a result of `page_count` pages, at least one, of which none has arrived.
    pub fn new(page_count: usize, usage: Option<Usage>, load_report: Option<LoadReport>) -> Self {
        let requested = FIRST_PAGE + 1;
        Self { page_count, pages: BTreeMap::new(), bytes: 0, requested, usage, load_report }
    }

    /// Whether a page with this number is requested and has not arrived.
    ///
    /// # Errors
    /// Fails if the number is that of a page that has arrived with other content. Either of the two may have been
    /// altered.
    pub fn is_missing(&self, number: usize, page: &[u8]) -> Result<bool, EngineProtocolError> {
        match self.pages.get(&number) {
            Some(known) if known != page => Err(EngineProtocolError::ContradictoryPage(number)),
            Some(_) => Ok(false),
            None => Ok(number < self.requested),
        }
    }

    /// Checks a missing page before it is stored.
    ///
    /// # Errors
    /// Fails if the page is not made of complete rows, if it has no rows although the result has several pages, or if
    /// the result would exceed its limit. Such a result must never be forwarded to a client.
    pub fn check_missing_page(&self, number: usize, page: &[u8]) -> Result<(), EngineProtocolError> {
        // A result without rows has one page.
        if page.is_empty() && self.page_count > 1 {
            return Err(EngineProtocolError::EmptyPage(number));
        }
        if !resp::has_complete_rows(page) {
            return Err(EngineProtocolError::MalformedRows);
        }
        let bytes = self.bytes + page.len();
        if bytes > MAX_RESULT_BYTES { Err(EngineProtocolError::ResultTooLarge(bytes)) } else { Ok(()) }
    }

    /// Stores a missing page, which was checked.
    pub fn insert(&mut self, number: usize, page: Vec<u8>) {
        self.bytes += page.len();
        self.pages.insert(number, page);
    }

    /// Checks a repeated first page, which must announce `page_count` pages and have the same rows.
    ///
    /// # Errors
    /// Fails if the two differ. Either of them may have been altered.
    pub fn check_first_page_copy(&self, page_count: usize, page: &[u8]) -> Result<(), EngineProtocolError> {
        if page_count != self.page_count {
            return Err(EngineProtocolError::ContradictoryPage(FIRST_PAGE));
        }
        self.is_missing(FIRST_PAGE, page).map(drop)
    }

    /// Returns the numbers of the pages to be requested now, and marks them as requested. The output to an engine thus
    /// does not grow with the number of pages that the engine announces.
    pub fn take_page_requests(&mut self) -> Range<usize> {
        let outstanding = self.requested - self.pages.len();
        let first = self.requested;
        self.requested = (first + MAX_OUTSTANDING_PAGES - outstanding).min(self.page_count);
        first..self.requested
    }

    /// Whether one missing page completes the result.
    pub fn lacks_one_page(&self) -> bool {
        self.pages.len() + 1 == self.page_count
    }

    /// Whether all pages have arrived.
    pub fn is_complete(&self) -> bool {
        self.pages.len() == self.page_count
    }

    /// Returns the number of pages that the engine announced.
    pub fn page_count(&self) -> usize {
        self.page_count
    }

    /// Returns the bytes of the pages that have arrived.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the pages that have arrived, concatenated in their order.
    pub fn body(&self) -> Vec<u8> {
        let mut body = Vec::with_capacity(self.bytes);
        for page in self.pages.values() {
            body.extend_from_slice(page);
        }
        body
    }

    /// Returns the pages that have arrived, for fingerprints.
    pub fn pages(&self) -> &BTreeMap<usize, Vec<u8>> {
        &self.pages
    }
}
