use rstest::rstest;

use super::*;

fn issued(address: &str) -> Issued {
    Issued {
        issuer: name::Incarnation(0xab),
        sequence: 300,
        at: Millis(1_000),
        address: address.parse().unwrap(),
    }
}

#[rstest]
#[case::version_4("10.1.1.11:8080")]
#[case::version_6("[fd00::1]:8080")]
fn an_identity_is_read_as_it_was_issued(#[case] address: &str) {
    let issuer = Issuer::new(&[1; 32]);
    let text = issuer.encode(&issued(address), &"murphy".into());
    assert_eq!(issuer.verify(&text, &"murphy".into()), Ok(issued(address)));
    assert!(text.bytes().all(|byte| byte.is_ascii_graphic()));
    assert!(text.len() <= 200);
}

#[rstest]
#[case::another_workspace("kelly", [1; 32], |text| text)]
#[case::another_fleet("murphy", [2; 32], |text| text)]
#[case::another_issuer("murphy", [1; 32], |text: String| text.replace("ab-", "ac-"))]
#[case::another_sequence("murphy", [1; 32], |text: String| text.replace("-12c-", "-12d-"))]
#[case::another_address("murphy", [1; 32], |text: String| text.replace(":80", ":81"))]
#[case::no_code("murphy", [1; 32], |text: String| text.rsplit_once('-').unwrap().0.to_owned())]
#[case::cut("murphy", [1; 32], |text: String| text[..text.len() - 1].to_owned())]
#[case::the_callers_own("murphy", [1; 32], |_| "caption-17".to_owned())]
#[case::empty("murphy", [1; 32], |_| String::new())]
fn others_are_foreign(
    #[case] workspace: &str,
    #[case] key: [u8; 32],
    #[case] change: fn(String) -> String,
) {
    let text = Issuer::new(&[1; 32]).encode(&issued("10.1.1.11:8080"), &"murphy".into());
    let checked = Issuer::new(&key).verify(&change(text), &workspace.into());
    assert_eq!(checked, Err(NotIssued));
}

#[test]
fn a_first_submission_has_its_time() {
    let issued = issued("10.1.1.11:8080");
    assert!(issued.fresh(issued.at + LIFETIME - Millis(1)));
    assert!(!issued.fresh(issued.at + LIFETIME));
}
