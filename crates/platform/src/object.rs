//! The object store: whole objects by key, with conditional writes.
//!
//! Over HTTP: `PUT`, `GET` and `DELETE` on `/objects/{key}`, with
//! `If-None-Match: *` or `If-Match: "{tag}"` for a conditional write, and an
//! `ETag` header in answers. 412 says that the condition did not hold.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::Error;

/// Path before an object's key.
pub const PATH: &str = "/objects/";

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition<'a> {
    /// Write in any case.
    Always,
    /// Write only if there is no such object.
    Absent,
    /// Write only over the object with this tag.
    Tag(&'a str),
}

/// An object as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The bytes.
    pub body: Bytes,
    /// Changes with every write.
    pub tag: String,
}

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Written, with the new tag.
    Written(String),
    /// The condition did not hold; nothing was written.
    Conflict,
}

/// The object store.
pub trait Store {
    /// Writes an object. Keys are segments of `[A-Za-z0-9._-]`, separated by `/`.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the write may have taken effect.
    fn put<'a>(
        &'a self,
        key: &'a str,
        body: Bytes,
        condition: Condition<'a>,
    ) -> LocalBoxFuture<'a, Result<Outcome, Error>>;

    /// Reads an object; none where there is none.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Object>, Error>>;

    /// Deletes an object; deleting what is not there is no error.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the delete may have taken effect.
    fn delete<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<(), Error>>;
}
