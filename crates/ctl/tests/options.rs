//! What the command line accepts, and what it says otherwise.

use rstest::{Context, rstest};
use woodgap_ctl::{Code, Terminal, options};

#[rstest]
#[case::check("check a.jsonc b.json")]
#[case::apply(
    "apply --entry http://10.1.1.11:8080 --entry http://10.1.2.11:8080/ --wait a.json b.json"
)]
#[case::apply_once(
    "apply --entry http://10.1.1.11:8080 --identity c-1 --expect-version 0 --timeout-ms 9 a.json"
)]
#[case::get("get --entry http://10.1.1.11:8080 --key-file key template/family")]
#[case::diff("diff --entry http://10.1.1.11:8080 family.json")]
#[case::history("history --entry http://10.1.1.11:8080")]
#[case::history_of("history --entry http://10.1.1.11:8080 --json workspace/murphy")]
#[case::status("status --entry http://10.1.1.11:8080 --json")]
#[case::drain("drain --entry http://10.1.1.11:8080 story-3")]
#[case::request("request --entry http://10.1.1.11:8080 00000000000000ab-7")]
#[case::order_apply("order apply --entry http://10.1.1.11:8080 --identity c-1 order.jsonc")]
#[case::order_withdraw("order withdraw --entry http://10.1.1.11:8080 pool/dub-a/story-7b")]
#[case::order_show("order show --entry http://10.1.1.11:8080 --json")]
fn accepted(#[context] context: Context, #[case] line: &str) {
    let arguments: Vec<&str> = line.split(' ').collect();
    let command = options::parser().run_inner(arguments.as_slice()).unwrap();
    insta::assert_compact_debug_snapshot!(name(&context), command);
}

#[rstest]
#[case::nothing("", "expected `COMMAND ...`")]
#[case::command("aply a.json", "did you mean `apply`?")]
#[case::no_file("check", "FILE: give at least one file")]
#[case::no_entry("status", "--entry: give the base URL of at least one entry")]
#[case::entry("status --entry 10.1.1.11:8080", "--entry: expected a URL such as")]
#[case::entry_path(
    "status --entry http://10.1.1.11/v1",
    "--entry: expected a URL such as"
)]
#[case::entry_tls("status --entry https://10.1.1.11", "--entry: expected a URL such as")]
#[case::key(
    "get --entry http://a:1 family",
    "KEY: expected template/NAME or workspace/NAME"
)]
#[case::order_key(
    "order withdraw --entry http://a:1 engine-1",
    "KEY: expected endpoint/NAME or pool/DATA_CENTRE/TARGET"
)]
#[case::key_name("get --entry http://a:1 template/../x", "KEY: expected template/NAME")]
#[case::identity(
    "apply --entry http://a:1 --identity= a.json",
    "--identity: expected 1 to 200"
)]
#[case::version(
    "apply --entry http://a:1 --expect-version x a.json",
    "`x`: invalid digit"
)]
#[case::request(
    "request --entry http://a:1 7",
    "ID: expected an id as in X-Woodgap-Request"
)]
#[case::option("status --entry http://a:1 --jsn", "did you mean `--json`?")]
#[case::no_key(
    "status --entry http://a:1",
    "give --key-file FILE or set WOODGAP_OPERATOR_KEY"
)]
#[case::key_file(
    "status --entry http://a:1 --key-file none",
    "--key-file none: No such file"
)]
fn refused(#[case] line: &str, #[case] problem: &str) {
    let (code, out, err) = run(line, None);
    assert_eq!((code, out.as_str()), (Code::Usage, ""));
    assert!(err.contains(problem), "{err}");
}

#[rstest]
#[case::identity("--identity c-1")]
#[case::version("--expect-version 3")]
fn one_file_only(#[case] option: &str) {
    let line = format!("apply --entry http://a:1 {option} a.json b.json");
    let (code, _, err) = run(&line, Some("sample-key"));
    assert_eq!(code, Code::Usage);
    assert!(err.contains("give one FILE with it"), "{err}");
}

#[rstest]
#[case::help("--help")]
#[case::help_apply("apply --help")]
#[case::version("--version")]
fn help(#[context] context: Context, #[case] line: &str) {
    let (code, out, _) = run(line, None);
    assert_eq!(code, Code::Ok);
    insta::assert_snapshot!(name(&context), out);
}

fn run(line: &str, key: Option<&str>) -> (Code, String, String) {
    let arguments: Vec<&str> = line.split_whitespace().collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut terminal = Terminal {
        out: &mut out,
        err: &mut err,
    };
    let run = woodgap_ctl::run(
        bpaf::Args::from(arguments.as_slice()),
        key.map(str::to_owned),
        &mut terminal,
    );
    let code = actix_rt::System::new().block_on(run);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (code, text(out), text(err))
}

/// The case's own name, for the snapshot.
fn name(context: &Context) -> String {
    format!(
        "{}_{}",
        context.name,
        context.description.unwrap_or_default()
    )
}
