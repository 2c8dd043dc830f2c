//! Tests of paths, plans and chains: every layer runs once and in order, and no endpoint holds more
//! than its memory allows.

use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_testing::for_fixed_seeds;

const LAYERS: u16 = 80;
const CROSSING: CrossingCost = CrossingCost { request_ms: 10.0, activations_ms: 100.0 };
const WEIGHTS: PlanWeights = PlanWeights { load: 1.0, unload: 1.0, balance: 0.1 };

fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

fn holder(id: &str, hall: &str, first: u16, end: u16) -> LayerHolder {
    LayerHolder {
        endpoint: id.to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: hall.to_owned(),
        layers: range(first, end),
        use_cost_ms: 0.0,
        layer_cost_ms: 1.0,
    }
}

fn plan_member(id: &str, max_layers: u16, held: Option<LayerRange>) -> PlanMember {
    PlanMember {
        endpoint: id.to_owned(),
        layer_count_costs: vec![0.0; usize::from(max_layers) + 1],
        weight: f64::from(max_layers),
        held,
    }
}

fn part(id: &str, first: u16, end: u16) -> PathPart {
    PathPart {
        endpoint: id.to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        layers: range(first, end),
    }
}

/// A path must cover all layers once and in order, with no empty part and no endpoint twice.
#[test]
fn path_rejects_gaps_overlaps_and_repeated_endpoints() {
    let path = |parts: Vec<PathPart>| LayerPath::new(parts, 10);

    assert!(path(vec![part("a", 0, 5), part("b", 5, 10)]).is_ok());
    assert!(path(vec![]).is_err());
    assert!(path(vec![part("a", 0, 5), part("b", 6, 10)]).is_err());
    assert!(path(vec![part("a", 0, 5), part("b", 4, 10)]).is_err());
    assert!(path(vec![part("a", 0, 5), part("b", 5, 9)]).is_err());
    assert!(path(vec![part("a", 0, 5), part("b", 5, 5), part("c", 5, 10)]).is_err());
    assert!(path(vec![part("a", 0, 5), part("a", 5, 10)]).is_err());
}

/// A path within the local hall is chosen over one endpoint of another hall.
#[test]
fn path_stays_in_the_local_hall_if_possible() {
    let holders = [holder("a1", "a", 0, 6), holder("b1", "b", 0, 10), holder("a2", "a", 5, 10)];

    let path = find_path(&holders, 10, "a", CROSSING).expect("all layers are held").path;

    let names: Vec<&str> = path.parts().iter().map(|part| part.endpoint.as_str()).collect();
    assert_eq!(names, ["a1", "a2"]);
}

/// Starting in another hall is cheaper than passing activations between halls.
#[test]
fn path_moves_to_another_hall_rather_than_crossing_in_the_middle() {
    let holders = [holder("a1", "a", 0, 6), holder("b1", "b", 0, 6), holder("b2", "b", 6, 10)];

    let path = find_path(&holders, 10, "a", CROSSING).expect("all layers are held").path;

    let names: Vec<&str> = path.parts().iter().map(|part| part.endpoint.as_str()).collect();
    assert_eq!(names, ["b1", "b2"]);
}

/// A layer without a holder makes every path impossible.
#[test]
fn no_path_if_a_layer_has_no_holder() {
    let holders = [holder("a1", "a", 0, 4), holder("a2", "a", 5, 10)];

    assert!(find_path(&holders, 10, "a", CROSSING).is_none());
}

/// Every part of a found path lies within the layers that its endpoint holds.
#[test]
fn found_paths_only_use_layers_that_endpoints_hold() {
    for_fixed_seeds(300, 512, |u| {
        let mut holders = Vec::new();
        for number in 0..u.int_in_range(0..=12)? {
            let first = u.int_in_range(0..=19)?;
            let end = u.int_in_range(first..=20)?;
            let hall = if u.arbitrary()? { "a" } else { "b" };
            let mut one = holder(&number.to_string(), hall, first, end);
            one.layer_cost_ms = f64::from(u.int_in_range(1..=50)?);
            holders.push(one);
        }

        let path = find_path(&holders, 20, "a", CROSSING).map(|found| found.path);

        let Some(path) = path else {
            return Ok(());
        };
        for part in path.parts() {
            let held = holders.iter().find(|h| h.endpoint == part.endpoint).expect("it is known");
            assert!(held.layers.first <= part.layers.first && part.layers.end <= held.layers.end);
        }
        Ok(())
    });
}

