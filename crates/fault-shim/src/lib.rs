//! A library that is preloaded (`LD_PRELOAD`) into a router under test. It replaces some functions of the C library and
//! injects faults according to environment variables:
//!
//! | variable | effect |
//! | --- | --- |
//! | `FAULT_SHIM_SLOWDOWN` | computations take this many times as long, as on a fraction of a core |
//! | `FAULT_SHIM_CLOCK_STEP_MS`, `FAULT_SHIM_CLOCK_STEP_AT_MS` | the wall clock steps by the first value, when the second value has passed since the process first read it |
//! | `FAULT_SHIM_FAIL_EVERY` | every Nth call of `accept4`, `socket`, `connect`, `recv` and `send` fails with an error that Linux documents |
//!
//! For the slowdown, the process sleeps when it reads the monotonic clock, which the router does between events.

mod clock;
mod failures;
mod settings;
mod sockets;
