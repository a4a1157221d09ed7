//! Who a caller is, and what it may ask for.

use std::sync::Arc;

use actix_web::HttpRequest;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use woodgap_core::config::Catalog;
use woodgap_core::config::catalog::{Class, Workspace};
use woodgap_core::name;

use crate::caller::entries;
use crate::request::{Code, Problem};
use crate::shared::Shared;

/// Header that names the class.
const CLASS_HEADER: &str = "x-woodgap-class";
/// Header that carries the identity.
pub const IDENTITY_HEADER: &str = "idempotency-key";
/// The longest identity, in bytes.
const IDENTITY_LIMIT: usize = 200;
/// The scheme of the key's header.
const SCHEME: &str = "Bearer ";

/// A caller whose key was recognised.
#[derive(Clone, Debug)]
pub struct Authority {
    /// The workspace.
    pub workspace: Arc<Workspace>,
    /// The revision of the configuration that recognised it.
    pub revision: u64,
    class: Option<String>,
    /// The request's identity, if it has one.
    pub identity: Option<String>,
}

impl Authority {
    /// Recognises the caller of a request.
    ///
    /// # Errors
    ///
    /// If the entry takes no new work, has no configuration, or does not know the key.
    pub fn of(shared: &Shared, request: &HttpRequest) -> Result<Self, Problem> {
        if shared.stopping() {
            let another = entries::another(shared);
            let message = format!("this entry takes no new work{another}");
            return Err(Problem::not_run(Code::Stopping, message));
        }
        let catalog = shared
            .in_force
            .confirmed(shared.clock.now())
            .ok_or_else(|| {
                let another = entries::another(shared);
                let message = format!("this entry has no confirmed configuration{another}");
                Problem::not_run(Code::NotReady, message)
            })?;
        Ok(Self {
            workspace: workspace(&catalog, request)?,
            revision: catalog.revision(),
            class: text(request, CLASS_HEADER)?.map(str::to_owned),
            identity: identity(request)?,
        })
    }

    /// The class that the request is in, for a target.
    ///
    /// # Errors
    ///
    /// If the workspace lacks the class, or no class may use the target.
    pub fn class(&self, target: &str) -> Result<(&name::Class, &Class), Problem> {
        let serves = |class: &Class| class.targets.iter().any(|known| known.as_str() == target);
        let Some(wanted) = &self.class else {
            let classes = || {
                self.workspace
                    .classes
                    .iter()
                    .filter(|(_, class)| serves(class))
            };
            let found = classes()
                .find(|(_, class)| class.repeatable)
                .or_else(|| classes().next());
            return found.ok_or_else(|| unknown_target(target));
        };
        let Some((name, class)) = self.workspace.classes.get_key_value(wanted.as_str()) else {
            let message = format!("this workspace has no class `{wanted}`");
            return Err(Problem::not_run(Code::ClassNotBought, message));
        };
        if serves(class) {
            Ok((name, class))
        } else {
            Err(unknown_target(target))
        }
    }

    /// The class that a deferred request is in, for a target.
    ///
    /// # Errors
    ///
    /// If the workspace lacks the class, or no class that may be deferred may use
    /// the target.
    pub fn deferrable(&self, target: &str) -> Result<(&name::Class, &Class), Problem> {
        let refused = |message: String| Problem::not_run(Code::NotDeferrable, message);
        if let Some(wanted) = &self.class {
            let (name, class) = self.class(target)?;
            if class.deferrable {
                return Ok((name, class));
            }
            return Err(refused(format!("class `{wanted}` may not be deferred")));
        }
        let serves = |class: &Class| class.targets.iter().any(|known| known.as_str() == target);
        let mut classes = self.workspace.classes.iter();
        if !classes.clone().any(|(_, class)| serves(class)) {
            return Err(unknown_target(target));
        }
        let found = classes.find(|(_, class)| class.deferrable && serves(class));
        found.ok_or_else(|| refused(format!("no class for `{target}` may be deferred")))
    }

    /// The identity, which a class whose requests may not be repeated requires.
    ///
    /// # Errors
    ///
    /// If it is required and missing.
    pub fn check_identity(&self, class: &Class) -> Result<(), Problem> {
        if class.repeatable || self.identity.is_some() {
            return Ok(());
        }
        let message = "requests of this class may not be repeated: send an Idempotency-Key header";
        Err(Problem::not_run(Code::IdentityRequired, message))
    }
}

fn unknown_target(target: &str) -> Problem {
    let message = format!("no class of this workspace may use `{target}`, see /v1/models");
    Problem::not_run(Code::UnknownTarget, message)
}

fn workspace(catalog: &Catalog, request: &HttpRequest) -> Result<Arc<Workspace>, Problem> {
    let unknown = || Problem::not_run(Code::UnknownKey, "no workspace has this key");
    let key = text(request, "authorization")?
        .and_then(|header| header.strip_prefix(SCHEME))
        .ok_or_else(unknown)?;
    let digest = digest(key);
    let workspace = catalog.by_key(&digest).ok_or_else(unknown)?;
    // The look-up is by digest, so its timing says nothing of a key; comparing
    // once more in constant time keeps that true whatever the map does.
    let known = workspace
        .keys
        .iter()
        .any(|known| bool::from(known.as_bytes().ct_eq(digest.as_bytes())));
    if known {
        Ok(Arc::clone(workspace))
    } else {
        Err(unknown())
    }
}

/// SHA-256 of a key, in hexadecimal.
///
/// ```
/// use woodgap_entry::caller::authority::digest;
///
/// assert!(digest("abc").starts_with("ba7816bf"));
/// ```
pub fn digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

fn identity(request: &HttpRequest) -> Result<Option<String>, Problem> {
    let Some(identity) = text(request, IDENTITY_HEADER)? else {
        return Ok(None);
    };
    let good = (1..=IDENTITY_LIMIT).contains(&identity.len())
        && identity.bytes().all(|byte| byte.is_ascii_graphic());
    if good {
        return Ok(Some(identity.to_owned()));
    }
    let message = format!("Idempotency-Key must be 1 to {IDENTITY_LIMIT} visible ASCII characters");
    Err(Problem::not_run(Code::BadRequest, message))
}

fn text<'a>(request: &'a HttpRequest, header: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = request.headers().get(header) else {
        return Ok(None);
    };
    let unreadable = |_| Problem::not_run(Code::BadRequest, format!("header {header} is not text"));
    value.to_str().map(Some).map_err(unreadable)
}
