//! What `check` prints.

use rstest::{Context, rstest};
use woodgap_ctl::{Code, Terminal};

#[rstest]
#[case::dublin(
    "dublin",
    &["entry-dub-a.jsonc", "entry-dub-b.jsonc", "entry-dub-c.jsonc", "burn.jsonc",
      "templates/family.json", "templates/album.json", "workspaces/murphy.json",
      "orders/story-pool.jsonc"],
    Code::Ok
)]
#[case::navarra_aragon(
    "navarra-aragon",
    &["entry-tudela.jsonc", "entry-zaragoza.jsonc", "entry-logrono.jsonc", "burn.jsonc",
      "templates/line.json", "templates/office.json", "workspaces/quality-office.json"],
    Code::Ok
)]
#[case::alone("dublin", &["workspaces/murphy.json"], Code::Ok)]
#[case::twin("dublin", &["entry-dub-a.jsonc", "../../crates/ctl/tests/files/twin.jsonc"], Code::Failed)]
#[case::greedy("dublin", &["../../crates/ctl/tests/files/greedy.json", "templates/family.json"], Code::Failed)]
#[case::thief(
    "dublin",
    &["workspaces/murphy.json", "../../crates/ctl/tests/files/thief.json", "templates/family.json"],
    Code::Failed
)]
#[case::broken(
    "../crates/ctl/tests/files",
    &["broken.json", "other.jsonc", "none.jsonc", "murphy.json"],
    Code::Failed
)]
fn check(
    #[context] context: Context,
    #[case] folder: &str,
    #[case] files: &[&str],
    #[case] expected: Code,
) {
    let folder = format!("../../samples/{folder}/");
    let paths: Vec<String> = files.iter().map(|file| format!("{folder}{file}")).collect();
    let mut arguments = vec!["check"];
    arguments.extend(paths.iter().map(String::as_str));
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut terminal = Terminal {
        out: &mut out,
        err: &mut err,
    };
    let arguments = bpaf::Args::from(arguments.as_slice());
    let run = woodgap_ctl::run(arguments, None, &mut terminal);
    let code = actix_rt::System::new().block_on(run);
    assert_eq!(code, expected);
    let text = [out, err].concat();
    let text = String::from_utf8(text).unwrap().replace(&folder, "");
    insta::assert_snapshot!(name(&context), text);
}

/// The case's own name, for the snapshot.
fn name(context: &Context) -> String {
    format!(
        "{}_{}",
        context.name,
        context.description.unwrap_or_default()
    )
}
