//! An ordered set of keys that counts and sums any prefix of its order: a weight-balanced tree in one vector
//! of nodes. Its depth never exceeds 2.41 times the binary logarithm of its size plus one, whatever the order
//! in which keys are inserted and removed, so no choice of keys by a holder makes an operation slow.
//!
//! The weight of a tree is its size plus one. Neither of two children weighs more than three times the other,
//! so a child weighs at most three quarters of its parent. The bounds of the rotations are those of Hirai and
//! Yamamoto, "Balancing weight-balanced trees", 2011, who prove them for insertions and removals of one key
//! at a time.

/// Largest ratio of the weights of two sibling trees.
const MAX_WEIGHT_RATIO: usize = 3;
/// An inner grandchild that weighs less than this times the outer one needs a single rotation, else a double
/// one.
const SINGLE_ROTATION_RATIO: usize = 2;
/// Position of the node that stands for the empty tree; it has count and sum 0 and is never changed.
const EMPTY: u32 = 0;

/// A holder's value; ordered by the value, then by the holder's index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// First criterion of the order.
    pub value: u64,
    /// Index of the holder that has the value.
    pub index: u16,
}

/// The number of keys in a prefix of the order and the sum of their values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prefix {
    /// Number of keys.
    pub count: usize,
    /// Sum of their values, saturating at `u64::MAX`.
    pub sum: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Node {
    key: Key,
    left: u32,
    right: u32,
    /// Count and sum of the subtree, this node included.
    total: Prefix,
}

/// An ordered set of keys.
///
/// ```
/// use threadward_budgets::order_tree::{Key, OrderTree, Prefix};
///
/// let mut tree = OrderTree::default();
/// [30, 10, 20].into_iter().for_each(|value| tree.insert(Key { value, index: 1 }));
/// assert_eq!(tree.total(), Prefix { count: 3, sum: 60 });
/// assert_eq!(tree.position(Key { value: 30, index: 0 }), 2);
/// // The longest prefix whose sum is under 31.
/// assert_eq!(tree.prefix(|before, key| before.sum + key.value < 31), Prefix { count: 2, sum: 30 });
/// tree.remove(Key { value: 10, index: 1 });
/// assert_eq!(tree.position(Key { value: 30, index: 0 }), 1);
/// ```
#[derive(Clone, Debug)]
pub struct OrderTree {
    nodes: Vec<Node>,
    free: Vec<u32>,
    root: u32,
}

impl Default for OrderTree {
    fn default() -> OrderTree {
        OrderTree { nodes: vec![Node::default()], free: Vec::new(), root: EMPTY }
    }
}

impl OrderTree {
    /// Inserts a key; one that is in the set already changes nothing.
    pub fn insert(&mut self, key: Key) {
        self.root = self.insert_below(self.root, key);
    }

    /// Removes a key; one that is not in the set changes nothing.
    pub fn remove(&mut self, key: Key) {
        self.root = self.remove_below(self.root, key);
    }

    /// Returns the count and sum of all keys.
    pub fn total(&self) -> Prefix {
        self.node(self.root).total
    }

    /// Returns the number of keys before this one, whether it is in the set or not.
    pub fn position(&self, key: Key) -> usize {
        self.prefix(|_, other| other < key).count
    }

    /// Returns the longest prefix of the order for whose keys `belongs` returns true. `belongs` gets the
    /// count and sum of what comes before a key, and the key. It must be monotone: false for a key means
    /// false for all later ones.
    pub fn prefix(&self, belongs: impl Fn(Prefix, Key) -> bool) -> Prefix {
        let mut prefix = Prefix::default();
        let mut node_id = self.root;
        while node_id != EMPTY {
            let node = self.node(node_id);
            let before = concat(prefix, self.node(node.left).total);
            if belongs(before, node.key) {
                prefix = concat(before, single(node.key));
                node_id = node.right;
            } else {
                node_id = node.left;
            }
        }
        prefix
    }

    /// Returns the number of nodes on the longest path from the root to a leaf, which bounds the cost of an
    /// operation. Visits all nodes.
    pub fn depth(&self) -> usize {
        let mut depth = 0;
        let mut pending = vec![(self.root, 1)];
        while let Some((node_id, level)) = pending.pop() {
            if node_id != EMPTY {
                depth = depth.max(level);
                pending.push((self.node(node_id).left, level + 1));
                pending.push((self.node(node_id).right, level + 1));
            }
        }
        depth
    }

    fn node(&self, node_id: u32) -> &Node {
        &self.nodes[node_id as usize]
    }

    fn node_mut(&mut self, node_id: u32) -> &mut Node {
        &mut self.nodes[node_id as usize]
    }