/// Empty endpoints get layers in proportion to their weights.
#[test]
fn initial_plan_distributes_layers_by_weight() {
    let members =
        [plan_member("a", 20, None), plan_member("b", 12, None), plan_member("c", 8, None)];

    let plan = plan_placement(&members, 20, WEIGHTS).expect("it fits");

    let sizes: Vec<usize> = plan.iter().map(|a| a.layers.len()).collect();
    assert_eq!(sizes, [10, 6, 4]);
}

/// After a loss only the layers of the lost endpoint are loaded by others.
#[test]
fn plan_loads_only_the_layers_of_a_lost_endpoint() {
    let members = [
        plan_member("a", 8, Some(range(0, 5))),
        plan_member("c", 8, Some(range(10, 15))),
        plan_member("d", 8, Some(range(15, 20))),
    ];

    let plan = plan_placement(&members, 20, PlanWeights { load: 100.0, unload: 0.0, balance: 0.1 })
        .expect("it fits");

    let layers: Vec<LayerRange> = plan.iter().map(|a| a.layers).collect();
    let loaded: usize = plan
        .iter()
        .zip(&members)
        .map(|(a, r)| {
            let held = r.held.expect("it holds some");
            let kept = range(a.layers.first.max(held.first), a.layers.end.min(held.end)).len();
            a.layers.len() - kept
        })
        .sum();
    assert_eq!(loaded, 5, "{layers:?}");
}

/// An empty endpoint is placed at the layers that nobody holds.
#[test]
fn empty_endpoint_gets_the_missing_layers() {
    let members = [
        plan_member("a", 8, Some(range(0, 5))),
        plan_member("new", 8, None),
        plan_member("c", 12, Some(range(10, 20))),
    ];

    let plan = plan_placement(&members, 20, PlanWeights { load: 100.0, unload: 0.0, balance: 0.1 })
        .expect("it fits");

    let new = plan.iter().find(|assignment| assignment.endpoint == "new");
    assert_eq!(new.map(|assignment| assignment.layers), Some(range(5, 10)));
}

/// For any endpoints, a plan covers every layer once and no endpoint holds more than it can.
/// There is a plan exactly if the endpoints can hold all layers together.
#[test]
fn plans_cover_every_layer_once_within_memory() {
    for_fixed_seeds(400, 512, |u| {
        let mut members = Vec::new();
        for number in 0..u.int_in_range(0..=14)? {
            let max_layers = u.int_in_range(0..=20)?;
            let first = u.int_in_range(0..=79)?;
            let held = range(first, (first + u.int_in_range(0..=max_layers)?).min(LAYERS));
            let held = if u.arbitrary()? { Some(held) } else { None };
            members.push(plan_member(&number.to_string(), max_layers, held));
        }
        let total: usize = members.iter().map(|member| member.layer_count_costs.len() - 1).sum();

        let plan = plan_placement(&members, LAYERS, WEIGHTS);

        assert_eq!(plan.is_some(), total >= usize::from(LAYERS));
        let mut next = 0;
        for assignment in plan.iter().flatten() {
            let member = members.iter().find(|m| m.endpoint == assignment.endpoint);
            let max_layers = member.expect("it is known").layer_count_costs.len() - 1;
            assert_eq!(assignment.layers.first, next);
            assert!(assignment.holds.len() <= max_layers);
            let covers = assignment.holds.first <= assignment.layers.first
                && assignment.layers.end <= assignment.holds.end;
            assert!(covers || assignment.layers.is_empty());
            next = assignment.layers.end;
        }
        assert!(plan.is_none() || next == LAYERS);
        Ok(())
    });
}

/// A placement that is already even is kept.
#[test]
fn balanced_plan_does_not_change() {
    let members = [
        plan_member("a", 20, Some(range(0, 10))),
        plan_member("b", 12, Some(range(10, 16))),
        plan_member("c", 8, Some(range(16, 20))),
    ];

    let plan = plan_placement(&members, 20, WEIGHTS).expect("it fits");

    let layers: Vec<Option<LayerRange>> = plan.iter().map(|a| Some(a.layers)).collect();
    let held: Vec<Option<LayerRange>> = members.iter().map(|r| r.held).collect();
    assert_eq!(layers, held);
}

