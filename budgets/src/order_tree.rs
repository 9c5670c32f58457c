//! An ordered set of keys that counts and adds up any of its beginnings: a weight-balanced tree in one block of memory.
//! It owns the order and the balance. Its depth must never pass 2.41 times the binary logarithm of its size plus one,
//! whatever the order in which keys come and go: no key that a holder chooses makes a step slow.
//!
//! The weight of a tree is its size plus one. Of two children neither weighs more than three times the other, so
//! a child weighs at most three quarters of its parent. The bounds of the rotations are those of Hirai and Yamamoto,
//! "Balancing weight-balanced trees", 2011, who prove them for insertions and removals of one key at a time.

/// One child may weigh as much as this times the other.
const MOST_WEIGHT: usize = 3;
/// An inner grandchild that weighs less than this times the outer one needs a single rotation, else a double one.
const SINGLE_ROTATION: usize = 2;
/// The index of the empty tree; its node has size and sum 0 and is never changed.
const EMPTY: u32 = 0;

/// A value of a place; ordered by the value, then by the place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// What the order goes by first.
    pub value: u64,
    /// Who has the value.
    pub index: u16,
}

/// How many keys a beginning of the order has, and the sum of their values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prefix {
    /// Keys.
    pub count: usize,
    /// The sum of their values, at most `u64::MAX`.
    pub sum: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Node {
    key: Key,
    left: u32,
    right: u32,
    /// Of the tree below, this node included.
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
/// // The longest beginning whose sum with the next key is under 31.
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
    /// Puts a key in; one that is there already changes nothing.
    pub fn insert(&mut self, key: Key) {
        self.root = self.insert_below(self.root, key);
    }

    /// Takes a key out; one that is not there changes nothing.
    pub fn remove(&mut self, key: Key) {
        self.root = self.remove_below(self.root, key);
    }

    /// The count and sum of all keys.
    pub fn total(&self) -> Prefix {
        self.node(self.root).total
    }

    /// Keys before this one, whether it is in the set or not.
    pub fn position(&self, key: Key) -> usize {
        self.prefix(|_, other| other < key).count
    }

    /// The longest beginning of the order whose keys all belong to it. `belongs` is told what stands before a key; once
    /// it has said no of a key, it has to say no of all later ones.
    pub fn prefix(&self, belongs: impl Fn(Prefix, Key) -> bool) -> Prefix {
        let mut prefix = Prefix::default();
        let mut at = self.root;
        while at != EMPTY {
            let node = self.node(at);
            let before = joined(prefix, self.node(node.left).total);
            if belongs(before, node.key) {
                prefix = joined(before, alone(node.key));
                at = node.right;
            } else {
                at = node.left;
            }
        }
        prefix
    }

    /// The most nodes from the root to a leaf: what a step costs at most. It visits all nodes.
    pub fn depth(&self) -> usize {
        let mut depth = 0;
        let mut open = vec![(self.root, 1)];
        while let Some((at, level)) = open.pop() {
            if at != EMPTY {
                depth = depth.max(level);
                open.push((self.node(at).left, level + 1));
                open.push((self.node(at).right, level + 1));
            }
        }
        depth
    }

    fn node(&self, at: u32) -> &Node {
        &self.nodes[at as usize]
    }

    fn node_mut(&mut self, at: u32) -> &mut Node {
        &mut self.nodes[at as usize]
    }

    fn weight(&self, at: u32) -> usize {
        self.node(at).total.count + 1
    }

    fn allocate(&mut self, key: Key) -> u32 {
        let node = Node { key, left: EMPTY, right: EMPTY, total: alone(key) };
        if let Some(at) = self.free.pop() {
            *self.node_mut(at) = node;
            return at;
        }
        self.nodes.push(node);
        (self.nodes.len() - 1) as u32
    }

    fn insert_below(&mut self, at: u32, key: Key) -> u32 {
        if at == EMPTY {
            return self.allocate(key);
        }
        let node = *self.node(at);
        match key.cmp(&node.key) {
            std::cmp::Ordering::Less => self.node_mut(at).left = self.insert_below(node.left, key),
            std::cmp::Ordering::Greater => self.node_mut(at).right = self.insert_below(node.right, key),
            std::cmp::Ordering::Equal => return at,
        }
        self.balanced(at)
    }

    fn remove_below(&mut self, at: u32, key: Key) -> u32 {
        if at == EMPTY {
            return EMPTY;
        }
        let node = *self.node(at);
        match key.cmp(&node.key) {
            std::cmp::Ordering::Less => self.node_mut(at).left = self.remove_below(node.left, key),
            std::cmp::Ordering::Greater => self.node_mut(at).right = self.remove_below(node.right, key),
            std::cmp::Ordering::Equal => {
                self.free.push(at);
                return self.merged(node.left, node.right);
            }
        }
        self.balanced(at)
    }

    /// One tree of the two that a removed node leaves.
    fn merged(&mut self, left: u32, right: u32) -> u32 {
        if left == EMPTY {
            return right;
        }
        if right == EMPTY {
            return left;
        }
        let (first, rest) = self.without_first(right);
        let node = self.node_mut(first);
        (node.left, node.right) = (left, rest);
        self.balanced(first)
    }

    /// The first node of a tree that is not empty, and the tree without it.
    fn without_first(&mut self, at: u32) -> (u32, u32) {
        let node = *self.node(at);
        if node.left == EMPTY {
            return (at, node.right);
        }
        let (first, rest) = self.without_first(node.left);
        self.node_mut(at).left = rest;
        (first, self.balanced(at))
    }

    /// The tree with this root, one of whose children has gained or lost a key.
    fn balanced(&mut self, at: u32) -> u32 {
        let Node { left, right, .. } = *self.node(at);
        if self.weight(right) > MOST_WEIGHT * self.weight(left) {
            let Node { left: inner, right: outer, .. } = *self.node(right);
            if self.weight(inner) >= SINGLE_ROTATION * self.weight(outer) {
                self.node_mut(at).right = self.rotated_right(right);
            }
            return self.rotated_left(at);
        }
        if self.weight(left) > MOST_WEIGHT * self.weight(right) {
            let Node { left: outer, right: inner, .. } = *self.node(left);
            if self.weight(inner) >= SINGLE_ROTATION * self.weight(outer) {
                self.node_mut(at).left = self.rotated_left(left);
            }
            return self.rotated_right(at);
        }
        self.recount(at);
        at
    }

    /// The right child becomes the root.
    fn rotated_left(&mut self, at: u32) -> u32 {
        let root = self.node(at).right;
        self.node_mut(at).right = self.node(root).left;
        self.node_mut(root).left = at;
        self.recount(at);
        self.recount(root);
        root
    }

    /// The left child becomes the root.
    fn rotated_right(&mut self, at: u32) -> u32 {
        let root = self.node(at).left;
        self.node_mut(at).left = self.node(root).right;
        self.node_mut(root).right = at;
        self.recount(at);
        self.recount(root);
        root
    }

    fn recount(&mut self, at: u32) {
        let Node { key, left, right, .. } = *self.node(at);
        let before = joined(self.node(left).total, alone(key));
        self.node_mut(at).total = joined(before, self.node(right).total);
    }
}

fn alone(key: Key) -> Prefix {
    Prefix { count: 1, sum: key.value }
}

fn joined(one: Prefix, other: Prefix) -> Prefix {
    Prefix { count: one.count + other.count, sum: one.sum.saturating_add(other.sum) }
}
