use rstest::rstest;

use super::{Checker, Faults};

const NONE: Faults = Faults {
    crossed: false,
    doubled: false,
    missing: false,
    garbled: false,
};

#[rstest]
#[case::whole("a:1 a:2 a:3 ", NONE)]
#[case::no_last_space("a:1 a:2 a:3", NONE)]
#[case::empty("", Faults { missing: true, ..NONE })]
#[case::short("a:1 a:2 ", Faults { missing: true, ..NONE })]
#[case::gap("a:1 a:3 ", Faults { missing: true, ..NONE })]
#[case::twice("a:1 a:2 a:2 a:3 ", Faults { doubled: true, ..NONE })]
#[case::from_the_start_again("a:1 a:2 a:1 a:2 a:3 ", Faults { doubled: true, ..NONE })]
#[case::other_tag("a:1 b:2 a:2 a:3 ", Faults { crossed: true, ..NONE })]
#[case::longer_tag("aa:1 aa:2 aa:3 ", Faults { crossed: true, missing: true, ..NONE })]
#[case::no_token("a:1 a:2 a:3 hm ", Faults { garbled: true, ..NONE })]
#[case::too_long("a:1 a:2 a:3 a:4 ", Faults { missing: true, ..NONE })]
fn each_fault_of_the_text_is_found(#[case] text: &str, #[case] expected: Faults) {
    let mut checker = Checker::new("a", 3);
    for letter in text.chars() {
        checker.text(letter.encode_utf8(&mut [0; 4]));
    }
    assert_eq!(checker.finish(true), expected);
}

#[rstest]
#[case::in_order(&[1, 2, 3], NONE)]
#[case::gap(&[1, 3], Faults { missing: true, ..NONE })]
#[case::late_start(&[2, 3], Faults { missing: true, ..NONE })]
#[case::repeated(&[1, 2, 2, 3], Faults { doubled: true, ..NONE })]
fn offsets_have_no_gap(#[case] ids: &[u64], #[case] expected: Faults) {
    let mut checker = Checker::new("a", 1);
    checker.text("a:1 ");
    for id in ids {
        checker.id(*id);
    }
    assert_eq!(checker.finish(true), expected);
}

#[rstest]
#[case::own(r#"{"service": "links", "tag": "a"}"#, NONE)]
#[case::other(r#"{"service": "links", "tag": "b"}"#, Faults { crossed: true, missing: true, ..NONE })]
#[case::none("oops", Faults { garbled: true, missing: true, ..NONE })]
fn services_repeat_the_tag(#[case] body: &str, #[case] expected: Faults) {
    let mut checker = Checker::new("a", 1);
    checker.service(body.as_bytes());
    assert_eq!(checker.finish(true), expected);
}

#[test]
fn an_answer_without_its_mark_is_not_expected_to_be_whole() {
    let mut checker = Checker::new("a", 3);
    checker.text("a:1 a");
    assert_eq!(checker.finish(false), NONE);
}