/// The number of layers that fit falls as the KV cache grows.
#[test]
fn fewer_layers_fit_beside_a_larger_kv_cache() {
    let figures = MemoryFigures {
        memory_mb: 21_600.0,
        layer_mb: 1750.0,
        layers: 80,
        kv_token_bytes: 459_000.0,
    };

    assert_eq!(layers_that_fit(&figures, 0.0), 12);
    assert_eq!(layers_that_fit(&figures, 1.0), 12);
    assert_eq!(layers_that_fit(&figures, 30_000.0), 11);
    assert_eq!(layers_that_fit(&figures, 70_000.0), 10);
}

/// An endpoint unloads layers that others hold if they take memory needed for its KV cache.
#[test]
fn plan_unloads_layers_that_leave_too_little_kv_cache() {
    let mut overfull = plan_member("a", 12, Some(range(0, 12)));
    overfull.layer_count_costs = (0..=12).map(|n| if n > 10 { 20.0 } else { 0.0 }).collect();
    let other = plan_member("b", 12, Some(range(10, 20)));
    let weights = PlanWeights { load: 1.0, unload: 2.0, balance: 0.1 };

    let plan = plan_placement(&[overfull, other], 20, weights).expect("it fits");

    assert_eq!(plan[0].holds, range(0, 10));
}

fn chain_member(id: &str, weight: f64, held: Option<LayerRange>) -> ChainMember {
    ChainMember { endpoint: id.to_owned(), weight, held }
}

/// Chains of empty endpoints get about the same total weight.
#[test]
fn empty_endpoints_are_assigned_to_chains_by_weight() {
    let members = [
        chain_member("a", 4.0, None),
        chain_member("b", 3.0, None),
        chain_member("c", 2.0, None),
        chain_member("d", 1.0, None),
    ];

    let assigned = assign_chains(&members, 2, &Default::default());

    assert_eq!(assigned["a"], assigned["d"]);
    assert_eq!(assigned["b"], assigned["c"]);
    assert_ne!(assigned["a"], assigned["b"]);
}

/// Without a previous assignment, endpoints whose layers continue each other form a chain.
#[test]
fn chains_are_reconstructed_from_held_layers() {
    let members = [
        chain_member("a1", 1.0, Some(range(0, 30))),
        chain_member("a2", 1.0, Some(range(30, 80))),
        chain_member("b1", 1.0, Some(range(0, 50))),
        chain_member("b2", 1.0, Some(range(50, 80))),
    ];

    let assigned = assign_chains(&members, 2, &Default::default());

    assert_eq!(assigned["a1"], assigned["a2"]);
    assert_eq!(assigned["b1"], assigned["b2"]);
    assert_ne!(assigned["a1"], assigned["b1"]);
}

/// An endpoint with a previous chain keeps it even if another chain is lighter.
#[test]
fn endpoints_keep_their_previous_chain() {
    let before = [("a".to_owned(), 1)].into_iter().collect();

    let assigned =
        assign_chains(&[chain_member("a", 9.0, None), chain_member("b", 1.0, None)], 2, &before);

    assert_eq!((assigned["a"], assigned["b"]), (1, 0));
}

/// All parts but the lost one stay; its layers are run by several other endpoints.
#[test]
fn path_repair_replaces_only_the_lost_part() {
    let old = vec![part("a", 0, 4), part("lost", 4, 8), part("c", 8, 10)];
    let old = LayerPath::new(old, 10).expect("the path is complete");
    let holders = [holder("a", "a", 0, 10), holder("x", "a", 2, 6), holder("y", "b", 5, 9)];

    let repaired = repair_path(&old, "lost", &holders, 10, "a", CROSSING).expect("others hold it");

    assert_eq!(repaired.parts()[0], part("a", 0, 4));
    assert_eq!(repaired.parts().last(), Some(&part("c", 8, 10)));
    let names: Vec<&str> = repaired.parts().iter().map(|part| part.endpoint.as_str()).collect();
    assert_eq!(names, ["a", "x", "y", "c"]);
}

