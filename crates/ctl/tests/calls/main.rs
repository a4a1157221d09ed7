//! Calls to entries that answer, lose answers, refuse or are gone.

mod stub;

use std::sync::Arc;

use rstest::{Context, rstest};
use serde_json::{Value, json};
use woodgap_core::admin::{HISTORY_PATH, ORDERS_PATH, STATUS_PATH};
use woodgap_ctl::{Code, Terminal};

use stub::{Entry, KEY, Mood, Shared};

/// An address at which nothing listens: a reserved port.
const NOWHERE: &str = "http://127.0.0.1:1";

/// How a command ended, with addresses made the same in every run.
struct Outcome {
    code: Code,
    out: String,
    err: String,
}

impl Outcome {
    fn all(&self) -> String {
        format!(
            "{:?}\n--- out\n{}--- err\n{}",
            self.code, self.out, self.err
        )
    }
}

/// Runs a command against entries in these moods; `NOWHERE` comes first if asked.
async fn run(fleet: &Shared, nowhere: bool, moods: &[Mood], line: &str) -> Outcome {
    run_as(KEY, fleet, nowhere, moods, line).await
}

async fn run_as(key: &str, fleet: &Shared, nowhere: bool, moods: &[Mood], line: &str) -> Outcome {
    let entries: Vec<Entry> = moods.iter().map(|mood| Entry::start(fleet, mood)).collect();
    let mut urls: Vec<&str> = entries.iter().map(|entry| entry.url.as_str()).collect();
    if nowhere {
        urls.insert(0, NOWHERE);
    }
    let mut arguments: Vec<&str> = line.split(' ').collect();
    let command_words = if arguments[0] == "order" { 2 } else { 1 };
    for url in &urls {
        arguments.splice(command_words..command_words, ["--entry", url]);
    }
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut terminal = Terminal {
        out: &mut out,
        err: &mut err,
    };
    let arguments = bpaf::Args::from(arguments.as_slice());
    let code = woodgap_ctl::run(arguments, Some(key.to_owned()), &mut terminal).await;
    let readable = |bytes| {
        let mut text = String::from_utf8(bytes).unwrap();
        for (index, url) in urls.iter().enumerate() {
            text = text.replace(url, &format!("ENTRY-{index}"));
        }
        text
    };
    let outcome = Outcome {
        code,
        out: readable(out),
        err: readable(err),
    };
    for entry in entries {
        entry.stop().await;
    }
    outcome
}

fn error(status: u16, code: &str) -> Mood {
    let body = json!({"error": {"code": code, "message": "as ordered"}});
    Mood::Says(status, body)
}

fn murphy(tier: u64) -> Value {
    json!({"kind": "workspace", "name": "murphy", "template": "family",
        "values": {"tier": tier, "late": true}, "keys": []})
}

fn conflict() -> Mood {
    let body = json!({"error": {"code": "conflict"}, "current": murphy(3), "version": 4});
    Mood::Says(409, body)
}

fn problems() -> Mood {
    Mood::Says(
        422,
        json!({"problems": ["`tier` is 2", "there is no template"]}),
    )
}

const APPLY: &str = "apply --identity c-1 --timeout-ms 60000 tests/files/murphy.json";

/// Faults that a repetition under the same identity settles.
#[rstest]
#[case::well(false, &[Mood::Well], 1, false)]
#[case::first_gone(true, &[Mood::Well], 1, false)]
#[case::answer_lost(false, &[Mood::Well, Mood::Mute], 2, true)]
#[case::platform_out(false, &[Mood::Well, error(503, "platform_out")], 2, false)]
#[case::crashed(false, &[Mood::Well, error(500, "internal")], 2, false)]
#[case::overloaded(false, &[Mood::Well, error(429, "busy")], 2, false)]
#[actix_rt::test]
async fn settled(
    #[case] nowhere: bool,
    #[case] moods: &[Mood],
    #[case] sent: usize,
    #[case] already: bool,
) {
    let fleet = Shared::default();
    // Each `--entry` is put before the earlier ones: the last mood is met first.
    let outcome = run(&fleet, nowhere, moods, APPLY).await;
    let before = if already { ", accepted before" } else { "" };
    let line = format!("workspace/murphy: revision 11, version 1, change c-1{before}\n");
    assert_eq!(
        (outcome.code, outcome.out),
        (Code::Ok, line),
        "{}",
        outcome.err
    );
    let fleet = fleet.lock().unwrap();
    assert_eq!(fleet.received.len(), sent);
    assert!(fleet.received.iter().all(|apply| apply.change == "c-1"));
    assert_eq!(fleet.accepted.len(), 1);
}

