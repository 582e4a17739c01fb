//! The ids of requests, engines and keys. An id is a number that the caller assigns. Requests, engines and keys have
//! different id types, so that the compiler rejects an engine's id where a request's id is expected.

use std::fmt::{Debug, Display, Formatter, Result};

/// Defines the type of one kind of id, which is printed as the bare number.
macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident($number:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(transparent)]
        pub struct $name(pub $number);

        impl $name {
            /// Converts an index into a table of the caller to an id.
            pub const fn from_index(index: usize) -> Self {
                Self(index as $number)
            }

            /// Converts the id to an index into a table of the caller.
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl Debug for $name {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
                Debug::fmt(&self.0, formatter)
            }
        }

        impl Display for $name {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
                Display::fmt(&self.0, formatter)
            }
        }
    };
}

id_type! {
    /// The number of a request. Numbers increase in the order of arrival and are never reused.
    RequestId(u32)
}

id_type! {
    /// The number of an engine, which may be reused after [`Actions::forget`](crate::Actions::forget).
    EngineId(usize)
}

id_type! {
    /// The number of an ordering key, whose requests run one at a time in the order of arrival.
    KeyId(u32)
}
