//! Results of several pages, and the forms in which engines spoil them.

use super::calls::record_result;
use super::{EngineFault, Engines};
use crate::records::Records;
use crate::statements::result_page;
use emberflow_peer_protocol::engine::{EngineReply, UsedResources};
use emberflow_peer_protocol::resp::encode_array;

/// Number of pages of a result of an engine that spoils results.
const PAGES: u32 = 3;
/// Number of pages that a result claims in [`Form::LargePages`].
const CLAIMED_PAGES: u32 = 256;
/// Approximate size of a page in [`Form::LargePages`], ten times the protocol's limit.
const LARGE_PAGE_BYTES: usize = 60_000;
/// Offset of the number of parts in an encoded reply.
const PART_COUNT_OFFSET: usize = 1;
/// A result of `3 GB`, of which the beginning is sent.
const ENDLESS_BODY_LENGTH: &str = "$3221225472\r\n";

/// How a result is spoilt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Form {
    /// The array of the first page announces three parts in place of four.
    ShortFirstPage,
    /// The array of the second page announces three parts in place of four.
    ShortSecondPage,
    /// Noise stands in place of the name of the field with the number of pages.
    NoisyFields,
    /// The body of the first page is announced shorter than it is.
    ShortBody,
    /// The body of the first page is announced as 3 GB.
    EndlessBody,
    /// The result claims many pages, and each has ten times the size of a page.
    LargePages,
}

/// All forms, in the order in which an engine uses them.
const FORMS: [Form; 6] = [
    Form::ShortFirstPage,
    Form::ShortSecondPage,
    Form::NoisyFields,
    Form::ShortBody,
    Form::EndlessBody,
    Form::LargePages,
];

/// A result of several pages of which the router may request further pages.
pub(super) struct PagedResult {
    /// Index of the attempt in the request's record.
    attempt: usize,
    /// How the result is spoilt; `None` for a good one.
    form: Option<Form>,
}

/// Returns a reply whose array announces three parts in place of four.
fn with_short_array(mut reply: Vec<u8>) -> Vec<u8> {
    reply[PART_COUNT_OFFSET] = b'3';
    reply
}

/// Returns complete rows of about [`LARGE_PAGE_BYTES`].
fn large_page(page: &str) -> String {
    page.repeat(LARGE_PAGE_BYTES / page.len())
}

/// Returns the encoded first page of a result, whose rows are `page`.
fn first_page(request_id: &str, page: &str, used: UsedResources, form: Option<Form>) -> Vec<u8> {
    let encoded = |pages, rows: &str| {
        EngineReply::Result { pages, used: Some(used), rows: rows.as_bytes() }.encode(request_id)
    };
    let good = encoded(PAGES, page);
    match form {
        None | Some(Form::ShortSecondPage) => good,
        Some(Form::ShortFirstPage) => with_short_array(good),
        Some(Form::NoisyFields) => {
            let fields = format!("p#\u{1}z~={PAGES},cost=20.0,need=10.0");
            encode_array(&[request_id.as_bytes(), b"HIT", fields.as_bytes(), page.as_bytes()])
        }
        Some(Form::ShortBody) => {
            replaced(&good, &format!("${}\r\n{page}", page.len()), &format!("$3\r\n{page}"))
        }
        Some(Form::EndlessBody) => {
            replaced(&good, &format!("${}\r\n{page}", page.len()), &format!("{ENDLESS_BODY_LENGTH}{page}"))
        }
        Some(Form::LargePages) => encoded(CLAIMED_PAGES, &large_page(page)),
    }
}

/// Returns an encoded reply in which a text is replaced.
fn replaced(reply: &[u8], from: &str, to: &str) -> Vec<u8> {
    String::from_utf8_lossy(reply).replace(from, to).into_bytes()
}

impl Engines {
    /// Makes a result of several pages, spoils every second one, and returns its encoded first page.
    pub(super) fn make_paged_result(
        &mut self,
        engine_index: usize,
        request_id: &str,
        attempt: usize,
        used: UsedResources,
        records: &mut Records,
    ) -> Vec<u8> {
        let engine = &mut self.engines[engine_index];
        let is_spoilt = engine.results_made.is_multiple_of(2);
        let form = is_spoilt.then(|| FORMS[engine.results_made / 2 % FORMS.len()]);
        engine.results_made += 1;
        engine.paged_results.insert(request_id.to_owned(), PagedResult { attempt, form });
        record_result(request_id, attempt, PAGES, records);
        first_page(request_id, &result_page(request_id, engine_index, attempt, 0), used, form)
    }

    /// Sends a further page of a result, or a failure if the engine does not know the result.
    pub(super) fn send_page(&mut self, connection: usize, request_id: &str, number: &str) {
        let Some(source) = self.connections.get(connection) else { return };
        let engine_index = source.engine;
        let engine = &self.engines[engine_index];
        if engine.fault == EngineFault::Silent {
            return;
        }
        let Some((result, number)) = engine.paged_results.get(request_id).zip(number.parse().ok()) else {
            return self.send(connection, request_id, EngineReply::Failed);
        };
        let rows = result_page(request_id, engine_index, result.attempt, number);
        let encoded =
            |sent: &str| EngineReply::Page { page: number, rows: sent.as_bytes() }.encode(request_id);
        let bytes = match result.form {
            Some(Form::ShortSecondPage) => with_short_array(encoded(&rows)),
            Some(Form::LargePages) => encoded(&large_page(&rows)),
            _ => encoded(&rows),
        };
        if let Some(open) = self.connections.get_mut(connection) {
            open.stream.send(&bytes);
        }
    }

    /// Forgets a result whose further pages are not wanted.
    pub(super) fn close_pages(&mut self, connection: usize, request_id: &str) {
        if let Some(source) = self.connections.get(connection) {
            self.engines[source.engine].paged_results.remove(request_id);
        }
    }
}
