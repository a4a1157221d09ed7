//! What the configuration costs an entry, by its number of workspaces: memory,
//! the time for one change and for one whole, and the bytes of a whole.
//! `cargo bench -p woodgap-core --bench catalog`.

use std::collections::BTreeMap;
use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use woodgap_core::config::{Catalog, Document, Values};
use woodgap_core::revision::message::parts;

/// Workspaces today, in some years, and in the target.
const SIZES: [usize; 3] = [10, 1_000, 25_000];
/// Templates that the workspaces fill in.
const TEMPLATES: usize = 20;
/// Models that a class may use.
const MODELS: usize = 22;
/// Changes that are timed.
const CHANGES: u32 = 50;
/// Least span of one timing.
const SPAN: Duration = Duration::from_millis(50);

fn template(number: usize) -> Document {
    let class = |targets: Vec<String>| json!({ "targets": targets, "target_ms": "$target_ms", "measure": "first_token" });
    let models = |from: usize| {
        (0..MODELS / 2)
            .map(|model| format!("model-{:02}", (from + model) % MODELS))
            .collect::<Vec<_>>()
    };
    let document = json!({
        "kind": "template", "name": format!("template-{number}"), "tier": "$tier",
        "parameters": {
            "tier": { "type": "integer", "min": 1, "max": 7 },
            "target_ms": { "type": "integer", "min": 1, "max": 60_000, "default": 500 },
        },
        "classes": { "chat": class(models(number)), "caption": class(models(number + 5)),
                     "report": class(models(number + 11)) },
    });
    serde_json::from_value(document).expect("a template")
}

fn workspace(number: usize, tier: u64) -> Document {
    let key = blake3::hash(format!("key-{number}").as_bytes());
    Document::Workspace(Values {
        name: format!("workspace-{number:05}"),
        template: format!("template-{}", number % TEMPLATES),
        values: BTreeMap::from([("tier".to_owned(), (tier % 7 + 1).into())]),
        keys: vec![key.to_hex().to_string()],
    })
}

fn documents(workspaces: usize) -> Vec<Document> {
    let templates = (0..TEMPLATES).map(template);
    templates
        .chain((0..workspaces).map(|number| workspace(number, number as u64)))
        .collect()
}

/// Resident memory of this process, in KiB.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().next());
    figure.and_then(|figure| figure.parse().ok()).unwrap_or(0)
}

/// Microseconds that one call takes, the least of several timings: other work
/// on the machine only ever adds.
fn least_us(mut act: impl FnMut()) -> f64 {
    let mut least = f64::INFINITY;
    let started = Instant::now();
    for _ in 0..CHANGES {
        let begun = Instant::now();
        act();
        least = least.min(begun.elapsed().as_secs_f64() * 1e6);
        if started.elapsed() > SPAN * CHANGES {
            break;
        }
    }
    least
}

fn measure(workspaces: usize) {
    let all = documents(workspaces);
    let before = resident_kb();
    let mut catalog = Arc::new(Catalog::of(1, all.clone()));
    let memory = resident_kb().saturating_sub(before);
    let kept = resident_kb();
    // As an entry does it: requests under way may still hold the one before.
    let mut revision = 1;
    let change = least_us(|| {
        revision += 1;
        let mut next = Catalog::clone(&catalog);
        next.apply(revision, workspace(workspaces / 2, revision));
        catalog = Arc::new(next);
    });
    let both = resident_kb().saturating_sub(kept);
    let broad = least_us(|| {
        revision += 1;
        let mut next = Catalog::clone(&catalog);
        next.apply(revision, template(3));
        catalog = Arc::new(next);
    });
    let check = least_us(|| {
        black_box(catalog.check(&template(3)));
    });
    let build = least_us(|| {
        black_box(Catalog::of(1, all.clone()));
    });
    let text = |document: Document| serde_json::to_string(&document).expect("a document");
    let texts: Vec<String> = catalog.documents().map(text).collect();
    let bytes: usize = texts.iter().map(String::len).sum();
    let parts = parts(revision, texts).len();
    println!(
        "{workspaces:10} {memory:10} {both:13} {change:12.1} {broad:14.0} {check:9.0} {build:9.0} \
         {bytes:11} {parts:6}"
    );
}

fn main() {
    println!(
        "workspaces memory KiB while changing change us   template us    check us whole us  \
         whole bytes parts"
    );
    for workspaces in SIZES {
        measure(workspaces);
    }
}
