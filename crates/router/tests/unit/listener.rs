//! Tests of the classification of errors of `accept`. The classes matter because closing an idle client only helps if
//! the process has reached its own limit of descriptors.

use super::AcceptFailure;
use std::io;

fn classify(error_code: libc::c_int) -> AcceptFailure {
    AcceptFailure::of(&io::Error::from_raw_os_error(error_code))
}

#[test]
fn accept_errors_are_classified_by_the_missing_resource() {
    assert_eq!(classify(libc::EAGAIN), AcceptFailure::NoConnection);
    assert_eq!(classify(libc::EMFILE), AcceptFailure::OutOfDescriptors);
    for code in [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EPERM] {
        assert_eq!(classify(code), AcceptFailure::OutOfResources, "error {code}");
    }
    for code in [libc::ECONNABORTED, libc::EINTR, libc::EPROTO, libc::EHOSTUNREACH, libc::ENETUNREACH] {
        assert_eq!(classify(code), AcceptFailure::ConnectionFailed, "error {code}");
    }
}
