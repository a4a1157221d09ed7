//! Reads and changes the configuration in the table service.

use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;
use woodgap_core::admin;
use woodgap_core::clock::Millis;
use woodgap_core::config::{Catalog, Document, Problem};
use woodgap_platform::Error as PlatformError;
use woodgap_platform::table::{Outcome, Place, Row, Scan, Table, Transaction};

use crate::configuration::record::{self, Change, Head};

/// Tries of one change against others that come in between.
const TRIES: u32 = 16;

/// Why a change was not accepted, or is not known to be.
#[derive(Debug, Error)]
pub enum Refusal {
    /// The document is not at the version expected.
    #[error("the document has changed")]
    Conflict {
        /// The document as it stands.
        current: Option<Box<Document>>,
        /// Its version.
        version: u64,
    },
    /// The change would break the configuration.
    #[error("the change breaks the configuration")]
    Invalid(Vec<Problem>),
    /// Other changes came in between every time.
    #[error("too many changes at once, try again")]
    Busy,
    /// The identity was used for another change.
    #[error("the identity was used for another change, of {0}")]
    IdentityReused(String),
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row can't be read.
    #[error("row {0} can't be read: {1}")]
    Row(String, String),
}

/// A change that is committed.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// The change.
    pub change: Change,
    /// Whether it had been committed before, under the same identity.
    pub already: bool,
}

impl Accepted {
    /// What its operator is told.
    pub fn applied(&self) -> admin::Applied {
        admin::Applied {
            revision: self.change.revision,
            version: self.change.version,
            already: self.already,
        }
    }
}

/// The configuration in the table service.
#[derive(Clone)]
pub struct Store<T> {
    table: T,
}

impl<T: Table> Store<T> {
    /// The configuration in this table service.
    pub fn new(table: T) -> Self {
        Self { table }
    }

    /// The changes after a revision, oldest first, up to one scan's worth.
    ///
    /// # Errors
    ///
    /// If the platform failed, or a row can't be read.
    pub async fn after(&self, revision: u64) -> Result<Vec<Change>, Refusal> {
        let after = if revision == 0 {
            String::new()
        } else {
            record::log_key(revision)
        };
        let scan = Scan {
            table: record::LOG.to_owned(),
            prefix: String::new(),
            after,
            limit: Scan::MOST,
        };
        let rows = self.table.scan(&scan).await?;
        rows.iter()
            .map(|row| decode(&row.key, &row.value))
            .collect()
    }

    /// Everything in force, as one catalog.
    ///
    /// The documents are read after the head, and then the log from the head on:
    /// a change that came in between is applied again, which changes nothing.
    ///
    /// # Errors
    ///
    /// If the platform failed, or a row can't be read.
    pub async fn everything(&self) -> Result<Catalog, Refusal> {
        let rows = self.table.read(&[record::head()]).await?;
        let head = match rows.first().and_then(Option::as_ref) {
            Some(row) => decode::<Head>(&row.key, &row.value)?.revision,
            None => 0,
        };
        let mut documents = Vec::new();
        for prefix in record::DOCUMENT_PREFIXES {
            self.documents(prefix, &mut documents).await?;
        }
        let mut catalog = Catalog::of(head, documents);
        self.catch_up(&mut catalog).await?;
        Ok(catalog)
    }

    async fn documents(&self, prefix: &str, documents: &mut Vec<Document>) -> Result<(), Refusal> {
        let mut scan = Scan {
            table: record::DOCUMENTS.to_owned(),
            prefix: prefix.to_owned(),
            after: String::new(),
            limit: Scan::MOST,
        };
        loop {
            let rows = self.table.scan(&scan).await?;
            for row in &rows {
                documents.push(decode::<Change>(&row.key, &row.value)?.document);
            }
            match rows.last() {
                Some(last) if rows.len() == Scan::MOST => scan.after.clone_from(&last.key),
                _ => return Ok(()),
            }
        }
    }

    /// Brings a catalog up to the newest revision.
    ///
    /// # Errors
    ///
    /// If the platform failed; the catalog then holds what was read so far.
    pub async fn catch_up(&self, catalog: &mut Catalog) -> Result<(), Refusal> {
        loop {
            let changes = self.after(catalog.revision()).await?;
            let last = changes.len() < Scan::MOST;
            for change in changes {
                catalog.apply(change.revision, change.document);
            }
            if last {
                return Ok(());
            }
        }
    }

    /// A document as it is kept.
    ///
    /// # Errors
    ///
    /// If the platform failed, or the row can't be read.
    pub async fn get(&self, key: &str) -> Result<Option<Change>, Refusal> {
        let rows = self.table.read(&[record::document(key)]).await?;
        rows.first()
            .and_then(Option::as_ref)
            .map(|row| decode(key, &row.value))
            .transpose()
    }

