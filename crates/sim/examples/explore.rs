use agatedeck_sim::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Instant;
fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (first, count): (u64, u64) = (args[0].parse().unwrap(), args[1].parse().unwrap());
    let kinds: Vec<FaultKind> = match args.get(2).map(String::as_str) { None | Some("all") => FaultKind::ALL.to_vec(), Some("none") => vec![], Some(list) => list.split(',').map(|k| k.parse().unwrap()).collect() };
    let trace = args.iter().any(|a| a == "trace");
    let big = args.iter().any(|a| a == "big");
    let start = Instant::now();
    let mut worst: Vec<(f64, u64, String)> = Vec::new();
    let mut fails = 0;
    let results: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4u64).map(|t| { let kinds = &kinds; scope.spawn(move || {
            let mut out = Vec::new();
            for seed in (first..first + count).filter(|s| s % 4 == t) {
        let mut settings = FleetSettings { keeps_timeline: trace, ..Default::default() };
        if big {
            settings.config_size = ConfigSize { feed_bytes: 1_000_000, snapshot_bytes: 100_000, ..Default::default() };
            settings.costs = ProcessorCosts { read: std::time::Duration::from_millis(27), apply: std::time::Duration::from_millis(10), compress: std::time::Duration::from_millis(7), ..Default::default() };
        }
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let plan = FaultPlan::draw(&kinds, settings.length, &mut rng);
        let report = run_fleet(&settings, &plan, seed);
        let names: Vec<String> = plan.faults.iter().map(|f| format!("{}@{:.1}+{:.1}/{:.2}x{:.0}", f.kind, f.at.as_secs_f64(), f.lasts.as_secs_f64(), f.share, f.factor)).collect();
        if trace { for l in &report.timeline { println!("{l}"); } }
        let ratio = if report.is_overloaded { 9.9 } else { report.largest.as_ref().map_or(0.0, |s| s.ratio()) };
        let st = report.largest_stable.as_ref().map_or(0.0, |s| s.ratio());
        out.push((report.holds(), ratio, seed, format!("{}stable {st:.2} leaders {} msgs {} v {} calls {} p50 {:?} max {:?} {:?} {}", if report.is_overloaded {"OVERLOAD "} else {""}, report.max_leaders, report.messages, report.versions, report.store_calls, report.spread_times.get(report.spread_times.len()/2), report.spread_times.last(), report.largest, names.join(" "))));
            } out }) }).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap()).collect()
    });
    for (holds, r, s, t) in results { if !holds { fails += 1; } worst.push((r, s, t)); }
    worst.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (r, s, t) in worst.iter().take(12) { println!("{r:.2} seed {s}: {t}"); }
    println!("{fails} of {count} fail; {:?} a run", start.elapsed() / count as u32);
}
