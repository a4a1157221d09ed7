use rstest::rstest;

use super::*;

#[rstest]
#[case::arrival(&[5, 5, 5], &[0, 1, 2])]
#[case::priority(&[9, 0, 5], &[1, 2, 0])]
#[case::both(&[5, 0, 5, 0], &[1, 3, 0, 2])]
fn waiting_requests_start_by_priority_then_arrival(
    #[case] priorities: &[u8],
    #[case] expected: &[usize],
) {
    let mut queue = Queue::new(1);
    let (mut holder, _admitted) = queue.enter(0);
    let mut waiting: Vec<_> = priorities.iter().map(|p| queue.enter(*p)).collect();

    let mut order = Vec::new();
    for _ in priorities {
        queue.leave(holder);
        let admitted = |(_, receiver): &mut (Key, Receiver<()>)| receiver.try_recv().is_ok();
        let index = waiting.iter_mut().position(admitted).unwrap();
        holder = waiting[index].0;
        order.push(index);
    }
    assert_eq!(order, expected);
}

#[test]
fn one_that_leaves_while_waiting_frees_no_slot() {
    let mut queue = Queue::new(1);
    let (first, _admitted) = queue.enter(0);
    let (second, _waiting) = queue.enter(0);
    queue.leave(second);
    assert_eq!((queue.running(), queue.waiting()), (1, 0));
    queue.leave(first);
    assert_eq!((queue.running(), queue.waiting()), (0, 0));
}