    /// Applies a change: all of it, once, or not at all.
    ///
    /// A lost acknowledgement is settled by reading the change's identity back.
    ///
    /// # Errors
    ///
    /// Why the change was not accepted.
    pub async fn apply(
        &self,
        catalog: &mut Catalog,
        apply: &admin::Apply,
        operator: &str,
        at: Millis,
    ) -> Result<Accepted, Refusal> {
        for _ in 0..TRIES {
            let before = self.before(apply).await?;
            if let Some(done) = before.done(apply)? {
                return Ok(Accepted {
                    change: done.clone(),
                    already: true,
                });
            }
            before.check_version(apply)?;
            self.catch_up(catalog).await?;
            if catalog.revision() != before.head {
                continue;
            }
            let problems = catalog.check(&apply.document);
            if !problems.is_empty() {
                return Err(Refusal::Invalid(problems));
            }
            let change = before.change(apply, operator, at);
            match self.table.transact(&before.transaction(&change)?).await {
                Ok(Outcome::Committed { .. }) => {
                    return Ok(Accepted {
                        change,
                        already: false,
                    });
                }
                // Someone was faster, or nobody knows: the next round reads it back.
                Ok(Outcome::Conflict { .. }) => {}
                Err(error) if error.may_have_taken_effect() => {}
                Err(error) => return Err(error.into()),
            }
        }
        Err(Refusal::Busy)
    }

    async fn before(&self, apply: &admin::Apply) -> Result<Before, Refusal> {
        let key = apply.document.key();
        let places = [
            record::head(),
            record::document(&key),
            record::change(&apply.change),
        ];
        let rows = self.table.read(&places).await?;
        let [head, document, done] = <[Option<Row>; 3]>::try_from(rows)
            .map_err(|_| Refusal::Row(key, "the table service left rows out".to_owned()))?;
        Before::read(head.as_ref(), document.as_ref(), done.as_ref())
    }
}

/// What a change is checked against.
struct Before {
    head: u64,
    head_row: u64,
    document_row: u64,
    current: Option<Change>,
    done: Option<Change>,
}

impl Before {
    fn read(
        head: Option<&Row>,
        document: Option<&Row>,
        done: Option<&Row>,
    ) -> Result<Self, Refusal> {
        let revision = match head {
            Some(row) => decode::<Head>(&row.key, &row.value)?.revision,
            None => 0,
        };
        let read = |row: &Row| decode::<Change>(&row.key, &row.value);
        Ok(Self {
            head: revision,
            head_row: head.map_or(0, |row| row.version),
            document_row: document.map_or(0, |row| row.version),
            current: document.map(read).transpose()?,
            done: done.map(read).transpose()?,
        })
    }

    fn done(&self, apply: &admin::Apply) -> Result<Option<&Change>, Refusal> {
        match &self.done {
            Some(done) if done.document != apply.document => {
                Err(Refusal::IdentityReused(done.document.key()))
            }
            done => Ok(done.as_ref()),
        }
    }

    fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |change| change.version)
    }

    fn check_version(&self, apply: &admin::Apply) -> Result<(), Refusal> {
        let version = self.version();
        if apply.expect.is_none_or(|expected| expected == version) {
            return Ok(());
        }
        let current = self
            .current
            .as_ref()
            .map(|change| Box::new(change.document.clone()));
        Err(Refusal::Conflict { current, version })
    }

    fn change(&self, apply: &admin::Apply, operator: &str, at: Millis) -> Change {
        Change {
            revision: self.head + 1,
            change: apply.change.clone(),
            operator: operator.to_owned(),
            at,
            version: self.version() + 1,
            document: apply.document.clone(),
        }
    }

    fn transaction(&self, change: &Change) -> Result<Transaction, Refusal> {
        let document: Place = record::document(&change.document.key());
        let identity = record::change(&change.change);
        let value = encode(change)?;
        Ok(Transaction::default()
            .check(record::head(), self.head_row)
            .check(document.clone(), self.document_row)
            .check(identity.clone(), 0)
            .put(
                record::head(),
                encode(&Head {
                    revision: change.revision,
                })?,
            )
            .put(document, value.clone())
            .put(record::log(change.revision), value.clone())
            .put(identity, value))
    }
}

fn decode<D: DeserializeOwned>(key: &str, value: &Value) -> Result<D, Refusal> {
    D::deserialize(value).map_err(|error| Refusal::Row(key.to_owned(), error.to_string()))
}

fn encode<S: serde::Serialize>(value: &S) -> Result<Value, Refusal> {
    serde_json::to_value(value).map_err(|error| Refusal::Row(String::new(), error.to_string()))
}
