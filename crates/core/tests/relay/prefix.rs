//! Prompt parts that engines are believed to keep.

use woodgap_core::clock::Millis;
use woodgap_core::relay::prefix::Prefix;
use woodgap_core::relay::work::Part;

fn part(id: u64, tokens: u32) -> Part {
    Part { id, tokens }
}

#[test]
fn a_part_counts_only_behind_the_same_parts() {
    let mut prefix = Prefix::new(10_000);
    prefix.touch(&[part(1, 100), part(2, 200)], Millis(0));
    prefix.touch(&[part(3, 100)], Millis(0));
    assert_eq!(prefix.kept(&[part(3, 100), part(2, 200)]), 100);
    assert_eq!(prefix.kept(&[part(1, 100), part(2, 200), part(9, 5)]), 300);
}

#[test]
fn the_part_unused_for_longest_goes_first() {
    let mut prefix = Prefix::new(300);
    prefix.touch(&[part(1, 100)], Millis(0));
    prefix.touch(&[part(2, 100)], Millis(1));
    prefix.touch(&[part(3, 100)], Millis(2));
    prefix.touch(&[part(1, 100)], Millis(3));
    prefix.touch(&[part(4, 100)], Millis(4));
    let kept = [1, 2, 3, 4].map(|id| prefix.kept(&[part(id, 100)]));
    assert_eq!(kept, [100, 0, 100, 100]);
}

#[test]
fn one_prompt_above_the_whole_memory_leaves_nothing_behind() {
    let mut prefix = Prefix::new(300);
    prefix.touch(&[part(1, 100)], Millis(0));
    prefix.touch(&[part(2, 4_000)], Millis(1));
    assert_eq!(prefix.kept(&[part(1, 100)]), 0);
    prefix.touch(&[part(3, 300)], Millis(2));
    assert_eq!(prefix.kept(&[part(3, 300)]), 300);
}
