//! Fleet members, and the choice of replicas and registers among them.
use crate::record::rendezvous_weight;

/// A director as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Whether it is in the fleet and accepts requests.
    pub serving: bool,
    /// Whether it is in the fleet.
    pub in_fleet: bool,
}

/// Selects the two replicas of a director: the best by rendezvous hashing in another hall than the
/// director's, if there is one, so that the loss of a hall does not lose a session set, and the best of the
/// remaining ones.
pub fn select_replicas(members: &[Member], me: &str, hall: &str, excluded: &[String]) -> Vec<String> {
    let key = crate::record::hash_fnv1a(me);
    let mut candidates: Vec<&Member> =
        members.iter().filter(|m| m.serving && m.name != me && !excluded.contains(&m.name)).collect();
    candidates.sort_by_key(|m| std::cmp::Reverse(rendezvous_weight(key, &m.name)));
    let elsewhere = candidates.iter().find(|m| m.hall != hall).or(candidates.first()).map(|m| m.name.clone());
    let other = candidates.iter().map(|m| &m.name).find(|name| Some(*name) != elsewhere.as_ref()).cloned();
    elsewhere.into_iter().chain(other).collect()
}

/// The two registers of a viewer and title.
pub fn registers(members: &[Member], key: u64) -> Vec<String> {
    let mut candidates: Vec<&Member> = members.iter().filter(|m| m.serving).collect();
    candidates.sort_by_key(|m| std::cmp::Reverse(rendezvous_weight(key, &m.name)));
    candidates.into_iter().take(2).map(|m| m.name.clone()).collect()
}

/// The same with the incarnations of their processes: a process that was restarted has lost its register.
pub fn register_incarnations(members: &[Member], key: u64) -> Vec<(String, u64)> {
    let incarnation = |name: &String| members.iter().find(|m| m.name == *name).map_or(0, |m| m.incarnation);
    registers(members, key).into_iter().map(|name| (incarnation(&name), name)).map(|(l, n)| (n, l)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(n: usize) -> Vec<Member> {
        let of = |i: usize| Member {
            name: format!("d{i}"),
            hall: ["a", "b"][i % 2].into(),
            incarnation: 1,
            serving: true,
            in_fleet: true,
        };
        (0..n).map(of).collect()
    }

    #[test]
    fn one_replica_is_in_another_hall_none_at_the_owner_and_a_loss_moves_no_others() {
        let all = fleet(60);
        let mut moved = 0;
        for m in &all {
            let of = select_replicas(&all, &m.name, &m.hall, &[]);
            assert!(of.len() == 2 && !of.contains(&m.name) && of[0] != of[1]);
            let hall = |name: &String| all.iter().find(|m| m.name == *name).map(|m| m.hall.clone());
            assert_ne!(hall(&of[0]), Some(m.hall.clone()));
            let fewer: Vec<Member> = all.iter().filter(|m| m.name != "d7").cloned().collect();
            let after = select_replicas(&fewer, &m.name, &m.hall, &[]);
            moved += usize::from(after != of && !of.contains(&"d7".to_owned()));
            assert!(!select_replicas(&all, &m.name, &m.hall, &of).iter().any(|k| of.contains(k)));
        }
        assert_eq!(moved, 0, "a lost member moves only its own replicas");
        assert_eq!(select_replicas(&fleet(1), "d0", "a", &[]), Vec::<String>::new());
        assert_eq!(registers(&all, 5).len(), 2);
    }
}
