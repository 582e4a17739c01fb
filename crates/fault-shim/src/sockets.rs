//! Replaces socket functions: some of their calls fail with an error after which a repeated call may succeed.

use crate::failures::Failures;
use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};
use std::sync::OnceLock;

static ACCEPTS: Failures = Failures::new(&[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR]);
static SOCKETS: Failures = Failures::new(&[libc::ENFILE, libc::ENOBUFS, libc::EMFILE]);
static CONNECTS: Failures = Failures::new(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS]);
static RECEIVES: Failures = Failures::new(&[libc::EINTR]);
static SENDS: Failures = Failures::new(&[libc::EINTR]);

/// Returns the function of this name in the library after this one, which is the C library.
fn next_function(name: &'static std::ffi::CStr) -> *mut c_void {
    // SAFETY: the name is a C string, and the handle is a constant of the C library.
    let function = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!function.is_null(), "the C library has no function {name:?}");
    function
}

/// Defines the function `$getter`. It returns the C library's function `$name`, and looks it up at its first call only.
macro_rules! c_function {
    ($getter:ident, $name:literal, $signature:ty) => {
        fn $getter() -> $signature {
            static FUNCTION: OnceLock<$signature> = OnceLock::new();
            // SAFETY: the C library's function of this name has this signature.
            *FUNCTION.get_or_init(|| unsafe {
                std::mem::transmute::<*mut c_void, $signature>(next_function($name))
            })
        }
    };
}

type AcceptFunction = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type SocketFunction = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type ConnectFunction = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type ReceiveFunction = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type SendFunction = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

c_function!(real_accept4, c"accept4", AcceptFunction);
c_function!(real_socket, c"socket", SocketFunction);
c_function!(real_connect, c"connect", ConnectFunction);
c_function!(real_recv, c"recv", ReceiveFunction);
c_function!(real_send, c"send", SendFunction);

/// Replaces the C library's function; some calls fail.
///
/// # Safety
/// As for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if ACCEPTS.fail_next_call().is_some() {
        return -1;
    }
    // SAFETY: the caller keeps the contract of the replaced function.
    unsafe { real_accept4()(socket, address, length, flags) }
}

/// Replaces the C library's function; some calls fail.
///
/// # Safety
/// As for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && SOCKETS.fail_next_call().is_some() {
        return -1;
    }
    // SAFETY: the caller keeps the contract of the replaced function.
    unsafe { real_socket()(domain, kind, protocol) }
}

/// Replaces the C library's function; some calls fail.
///
/// # Safety
/// As for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if CONNECTS.fail_next_call().is_some() {
        return -1;
    }
    // SAFETY: the caller keeps the contract of the replaced function.
    unsafe { real_connect()(socket, address, length) }
}

/// Replaces the C library's function; some calls fail.
///
/// # Safety
/// As for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if RECEIVES.fail_next_call().is_some() {
        return -1;
    }
    // SAFETY: the caller keeps the contract of the replaced function.
    unsafe { real_recv()(socket, buffer, length, flags) }
}

/// Replaces the C library's function; some calls fail.
///
/// # Safety
/// As for the replaced function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if SENDS.fail_next_call().is_some() {
        return -1;
    }
    // SAFETY: the caller keeps the contract of the replaced function.
    unsafe { real_send()(socket, buffer, length, flags) }
}