/// Answers after which nothing is repeated.
#[rstest]
#[case::conflict(conflict())]
#[case::absent(Mood::Says(409, json!({"error": {"code": "conflict"}, "current": null, "version": 0})))]
#[case::problems(problems())]
#[case::identity_reused(error(422, "identity_reused"))]
#[case::unknown_key(error(401, "unknown_key"))]
#[case::no_entry_at_all(Mood::Says(404, json!("not found")))]
#[case::garbage(Mood::Says(200, json!(["?"])))]
#[actix_rt::test]
async fn final_answer(#[context] context: Context, #[case] mood: Mood) {
    let fleet = Shared::default();
    let line = "apply tests/files/murphy.json tests/files/murphy.json";
    let outcome = run(&fleet, false, &[mood], line).await;
    assert_eq!(fleet.lock().unwrap().received.len(), 1);
    insta::assert_snapshot!(name(&context), outcome.all());
}

/// The end of the time given, with and without a call that may have arrived.
#[rstest]
#[case::unsettled(&[Mood::Mute])]
#[case::unreachable(&[])]
#[actix_rt::test]
async fn time_is_over(#[context] context: Context, #[case] moods: &[Mood]) {
    let fleet = Shared::default();
    let line = "apply --identity c-1 --timeout-ms 1 tests/files/murphy.json";
    let outcome = run(&fleet, moods.is_empty(), moods, line).await;
    // What a cut answer looks like to the client depends on when it is cut.
    let first = outcome.err.lines().next().unwrap_or_default();
    insta::assert_snapshot!(name(&context), format!("{:?} {first}", outcome.code));
    assert_eq!(fleet.lock().unwrap().accepted.len(), moods.len());
}

#[actix_rt::test]
async fn each_document_is_a_change() {
    let fleet = Shared::default();
    let line = "apply tests/files/greedy.json tests/files/murphy.json";
    let outcome = run(&fleet, false, &[Mood::Well], line).await;
    assert_eq!(outcome.code, Code::Ok, "{}", outcome.err);
    let fleet = fleet.lock().unwrap();
    let keys: Vec<String> = fleet.received.iter().map(|it| it.document.key()).collect();
    assert_eq!(keys, ["workspace/greedy", "workspace/murphy"]);
    assert_eq!(fleet.accepted.len(), 2, "each has an identity of its own");
    let drawn = |identity: &String| identity.len() == 32;
    assert!(fleet.accepted.keys().all(drawn));
}

#[actix_rt::test]
async fn nothing_is_sent_if_a_file_is_broken() {
    let fleet = Shared::default();
    let line = "apply tests/files/murphy.json tests/files/broken.json";
    let outcome = run(&fleet, false, &[Mood::Well], line).await;
    assert_eq!(outcome.code, Code::Failed);
    assert!(
        outcome.err.contains("Did you mean `name`?"),
        "{}",
        outcome.err
    );
    assert!(fleet.lock().unwrap().received.is_empty());
}

#[actix_rt::test]
async fn expect_version_is_sent() {
    let fleet = Shared::default();
    let line = "apply --expect-version 3 tests/files/murphy.json";
    run(&fleet, false, &[Mood::Well], line).await;
    assert_eq!(fleet.lock().unwrap().received[0].expect, Some(3));
}

fn status(entries: &[(&str, &str, u64)]) -> (u16, Value) {
    let entry = |(name, state, revision): &(&str, &str, u64)| {
        json!({"name": name, "data_centre": "dub-a", "incarnation": 171,
            "revision": revision, "state": state, "age_ms": 40})
    };
    let entries: Vec<Value> = entries.iter().map(entry).collect();
    let endpoint = json!({"name": "story-1", "data_centre": "dub-a", "state": "failing",
        "in_flight": 3, "slots": 8});
    (
        200,
        json!({"revision": 11, "entries": entries, "endpoints": [endpoint]}),
    )
}

#[rstest]
#[case::in_force(60_000, &[
    status(&[("a1", "live", 11), ("b1", "live", 10), ("c1", "suspect", 9)]),
    (503, json!({"error": {"code": "stopping"}})),
    status(&[("a1", "live", 11), ("b1", "live", 11), ("c1", "suspect", 9), ("d1", "not_ready", 0)]),
    status(&[("a1", "live", 12), ("b1", "live", 11), ("c1", "gone", 9), ("d1", "not_ready", 0)]),
])]
#[case::lagging(1, &[status(&[("a1", "live", 11), ("b1", "live", 10)])])]
#[actix_rt::test]
async fn wait(#[context] context: Context, #[case] timeout: u64, #[case] answers: &[(u16, Value)]) {
    let fleet = Shared::default();
    let answers = answers.iter().cloned().collect();
    fleet
        .lock()
        .unwrap()
        .answers
        .insert(STATUS_PATH.to_owned(), answers);
    let line =
        format!("apply --wait --identity c-1 --timeout-ms {timeout} tests/files/murphy.json");
    let outcome = run(&fleet, false, &[Mood::Well], &line).await;
    insta::assert_snapshot!(name(&context), outcome.all());
}