/// Path repair returns nothing if the lost endpoint runs the first part.
#[test]
fn first_part_of_a_path_cannot_be_replaced() {
    let old =
        LayerPath::new(vec![part("a", 0, 4), part("b", 4, 10)], 10).expect("the path is complete");
    let holders = [holder("x", "a", 0, 4)];

    assert!(repair_path(&old, "a", &holders, 10, "a", CROSSING).is_none());
}

/// Cost of a path by the rules of `find_path`.
fn path_cost(path: &LayerPath, holders: &[LayerHolder], local_hall: &str) -> f64 {
    let holder_of =
        |part: &PathPart| holders.iter().find(|h| h.endpoint == part.endpoint).expect("known");
    let first = holder_of(&path.parts()[0]);
    let mut cost = if first.hall == local_hall { 0.0 } else { CROSSING.request_ms };
    for part in path.parts() {
        let holder = holder_of(part);
        cost += holder.use_cost_ms + part.layers.len() as f64 * holder.layer_cost_ms;
    }
    for pair in path.parts().windows(2) {
        cost += if holder_of(&pair[0]).hall == holder_of(&pair[1]).hall {
            0.0
        } else {
            CROSSING.activations_ms
        };
    }
    cost
}

/// Least cost of running the layers from `from` on after the holders in `used`, by exhaustive search.
/// Each holder is used once or, with `may_return`, several times but not twice in a row.
fn min_cost(
    holders: &[LayerHolder],
    layers: u16,
    from: u16,
    used: &mut Vec<usize>,
    may_return: bool,
) -> f64 {
    if from == layers {
        return 0.0;
    }
    let mut least = f64::INFINITY;
    for (index, holder) in holders.iter().enumerate() {
        let last = used.last().copied();
        let holds_layer = holder.layers.first <= from && from < holder.layers.end;
        let is_used = if may_return { last == Some(index) } else { used.contains(&index) };
        if !holds_layer || is_used {
            continue;
        }
        let before = match last {
            None if holder.hall == "a" => 0.0,
            None => CROSSING.request_ms,
            Some(last) if holders[last].hall == holder.hall => 0.0,
            Some(_) => CROSSING.activations_ms,
        };
        used.push(index);
        for to in from + 1..=holder.layers.end.min(layers) {
            let part = holder.use_cost_ms + f64::from(to - from) * holder.layer_cost_ms;
            let rest = min_cost(holders, layers, to, used, may_return);
            least = least.min(before + part + rest);
        }
        used.pop();
    }
    least
}

/// If the cheapest way leaves an endpoint and returns to it, the path uses that endpoint throughout,
/// as no endpoint may occur twice.
#[test]
fn endpoint_that_the_path_returns_to_runs_the_layers_in_between() {
    let mut wide = holder("wide", "a", 0, 20);
    wide.layer_cost_ms = 5.0;
    let holders = [wide, holder("quick", "a", 5, 10)];

    let path = find_path(&holders, 20, "a", CROSSING).expect("one holds all layers").path;

    assert_eq!(path.parts(), [part("wide", 0, 20)]);
}

/// Compares found paths with an exhaustive search over paths that use each endpoint once.
#[test]
fn found_path_has_the_least_cost() {
    for_fixed_seeds(300, 256, |u| {
        let layers = 6;
        let mut holders = Vec::new();
        for number in 0..u.int_in_range(1..=6)? {
            let first = u.int_in_range(0..=4)?;
            let end = u.int_in_range(first + 1..=layers)?;
            let hall = *u.choose(&["a", "b", "c"])?;
            let mut one = holder(&number.to_string(), hall, first, end);
            one.layer_cost_ms = f64::from(u.int_in_range(1..=50)?);
            one.use_cost_ms = f64::from(u.int_in_range(0..=80)?);
            holders.push(one);
        }

        let found = find_path(&holders, layers, "a", CROSSING).map(|found| found.path);

        let least = min_cost(&holders, layers, 0, &mut Vec::new(), false);
        let with_returns = min_cost(&holders, layers, 0, &mut Vec::new(), true);
        let Some(path) = found else {
            assert!(least.is_infinite(), "there is a path");
            return Ok(());
        };
        let cost = path_cost(&path, &holders, "a");
        assert!(cost > least - 1e-6);
        // A path with the least cost is guaranteed unless returning to an endpoint would be cheaper.
        assert!(with_returns < least - 1e-6 || cost < least + 1e-6, "{cost} {least}");
        Ok(())
    });
}
