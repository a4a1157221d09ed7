//! The configuration in force: every workspace, resolved.

use std::collections::BTreeMap;
use std::sync::Arc;

use imbl::{HashMap, OrdMap};

use crate::clock::Millis;
use crate::config::document::{Document, Measure, Template, Values};
use crate::config::resolve::{Problem, resolve};
use crate::name;
use crate::tier::Tier;

/// Hexadecimal digits of a key's SHA-256.
const DIGEST_DIGITS: usize = 64;

/// A workspace with every parameter filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// The workspace's name.
    pub name: name::Workspace,
    /// The tier that it has bought.
    pub tier: Tier,
    /// The classes that it may send.
    pub classes: Arc<Classes>,
    /// SHA-256 of each of its keys, in hexadecimal.
    pub keys: Vec<String>,
}

/// Classes by name.
pub type Classes = BTreeMap<name::Class, Class>;

/// A class with every parameter filled in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Models and plain services that the class may use.
    pub targets: Vec<name::Target>,
    /// The latency target.
    pub target: Millis,
    /// What the latency target measures.
    pub measure: Measure,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Whether a request may be deferred.
    pub deferrable: bool,
    /// Weight among the workspace's classes.
    pub weight: u64,
}

/// All documents of one revision, with what they resolve to.
///
/// A clone shares all that does not change: each change of the configuration
/// makes a catalog beside the one that requests still read.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    revision: u64,
    templates: OrdMap<String, Arc<Template>>,
    values: OrdMap<String, Arc<Values>>,
    workspaces: OrdMap<String, Arc<Workspace>>,
    by_key: HashMap<String, Arc<Workspace>>,
    /// Thousands of workspaces have the same classes: each set is kept once.
    classes: HashMap<Arc<Classes>, Arc<Classes>>,
}

impl Catalog {
    /// All documents of one revision, in any order.
    ///
    /// ```
    /// use woodgap_core::config::Catalog;
    ///
    /// assert_eq!(Catalog::of(7, Vec::new()).revision(), 7);
    /// ```
    pub fn of(revision: u64, documents: Vec<Document>) -> Self {
        let mut catalog = Self {
            revision,
            ..Self::default()
        };
        let (templates, workspaces): (Vec<_>, Vec<_>) = documents
            .into_iter()
            .partition(|document| matches!(document, Document::Template(_)));
        for document in templates.into_iter().chain(workspaces) {
            catalog.put(document);
        }
        catalog
    }

    /// The revision of the newest change within.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The workspace that a key's SHA-256, in hexadecimal, belongs to.
    pub fn by_key(&self, digest: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(digest)
    }

    /// A workspace by name.
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// All workspaces, by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.values()
    }

    /// A document by its row key.
    pub fn document(&self, key: &str) -> Option<Document> {
        let (kind, name) = key.split_once('/')?;
        match kind {
            "template" => Some(Document::Template(Template::clone(
                self.templates.get(name)?,
            ))),
            "workspace" => Some(Document::Workspace(Values::clone(self.values.get(name)?))),
            _ => None,
        }
    }

    /// All documents, templates first.
    pub fn documents(&self) -> impl Iterator<Item = Document> {
        let templates = self
            .templates
            .values()
            .map(|template| Document::Template(Template::clone(template)));
        let values = self
            .values
            .values()
            .map(|values| Document::Workspace(Values::clone(values)));
        templates.chain(values)
    }

    /// What the change would break; empty if it can be accepted.
    pub fn check(&self, document: &Document) -> Vec<Problem> {
        match document {
            Document::Template(template) => self.check_template(template),
            Document::Workspace(values) => self.check_values(values),
        }
    }

    fn check_template(&self, template: &Template) -> Vec<Problem> {
        let mut users = self
            .values
            .values()
            .filter(|values| values.template == template.name);
        let Some(first) = users.next() else {
            // Nobody uses it yet: a slip must show all the same.
            return resolve(template, &template.example())
                .err()
                .unwrap_or_default();
        };
        std::iter::once(first)
            .chain(users)
            .filter_map(|values| resolve(template, values).err())
            .flatten()
            .collect()
    }

    fn check_values(&self, values: &Values) -> Vec<Problem> {
        let mut problems = match self.templates.get(&values.template) {
            Some(template) => resolve(template, values).err().unwrap_or_default(),
            None => vec![Problem::NoTemplate {
                workspace: values.name.clone(),
                template: values.template.clone(),
            }],
        };
        problems.extend(
            values
                .keys
                .iter()
                .filter_map(|key| self.check_key(values, key)),
        );
        problems
    }

    /// A key names one workspace: a second one with it would take the first one's calls.
    fn check_key(&self, values: &Values, key: &str) -> Option<Problem> {
        let digest = key.len() == DIGEST_DIGITS
            && key
                .bytes()
                .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if !digest {
            return Some(Problem::BadKey {
                workspace: values.name.clone(),
                found: key.to_owned(),
            });
        }
        let other = self.by_key.get(key)?;
        let taken = other.name.as_str() != values.name;
        taken.then(|| Problem::KeyTaken {
            workspace: values.name.clone(),
            other: other.name.to_string(),
        })
    }

    /// Applies the change of one revision; an old revision changes nothing.
    ///
    /// Returns whether the change was applied.
    pub fn apply(&mut self, revision: u64, document: Document) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.put(document);
        true
    }

    fn put(&mut self, document: Document) {
        match document {
            Document::Template(template) => self.put_template(template),
            Document::Workspace(values) => self.put_values(values),
        }
    }

    fn put_template(&mut self, template: Template) {
        let name = template.name.clone();
        self.templates.insert(name.clone(), Arc::new(template));
        let affected: Vec<_> = self
            .values
            .values()
            .filter(|values| values.template == name)
            .cloned()
            .collect();
        for values in affected {
            self.resolve_workspace(&values);
        }
    }

    fn put_values(&mut self, values: Values) {
        let values = Arc::new(values);
        self.values.insert(values.name.clone(), Arc::clone(&values));
        self.resolve_workspace(&values);
    }

    fn resolve_workspace(&mut self, values: &Values) {
        if let Some(old) = self.workspaces.remove(&values.name) {
            for key in &old.keys {
                self.by_key.remove(key);
            }
        }
        let Some(template) = self.templates.get(&values.template) else {
            return;
        };
        let Ok(mut workspace) = resolve(template, values) else {
            return;
        };
        workspace.classes = self.share(workspace.classes);
        let workspace = Arc::new(workspace);
        for key in &workspace.keys {
            self.by_key.insert(key.clone(), Arc::clone(&workspace));
        }
        self.workspaces.insert(values.name.clone(), workspace);
    }

    /// The same classes as another workspace has them, if one does.
    fn share(&mut self, classes: Arc<Classes>) -> Arc<Classes> {
        if let Some(known) = self.classes.get(&classes) {
            return Arc::clone(known);
        }
        // Sets that nobody has any more are dropped before they outnumber the
        // workspaces.
        if self.classes.len() > self.workspaces.len() {
            self.classes = self
                .workspaces
                .values()
                .map(|workspace| &workspace.classes)
                .map(|classes| (Arc::clone(classes), Arc::clone(classes)))
                .collect();
        }
        self.classes
            .insert(Arc::clone(&classes), Arc::clone(&classes));
        classes
    }
}

#[cfg(test)]
mod tests;
