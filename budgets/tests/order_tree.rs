//! Compares the tree with a sorted set, and checks its depth, which bounds the cost of an operation without a
//! clock.
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeSet;
use threadward_budgets::order_tree::{Key, OrderTree, Prefix};

/// Returns the largest allowed depth: a child weighs at most three quarters of its parent, so the depth is at
/// most `log(n + 1)` to the base 4/3.
fn max_depth(keys: usize) -> f64 {
    ((keys + 1) as f64).ln() / (4.0f64 / 3.0).ln()
}

fn assert_shallow(tree: &OrderTree) {
    let (keys, depth) = (tree.total().count, tree.depth());
    assert!(depth as f64 <= max_depth(keys), "{depth} levels of {keys} keys");
}

#[test]
fn counts_and_sums_equal_those_of_a_sorted_set() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut tree, mut set) = (OrderTree::default(), BTreeSet::new());
    for _ in 0..20_000 {
        let key = Key { value: rng.next_u64() % 50, index: (rng.next_u64() % 20) as u16 };
        if rng.next_u64() % 2 == 0 {
            tree.insert(key);
            set.insert(key);
        } else {
            tree.remove(key);
            set.remove(&key);
        }
        let sum = |count: usize| set.iter().take(count).map(|key| key.value).sum();
        let before = set.range(..key).count();
        assert_eq!(tree.total(), Prefix { count: set.len(), sum: sum(set.len()) });
        assert_eq!(tree.position(key), before);
        assert_eq!(tree.prefix(|_, other| other < key), Prefix { count: before, sum: sum(before) });
        assert_shallow(&tree);
    }
}

#[test]
fn depth_grows_only_with_the_logarithm_of_the_size() {
    for keys in [30u16, 300, 3_000, 6_800, u16::MAX] {
        let mut rng = ChaCha8Rng::seed_from_u64(2);
        let mut tree = OrderTree::default();
        let mut values = vec![0; usize::from(keys)];
        for index in 0..keys {
            // Ascending values are the worst order for a tree without balancing.
            values[usize::from(index)] = u64::from(index);
            tree.insert(Key { value: u64::from(index), index });
        }
        assert_shallow(&tree);
        // Each key is moved about four times; then all but an eighth are removed.
        for _ in 0..4 * u32::from(keys) {
            let index = (rng.next_u64() % u64::from(keys)) as u16;
            let value = &mut values[usize::from(index)];
            tree.remove(Key { value: *value, index });
            *value = rng.next_u64() % 1_000_000;
            tree.insert(Key { value: *value, index });
        }
        assert_eq!(tree.total().count, usize::from(keys));
        assert_shallow(&tree);
        for index in 0..keys - keys / 8 {
            tree.remove(Key { value: values[usize::from(index)], index });
        }
        assert_eq!(tree.total().count, usize::from(keys / 8));
        assert_shallow(&tree);
    }
}