#[rstest]
#[case::get("get workspace/murphy")]
#[case::get_missing("get workspace/walsh")]
#[case::diff("diff tests/files/murphy.json")]
#[case::diff_new("diff tests/files/greedy.json")]
#[case::history("history")]
#[case::history_of("history --json workspace/murphy")]
#[case::status("status")]
#[case::status_json("status --json")]
#[case::request("request 00000000000000ab-7")]
#[case::request_json("request --json 00000000000000ab-7")]
#[case::request_missing("request 00000000000000ab-8")]
#[case::orders("order show")]
#[actix_rt::test]
async fn reads(#[context] context: Context, #[case] line: &str) {
    let wanted = json!({"models": ["story-7b"], "role": "serve"});
    let pool = json!({"target": "story-7b", "data_centre": "dub-a"});
    let orders = json!({
        "orders": [{"order": {"pool": pool, "wanted": wanted}, "version": 2,
                    "operator": "orla", "change": "c-1", "at": 1_774_000_000_123_u64}],
        "endpoints": [{"endpoint": "story-1", "data_centre": "dub-a", "state": "pending",
                       "order": "pool/dub-a/story-7b", "checks_fencing": true,
                       "in_force": {"models": [], "role": "idle"}},
                      {"endpoint": "story-2", "data_centre": "dub-a", "state": "unreachable",
                       "order": "pool/dub-a/story-7b", "checks_fencing": false, "in_force": null}],
        "holders": [{"data_centre": "dub-a", "entry": "dub-a-1", "fence": 812}]});
    let kept = json!({"document": murphy(1), "version": 4, "revision": 10});
    let change = json!({"revision": 10, "key": "workspace/murphy", "operator": "orla",
        "change": "c-0", "at": 1_774_000_000_123_u64});
    let request = json!({"request": "00000000000000ab-7", "entry": "a1", "workspace": "murphy",
        "class": "narration", "tier": 2, "target": "story-13b", "stage": "failed",
        "attempts": 1, "verdict": "may_have_run", "age_ms": 1500});
    let answers = [
        (
            "/admin/v1/documents/workspace/murphy".to_owned(),
            (200, kept),
        ),
        (ORDERS_PATH.to_owned(), (200, orders)),
        (HISTORY_PATH.to_owned(), (200, json!([change]))),
        (
            format!("{HISTORY_PATH}?key=workspace/murphy"),
            (200, json!([change])),
        ),
        (
            STATUS_PATH.to_owned(),
            status(&[("a1", "live", 11), ("b1", "leaving", 10)]),
        ),
        (
            "/admin/v1/requests/00000000000000ab-7".to_owned(),
            (200, request),
        ),
    ];
    let fleet = Shared::default();
    let single = answers.map(|(path, answer)| (path, [answer].into()));
    fleet.lock().unwrap().answers.extend(single);
    let outcome = run(&fleet, true, &[Mood::Well], line).await;
    insta::assert_snapshot!(name(&context), outcome.all());
}

#[actix_rt::test]
async fn drain() {
    let fleet = Shared::default();
    let outcome = run(&fleet, false, &[Mood::Well], "drain story-1").await;
    assert_eq!(outcome.out, "story-1: drain accepted\n");
    let posted = Arc::clone(&fleet);
    assert_eq!(
        posted.lock().unwrap().posted,
        [json!({"instance": "story-1"})]
    );
}

/// The key goes to the entries and nowhere else.
#[actix_rt::test]
async fn key_is_not_shown() {
    let fleet = Shared::default();
    let outcome = run_as("wrong-key", &fleet, false, &[Mood::Well], "status").await;
    assert_eq!(outcome.code, Code::Failed);
    assert!(
        outcome
            .err
            .contains("ENTRY-0 knows no operator with this key")
    );
    assert!(!outcome.all().contains("wrong-key"));
}

/// The case's own name, for the snapshot.
fn name(context: &Context) -> String {
    format!(
        "{}_{}",
        context.name,
        context.description.unwrap_or_default()
    )
}
