//! Keys of pairs of proxies: who may speak to whom under which.
use threadward::pair_keys::PairKeys;

fn pairs(place: u16, publics: &[Vec<[u8; 32]>]) -> PairKeys {
    PairKeys::new(&[place as u8 + 1; 32], publics.to_vec(), place)
}

fn public(secret: u8) -> [u8; 32] {
    threadward_gossip::public_key(&[secret; 32])
}

/// A third proxy of the fleet has a key with each of the two, and none of theirs.
#[test]
fn a_message_counts_from_its_sender_to_its_receiver_only() {
    let publics = vec![vec![public(1)], vec![public(9), public(2)], vec![public(3)]];
    let [mut a, mut b, mut c] = [0, 1, 2].map(|i| pairs(i, &publics));
    let message = |from: u8| vec![32, 0, from, 1, 2, 3];
    // The other one that a has of b is an old one, or one that it will have.
    let all = a.sign(1, &message(0));
    let taken: Vec<_> = all.iter().filter_map(|m| b.open(m)).collect();
    assert_eq!((all.len(), taken), (2, vec![(0, &message(0)[..])]), "the same key at both ends");
    assert!(all.iter().all(|m| c.open(m).is_none()), "meant for another");
    assert_eq!(a.open(&b.sign(0, &message(1))[0]).map(|(from, _)| from), Some(1));
    assert!(c.sign(1, &message(0)).iter().all(|m| b.open(m).is_none()), "c speaks for a");
    for mut changed in all {
        changed[4] ^= 1;
        assert_eq!(b.open(&changed), None, "changed on the way");
    }
    assert!(a.open(&[]).is_none() && a.open(&[32; 20]).is_none());
    // A file read anew in which c has no key: it is not heard, nor told anything.
    let word = c.sign(0, &message(2)).remove(0);
    assert!(a.open(&word).is_some());
    a.replace_public_keys(vec![vec![public(1)], vec![public(2)], vec![]]);
    assert!(a.open(&word).is_none() && a.sign(2, &message(0)).is_empty());
}