    fn weight(&self, node_id: u32) -> usize {
        self.node(node_id).total.count + 1
    }

    fn allocate(&mut self, key: Key) -> u32 {
        let node = Node { key, left: EMPTY, right: EMPTY, total: single(key) };
        if let Some(node_id) = self.free.pop() {
            *self.node_mut(node_id) = node;
            return node_id;
        }
        self.nodes.push(node);
        (self.nodes.len() - 1) as u32
    }

    fn insert_below(&mut self, node_id: u32, key: Key) -> u32 {
        if node_id == EMPTY {
            return self.allocate(key);
        }
        let node = *self.node(node_id);
        match key.cmp(&node.key) {
            std::cmp::Ordering::Less => self.node_mut(node_id).left = self.insert_below(node.left, key),
            std::cmp::Ordering::Greater => self.node_mut(node_id).right = self.insert_below(node.right, key),
            std::cmp::Ordering::Equal => return node_id,
        }
        self.rebalance(node_id)
    }

    fn remove_below(&mut self, node_id: u32, key: Key) -> u32 {
        if node_id == EMPTY {
            return EMPTY;
        }
        let node = *self.node(node_id);
        match key.cmp(&node.key) {
            std::cmp::Ordering::Less => self.node_mut(node_id).left = self.remove_below(node.left, key),
            std::cmp::Ordering::Greater => self.node_mut(node_id).right = self.remove_below(node.right, key),
            std::cmp::Ordering::Equal => {
                self.free.push(node_id);
                return self.join(node.left, node.right);
            }
        }
        self.rebalance(node_id)
    }

    /// Joins the two subtrees that a removed node leaves and returns the root.
    fn join(&mut self, left: u32, right: u32) -> u32 {
        if left == EMPTY {
            return right;
        }
        if right == EMPTY {
            return left;
        }
        let (first, rest) = self.split_first(right);
        let node = self.node_mut(first);
        (node.left, node.right) = (left, rest);
        self.rebalance(first)
    }

    /// Removes the first node of a non-empty tree; returns that node and the root of the rest.
    fn split_first(&mut self, node_id: u32) -> (u32, u32) {
        let node = *self.node(node_id);
        if node.left == EMPTY {
            return (node_id, node.right);
        }
        let (first, rest) = self.split_first(node.left);
        self.node_mut(node_id).left = rest;
        (first, self.rebalance(node_id))
    }

    /// Rebalances a tree one of whose children has gained or lost one key, and returns its root.
    fn rebalance(&mut self, node_id: u32) -> u32 {
        let Node { left, right, .. } = *self.node(node_id);
        if self.weight(right) > MAX_WEIGHT_RATIO * self.weight(left) {
            let Node { left: inner, right: outer, .. } = *self.node(right);
            if self.weight(inner) >= SINGLE_ROTATION_RATIO * self.weight(outer) {
                self.node_mut(node_id).right = self.rotate_right(right);
            }
            return self.rotate_left(node_id);
        }
        if self.weight(left) > MAX_WEIGHT_RATIO * self.weight(right) {
            let Node { left: outer, right: inner, .. } = *self.node(left);
            if self.weight(inner) >= SINGLE_ROTATION_RATIO * self.weight(outer) {
                self.node_mut(node_id).left = self.rotate_left(left);
            }
            return self.rotate_right(node_id);
        }
        self.update_total(node_id);
        node_id
    }

    /// Rotates a tree to the left: its right child becomes the root, which is returned.
    fn rotate_left(&mut self, node_id: u32) -> u32 {
        let root = self.node(node_id).right;
        self.node_mut(node_id).right = self.node(root).left;
        self.node_mut(root).left = node_id;
        self.update_total(node_id);
        self.update_total(root);
        root
    }

    /// Rotates a tree to the right: its left child becomes the root, which is returned.
    fn rotate_right(&mut self, node_id: u32) -> u32 {
        let root = self.node(node_id).left;
        self.node_mut(node_id).left = self.node(root).right;
        self.node_mut(root).right = node_id;
        self.update_total(node_id);
        self.update_total(root);
        root
    }

    fn update_total(&mut self, node_id: u32) {
        let Node { key, left, right, .. } = *self.node(node_id);
        let before = concat(self.node(left).total, single(key));
        self.node_mut(node_id).total = concat(before, self.node(right).total);
    }
}

fn single(key: Key) -> Prefix {
    Prefix { count: 1, sum: key.value }
}

fn concat(one: Prefix, other: Prefix) -> Prefix {
    Prefix { count: one.count + other.count, sum: one.sum.saturating_add(other.sum) }
}
