//! Macros for the derives and id types that stand in every package.

/// Adds the derives that plain data types share.
///
/// The type becomes `Debug`, `Clone`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
/// `data! { float ... }` leaves out `Eq`, for types that hold floats.
#[macro_export]
macro_rules! data {
    (float $($item:item)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, $crate::serde::Serialize, $crate::serde::Deserialize)]
            #[serde(crate = "snipemast_core::serde")]
            $item
        )+
    };
    ($($item:item)+) => {
        $(
            #[derive(
                Debug, Clone, PartialEq, Eq, $crate::serde::Serialize, $crate::serde::Deserialize,
            )]
            #[serde(crate = "snipemast_core::serde")]
            $item
        )+
    };
}

/// Defines newtypes over `String` for names that people choose.
///
/// A name has 1 to 64 characters out of `a-z A-Z 0-9 . _ -`; anything else is an
/// [`IdError`](crate::ids::IdError).
#[macro_export]
macro_rules! name_ids {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
                $crate::serde::Serialize, $crate::serde::Deserialize,
            )]
            #[serde(crate = "snipemast_core::serde", try_from = "String", into = "String")]
            pub struct $name(String);

            impl $name {
                /// Checks the text and wraps it.
                pub fn new(text: impl Into<String>) -> std::result::Result<Self, $crate::ids::IdError> {
                    $crate::ids::check_name(stringify!($name), text.into()).map(Self)
                }

                /// The text of the name.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::ids::IdError;

                fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
                    Self::new(text)
                }
            }

            impl TryFrom<String> for $name {
                type Error = $crate::ids::IdError;

                fn try_from(text: String) -> std::result::Result<Self, Self::Error> {
                    Self::new(text)
                }
            }

            impl From<$name> for String {
                fn from(name: $name) -> Self {
                    name.0
                }
            }
        )+
    };
}

/// Defines newtypes over `u64` for numbers that only grow.
#[macro_export]
macro_rules! number_ids {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                $crate::serde::Serialize, $crate::serde::Deserialize,
            )]
            #[serde(crate = "snipemast_core::serde", transparent)]
            pub struct $name(pub u64);

            impl $name {
                /// Wraps the number.
                pub const fn new(number: u64) -> Self {
                    Self(number)
                }

                /// The number that follows.
                #[must_use]
                pub const fn next(self) -> Self {
                    Self(self.0 + 1)
                }

                /// The bare number.
                pub const fn get(self) -> u64 {
                    self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(f, "{}", self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::ids::IdError;

                fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
                    $crate::ids::parse_number(stringify!($name), text).map(Self)
                }
            }
        )+
    };
}
