//! What files without problems of their own say together.

use std::collections::BTreeMap;

use woodgap_core::config::{Document, Template, Values, resolve};
use woodgap_settings::entry::Entry;

use crate::check::Checked;
use crate::terminal::Terminal;

/// Prints what does not go together; returns the number of files with problems.
pub fn check(files: &[(String, Checked)], terminal: &mut Terminal<'_>) -> usize {
    entries(files, terminal) + documents(files, terminal) + keys(files, terminal)
}

/// Entries of one fleet, which are those with one platform, share a key and
/// differ in name.
fn entries(files: &[(String, Checked)], terminal: &mut Terminal<'_>) -> usize {
    let mut earlier: Vec<(&str, &Entry)> = Vec::new();
    let mut bad = 0;
    for (file, checked) in files {
        let Checked::Entry(entry) = checked else {
            continue;
        };
        let platform = &entry.platform.url;
        let fleet: Vec<_> = earlier
            .iter()
            .filter(|(_, other)| other.platform.url == *platform)
            .copied()
            .collect();
        let problems = clashes(entry, &fleet);
        for problem in &problems {
            terminal.print(&format!("{file}: {problem}"));
        }
        bad += usize::from(!problems.is_empty());
        earlier.push((file, entry));
    }
    bad
}

fn clashes(entry: &Entry, fleet: &[(&str, &Entry)]) -> Vec<String> {
    let mut problems = Vec::new();
    for (file, other) in fleet {
        if other.name == entry.name {
            problems.push(format!(
                "name: found `{}`, which {file} has too, expected a name of its own.",
                entry.name
            ));
        }
    }
    if let Some((file, other)) = fleet.first()
        && other.fleet_key != entry.fleet_key
    {
        problems.push(format!(
            "fleet_key: found another than in {file}, expected the same for one platform."
        ));
    }
    problems
}

/// Workspaces whose template is among the files must go with it.
fn documents(files: &[(String, Checked)], terminal: &mut Terminal<'_>) -> usize {
    let templates = templates(files);
    let mut bad = 0;
    for (file, checked) in files {
        let Checked::Document(Document::Workspace(values)) = checked else {
            continue;
        };
        match templates.get(values.template.as_str()) {
            Some(template) => bad += usize::from(!fits(file, template, values, terminal)),
            None => terminal.print(&format!(
                "{file}: not checked against template `{}`, which is not among the files",
                values.template
            )),
        }
    }
    bad
}

/// A key names one workspace only.
fn keys(files: &[(String, Checked)], terminal: &mut Terminal<'_>) -> usize {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    let mut bad = 0;
    for (file, checked) in files {
        let Checked::Document(Document::Workspace(values)) = checked else {
            continue;
        };
        let mut fine = true;
        for (index, key) in values.keys.iter().enumerate() {
            if let Some(owner) = owners.insert(key, file) {
                terminal.print(&format!(
                    "{file}: keys[{index}]: found a key that {owner} has too, expected its own."
                ));
                fine = false;
            }
        }
        bad += usize::from(!fine);
    }
    bad
}

fn templates(files: &[(String, Checked)]) -> BTreeMap<&str, &Template> {
    let mut templates = BTreeMap::new();
    for (_, checked) in files {
        if let Checked::Document(Document::Template(template)) = checked {
            templates.insert(template.name.as_str(), template);
        }
    }
    templates
}

fn fits(file: &str, template: &Template, values: &Values, terminal: &mut Terminal<'_>) -> bool {
    let Err(problems) = resolve(template, values) else {
        return true;
    };
    for problem in problems {
        terminal.print(&format!("{file}: {problem}"));
    }
    false
}
