use rstest::rstest;

use super::base;

#[rstest]
#[case::v4("http://127.0.0.1:8080", true)]
#[case::v4_other("http://127.9.9.9:8080/", true)]
#[case::v6("http://[::1]:8080", true)]
#[case::name("http://localhost:8080", false)]
#[case::elsewhere("http://10.0.0.1:8080", false)]
#[case::unspecified("http://0.0.0.0:8080", false)]
#[case::scheme("https://127.0.0.1:8080", false)]
#[case::no_scheme("127.0.0.1:8080", false)]
#[case::user_part("http://127.0.0.1@10.0.0.1:80", false)]
fn only_loopback_addresses_are_taken(#[case] url: &str, #[case] taken: bool) {
    assert_eq!(base(url).is_ok(), taken);
}
