//! The pool's policy against entries that act alone, in a seeded simulation:
//! one JSON line for each case and router. A name as argument picks a case.

mod policy {
    pub mod case;
    pub mod engine;
    pub mod report;
    pub mod router;
    pub mod sim;
    pub mod traffic;
}

use std::collections::BTreeSet;

use serde_json::{Map, Value, json};
use woodgap_core::pool::Limits;

use policy::case::{Case, SEED, cases};
use policy::report::Report;
use policy::router::{Entries, Home, Router};
use policy::sim::{Site, run};
use policy::traffic::arrivals;

fn main() {
    // Cargo passes `--bench`.
    let mut arguments = std::env::args().skip(1);
    let wanted = arguments.find(|argument| !argument.starts_with("--"));
    for case in cases() {
        if wanted.as_deref().is_none_or(|wanted| wanted == case.name) {
            compare(&case);
        }
    }
}

fn compare(case: &Case) {
    let mut baseline = Entries::new(6, Limits::default().waiting_per_slot, SEED);
    measure(case, "alone", &mut baseline);
    measure(case, "home", &mut Home::new(Limits::default(), SEED));
    for (name, limits) in &case.variants {
        measure(case, name, &mut Home::new(limits.clone(), SEED));
    }
}

fn measure(case: &Case, router: &str, policy: &mut dyn Router) {
    let site = &case.site;
    let arrivals = arrivals(&site.sources, site.end, site.seed);
    let report = run(site.clone(), &arrivals, policy);
    println!("{}", line(case, router, &report));
}

fn line(case: &Case, router: &str, report: &Report) -> Value {
    let effort = report.useful + report.wasted;
    let prompts = report.hits + report.misses;
    json!({
        "case": case.name,
        "router": router,
        "seed": SEED,
        "sent": report.sent(),
        "met": report.met(),
        "inversions": report.inversions,
        "lost": report.lost,
        "wasted": share(report.wasted, effort),
        "warm": share(report.hits, prompts),
        "runs_at_slow": share(slow_runs(&case.site, report), report.runs.iter().sum()),
        "attainment": by_tier(&case.site, report),
        "classes": by_source(&case.site, report),
    })
}

fn by_tier(site: &Site, report: &Report) -> Value {
    let tiers: BTreeSet<u8> = site.sources.iter().map(|source| source.tier).collect();
    let line = |tier: u8| {
        let attainment = report.attainment(|index| site.sources[index].tier == tier);
        (tier.to_string(), Value::from(round(attainment)))
    };
    tiers.into_iter().map(line).collect()
}

fn by_source(site: &Site, report: &Report) -> Value {
    let mut lines = Map::new();
    for (source, tally) in site.sources.iter().zip(&report.by_source) {
        let name = format!("{}/{}/{}", source.tier, source.workspace, source.class);
        let line = json!([
            round(tally.attainment()),
            {"complete": tally.complete, "refused": tally.refused, "failed": tally.failed},
            {"median_ms": tally.median(), "longest_ms": tally.longest.0, "queued_ms": tally.queued.0},
        ]);
        lines.insert(name, line);
    }
    Value::Object(lines)
}

fn slow_runs(site: &Site, report: &Report) -> u64 {
    let engines = site.engines.iter().zip(&report.runs);
    let slow = engines.filter(|(engine, _)| engine.speed < 1.0);
    slow.map(|(_, runs)| runs).sum()
}

fn share(part: u64, whole: u64) -> f64 {
    round(part as f64 / whole.max(1) as f64)
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
