//! Macros for the derives and id newtypes that all packages use.

/// Adds the derives of plain data types.
///
/// A type becomes `Debug`, `Clone`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
/// `data! { float ... }` omits `Eq`, for types that contain floats.
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
/// A name has 1 to 64 characters from `a-z A-Z 0-9 . _ -`; any other text gives an
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
                /// Creates a name from a text, or an error if the text is not a valid name.
                pub fn new(text: impl Into<String>) -> std::result::Result<Self, $crate::ids::IdError> {
                    $crate::ids::check_name(stringify!($name), text.into()).map(Self)
                }

                /// Returns the text of the name.
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
                /// Creates an id from a number.
                pub const fn new(number: u64) -> Self {
                    Self(number)
                }

                /// Returns the id with the next number.
                #[must_use]
                pub const fn next(self) -> Self {
                    Self(self.0 + 1)
                }

                /// Returns the number.
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
