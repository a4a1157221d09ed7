//! How long connections may rest.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::rest::Rests;

#[rstest]
#[case::forgotten(900, 2, Some(450))]
#[case::at_work_already(900, 300, None)]
#[case::hardly_rested(40, 2, None)]
fn what_a_loss_says(#[case] rested: u64, #[case] took: u64, #[case] most: Option<u64>) {
    let mut rests = Rests::default();
    rests.lost("links", Millis(rested), Millis(took), Millis(5));
    assert_eq!(rests.most("links", Millis(6)), most.map(Millis));
}

#[test]
fn losses_add_up_and_fade() {
    let mut rests = Rests::default();
    rests.lost("links", Millis(3_000), Millis(1), Millis(0));
    rests.lost("links", Millis(400), Millis(1), Millis(100));
    rests.lost("links", Millis(1_000), Millis(1), Millis(200));
    assert_eq!(rests.most("links", Millis(300)), Some(Millis(200)));
    assert_eq!(rests.most("links", Millis(15_300)), None);
}

#[test]
fn entries_learn_from_one_another_but_repeat_only_their_own() {
    let mut first = Rests::default();
    let mut second = Rests::default();
    first.lost("links", Millis(600), Millis(1), Millis(0));
    second.told(&first.tell(Millis(10)), Millis(10));
    assert_eq!(second.most("links", Millis(20)), Some(Millis(300)));
    assert_eq!(second.tell(Millis(20)), []);
}
