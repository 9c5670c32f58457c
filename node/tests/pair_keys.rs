//! Keys that pairs of proxies share: a message is accepted only from its sender and only by its receiver.
use threadward::pair_keys::PairKeys;

fn pair_keys(index: u16, public_keys: &[Vec<[u8; 32]>]) -> PairKeys {
    PairKeys::new(&[index as u8 + 1; 32], public_keys.to_vec(), index)
}

fn public_key_of(secret: u8) -> [u8; 32] {
    threadward_gossip::public_key(&[secret; 32])
}

/// A third proxy of the fleet shares a key with each of two others, but does not have the key that those two
/// share, so it can neither read their messages as its own nor send in the name of one of them.
#[test]
fn a_message_counts_from_its_sender_to_its_receiver_only() {
    let public_keys =
        vec![vec![public_key_of(1)], vec![public_key_of(9), public_key_of(2)], vec![public_key_of(3)]];
    let [mut a, mut b, mut c] = [0, 1, 2].map(|i| pair_keys(i, &public_keys));
    let message = |from: u8| vec![32, 0, from, 1, 2, 3];
    // a signs under both keys that it knows of b; the other one is an old key of b, or its next one.
    let signed = a.sign(1, &message(0));
    let opened: Vec<_> = signed.iter().filter_map(|m| b.open(m)).collect();
    assert_eq!((signed.len(), opened), (2, vec![(0, &message(0)[..])]), "the same key at both ends");
    assert!(signed.iter().all(|m| c.open(m).is_none()), "addressed to another proxy");
    assert_eq!(a.open(&b.sign(0, &message(1))[0]).map(|(from, _)| from), Some(1));
    assert!(c.sign(1, &message(0)).iter().all(|m| b.open(m).is_none()), "c signed in the name of a");
    for mut changed in signed {
        changed[4] ^= 1;
        assert_eq!(b.open(&changed), None, "changed in transit");
    }
    assert!(a.open(&[]).is_none() && a.open(&[32; 20]).is_none());
    // After a reload with a file in which c has no key, its messages are refused and nothing is signed for
    // it.
    let from_c = c.sign(0, &message(2)).remove(0);
    assert!(a.open(&from_c).is_some());
    a.replace_public_keys(vec![vec![public_key_of(1)], vec![public_key_of(2)], vec![]]);
    assert!(a.open(&from_c).is_none() && a.sign(2, &message(0)).is_empty());
}
