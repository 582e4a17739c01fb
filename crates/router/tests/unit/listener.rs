//! Tests of the classification of errors of accepting a connection.

use super::AcceptFailure;
use std::io;

fn failure(code: libc::c_int) -> AcceptFailure {
    AcceptFailure::of(&io::Error::from_raw_os_error(code))
}

#[test]
fn accept_errors_are_classified_by_the_missing_resource() {
    assert_eq!(failure(libc::EAGAIN), AcceptFailure::NoConnection);
    assert_eq!(failure(libc::EMFILE), AcceptFailure::OutOfDescriptors);
    for code in [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EPERM] {
        assert_eq!(failure(code), AcceptFailure::OutOfResources, "error {code}");
    }
    for code in [libc::ECONNABORTED, libc::EINTR, libc::EPROTO, libc::EHOSTUNREACH, libc::ENETUNREACH] {
        assert_eq!(failure(code), AcceptFailure::ConnectionFailed, "error {code}");
    }
}
