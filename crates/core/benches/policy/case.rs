//! The sites and traffic on which the policy is measured.

use woodgap_core::clock::Millis;
use woodgap_core::pool::Limits;

use super::engine::Engine;
use super::sim::Site;
use super::traffic::Source;

/// The seed of all cases.
pub const SEED: u64 = 7;

/// A site under traffic, and the limits to compare the usual ones with.
pub struct Case {
    pub name: &'static str,
    pub site: Site,
    pub variants: Vec<(&'static str, Limits)>,
}

/// All cases.
pub fn cases() -> Vec<Case> {
    vec![
        tiers(50, Millis::from_secs(180)),
        calm(50, Millis::from_secs(180)),
        burst(50, Millis::from_secs(180)),
        links(50, Millis::from_secs(180)),
        small(Millis::from_secs(1_800)),
        unequal(50, Millis::from_secs(180)),
        claims(50, Millis::from_secs(180)),
        prompts(50, Millis::from_secs(180)),
        sick(50, Millis::from_secs(180)),
        poison(50, Millis::from_secs(180)),
    ]
}

/// Three tiers that ask for twice the capacity together.
pub fn tiers(engines: usize, end: Millis) -> Case {
    let sources = [("a", 1), ("b", 2), ("c", 3)];
    let sources = sources.map(|(workspace, tier)| family(workspace, tier, engines, 0.072));
    case("tiers", engines, end, sources.concat())
        .with("no_share", |limits| limits.share = 0.0)
        .with("share_5", |limits| limits.share = 0.05)
}

/// Three workspaces of one tier at four fifths of the capacity.
pub fn calm(engines: usize, end: Millis) -> Case {
    case("calm", engines, end, equals(engines))
}

/// The same, and the captions of one workspace come ten times as fast for a while.
pub fn burst(engines: usize, end: Millis) -> Case {
    let mut sources = equals(engines);
    sources[2] = sources[2].clone().burst(third(end), two_thirds(end), 10.0);
    case("burst", engines, end, sources)
}

/// The same with the links of one workspace, which are short: sixty times as fast.
pub fn links(engines: usize, end: Millis) -> Case {
    let mut sources = equals(engines);
    sources[0] = sources[0].clone().burst(third(end), two_thirds(end), 60.0);
    case("links", engines, end, sources)
}

/// Twelve slots, narrations of a minute at 1.1 times the capacity, and links between.
pub fn small(end: Millis) -> Case {
    let short = |class, tokens, target| {
        Source::new("a", class, 1, 1.0).answers(tokens, 0.3, Millis(target))
    };
    let sources = vec![
        short("link", 8.0, 1_000),
        short("receipt", 20.0, 2_000),
        Source::new("b", "narration", 1, 0.23).answers(2_500.0, 0.5, Millis(180_000)),
    ];
    let mut case = case("small", 3, end, sources).with("no_reserve", |limits| limits.reserve = 0.0);
    for engine in &mut case.site.engines {
        engine.slots = 4;
        engine.claimed = 4;
    }
    case
}

/// One engine in five at a tenth of its pace, half of the reports ten seconds late.
pub fn unequal(engines: usize, end: Millis) -> Case {
    let sources = [("a", 1), ("b", 2)];
    let sources = sources.map(|(workspace, tier)| family(workspace, tier, engines, 0.04));
    let mut case = case("unequal", engines, end, sources.concat());
    for (index, engine) in case.site.engines.iter_mut().enumerate() {
        if index % 5 == 0 {
            engine.speed = 0.1;
        }
        if index % 2 == 0 {
            engine.report_lag = Millis::from_secs(10);
        }
    }
    case
}

/// Engines that run half of the slots they claim, under endless load from above.
pub fn claims(engines: usize, end: Millis) -> Case {
    let sources = [("a", 1), ("b", 2), ("c", 3)];
    let sources = sources.map(|(workspace, tier)| family(workspace, tier, engines, 0.056));
    let mut case = case("claims", engines, end, sources.concat());
    for engine in &mut case.site.engines {
        engine.slots = engine.claimed / 2;
    }
    case
}

/// Three hundred starts of prompts for each source, of which an engine keeps forty.
pub fn prompts(engines: usize, end: Millis) -> Case {
    let sources = [("a", 1), ("b", 2)];
    let sources = sources.map(|(workspace, tier)| family(workspace, tier, engines, 0.036));
    let recur = |source: Source| source.prefixes(300);
    let sources = sources.concat().into_iter().map(recur).collect();
    let mut case = case("prompts", engines, end, sources)
        .with("affinity_none", |limits| limits.affinity = 1.0)
        .with("affinity_1_25", |limits| limits.affinity = 1.25);
    for engine in &mut case.site.engines {
        engine.prefill = 400.0;
    }
    case
}

/// Every engine breaks off two runs in five.
pub fn sick(engines: usize, end: Millis) -> Case {
    let sources = [("a", 1), ("b", 1)];
    let sources = sources.map(|(workspace, tier)| family(workspace, tier, engines, 0.04));
    let mut case = case("sick", engines, end, sources.concat());
    case.site.breaks = vec![0.4; engines];
    case
}

/// Three requests in ten break any engine that runs them.
pub fn poison(engines: usize, end: Millis) -> Case {
    let sources = [("a", 1), ("b", 1)];
    let sources = sources.map(|(workspace, tier)| family(workspace, tier, engines, 0.04));
    let poison = |source: Source| source.poison(0.3);
    let sources = sources.concat().into_iter().map(poison).collect();
    case("poison", engines, end, sources)
}

impl Case {
    fn with(mut self, name: &'static str, change: impl FnOnce(&mut Limits)) -> Self {
        let mut limits = Limits::default();
        change(&mut limits);
        self.variants.push((name, limits));
        self
    }
}

fn case(name: &'static str, engines: usize, end: Millis, sources: Vec<Source>) -> Case {
    let site = Site {
        engines: vec![Engine::new(8); engines],
        breaks: vec![0.0; engines],
        sources,
        end,
        warm_up: Millis(end.0 / 9),
        seed: SEED,
    };
    Case {
        name,
        site,
        variants: Vec::new(),
    }
}

fn equals(engines: usize) -> Vec<Source> {
    let workspaces = ["a", "b", "c"];
    let sources = workspaces.map(|workspace| family(workspace, 1, engines, 0.028));
    sources.concat()
}

/// The four classes of one workspace, by traffic for each engine.
fn family(workspace: &'static str, tier: u8, engines: usize, times: f64) -> Vec<Source> {
    let times = times * engines as f64;
    let source = |class, rate, tokens, spread, target| {
        Source::new(workspace, class, tier, rate * times).answers(tokens, spread, Millis(target))
    };
    vec![
        source("link", 20.0, 8.0, 0.3, 1_000),
        source("receipt", 20.0, 20.0, 0.3, 2_000),
        source("caption", 10.0, 150.0, 0.6, 20_000),
        source("narration", 2.0, 500.0, 0.8, 90_000),
    ]
}

fn third(end: Millis) -> Millis {
    Millis(end.0 / 3)
}

fn two_thirds(end: Millis) -> Millis {
    Millis(end.0 * 2 / 3)
}
