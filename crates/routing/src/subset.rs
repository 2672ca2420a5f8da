//! The bounded subset of a service's targets that one node uses.
//!
//! If each node used each target, the number of links would grow with the square of the fleet. The
//! targets are selected by rendezvous hashing, so that the nodes spread evenly over the targets,
//! and a target that comes or goes changes at most one target of each node's subset.

/// The most targets that a node uses in its own data centre.
pub const NEAR_TARGETS: usize = 16;
/// How many targets a node uses in other data centres, if there are enough in its own.
pub const FAR_TARGETS: usize = 2;
/// With fewer targets in its own data centre and [`FAR_TARGETS`], a node uses more of the other
/// data centres up to this total.
pub const LEAST_TARGETS: usize = 4;
/// In a fleet of at most this many targets of all services, a node uses each target: the links of
/// so small a fleet need no bound.
pub const SMALL_FLEET: usize = 16;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A target that takes new requests.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The name of its host.
    pub host: &'a str,
    /// The name of its data centre.
    pub data_centre: &'a str,
}

/// The targets that a node uses, as indexes into the candidates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Subset {
    /// Those in the node's data centre; that of its own host is the first one.
    pub near: Vec<usize>,
    /// Those in other data centres, from each in turn.
    pub far: Vec<usize>,
}

/// A candidate in another data centre, with the values that it is sorted by.
struct Far {
    /// How many targets of the same data centre come before this one.
    rank: usize,
    centre_weight: u64,
    weight: u64,
    index: usize,
}

/// Selects the subset of the node on the host `node.host`, in a fleet of `fleet` targets of all
/// services.
pub fn select(node: Candidate<'_>, candidates: &[Candidate<'_>], fleet: usize) -> Subset {
    let seed = mix(hash(node.host));
    let weight = |name: &str| mix(seed ^ hash(name));
    let mut near = Vec::new();
    let mut far = Vec::new();
    for (index, it) in candidates.iter().enumerate() {
        if it.data_centre == node.data_centre {
            // The own target needs no link, so it does not take a place of another one.
            let other = it.host != node.host;
            near.push((other, weight(it.host), index));
        } else {
            let centre_weight = weight(it.data_centre);
            far.push(Far { rank: 0, centre_weight, weight: weight(it.host), index });
        }
    }
    near.sort_unstable();
    let own = near.iter().filter(|it| !it.0).count();
    rank(&mut far);
    if fleet > SMALL_FLEET {
        near.truncate(NEAR_TARGETS + own);
        far.truncate(LEAST_TARGETS.saturating_sub(near.len()).max(FAR_TARGETS));
    }
    Subset {
        near: near.into_iter().map(|it| it.2).collect(),
        far: far.into_iter().map(|it| it.index).collect(),
    }
}

/// Whether `host` connects first when both hosts need a link to each other. The other one waits,
/// so that they seldom connect at the same time.
pub fn connects_first(host: &str, peer: &str) -> bool {
    let weight = |from: &str, to: &str| mix(mix(hash(from)) ^ hash(to));
    (weight(host, peer), host) < (weight(peer, host), peer)
}

/// Orders targets so that each data centre contributes one in turn.
fn rank(far: &mut [Far]) {
    far.sort_unstable_by_key(|it| (it.centre_weight, it.weight, it.index));
    let mut rank = 0;
    let mut previous = None;
    for it in far.iter_mut() {
        rank = if previous == Some(it.centre_weight) { rank + 1 } else { 0 };
        previous = Some(it.centre_weight);
        it.rank = rank;
    }
    far.sort_unstable_by_key(|it| (it.rank, it.centre_weight));
}

/// A number by which hosts are ordered the same in every process, whose names of one data centre
/// often begin alike.
pub(crate) fn scatter(host: &str) -> u64 {
    mix(hash(host))
}

/// FNV-1a.
fn hash(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET, |hash, it| (hash ^ u64::from(it)).wrapping_mul(FNV_PRIME))
}

/// The finalizer of SplitMix64: names that differ in one digit get unrelated values.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
