"""Writes days of 88 s for the system's bench, in the shape of the FAILBACK incident: a change of configuration each 0.4 to 0.9 s,
evacuations of zones that return cold beside cuts, freezes and kills, overlapping, and a final fault.

    python3 failback-days.py SITE OUT SEEDS [flap]     OUT-SEED.toml for each seed (separated by commas), to be played by "run SITE FILE"

flap: servers that fail and flap as well, on sites whose contracts have "health". The days of docs/history.md: hakata 1,2,3, aula 4,5, Maktab 6 flap.
"""
import random, sys, re
site, out, names, flap = sys.argv[1], sys.argv[2], sys.argv[3].split(','), sys.argv[4:] == ['flap']
text = open(site).read()
first = [d for d in text.split('[[day]]')[1:] if 'name = "quiet-1"' in d][0]
zones = re.findall(r'\{ name = "([^"]+)", region', text.split('machines')[0])
for seed in names:
    r = random.Random(int(seed))
    plan, faults = [], []
    t = 1.0
    while t < 84:
        plan.append('{ at = %.2f, kind = "config_change", how = "%s" }' % (t, r.choice(['route', 'weights', 'timeout', 'idle'])))
        t += r.choice([0.4, 0.6, 0.9])
    t = 4.0
    while t < 78:
        z = r.choice(zones)
        long = r.choice([1.0, 2.0, 4.0])
        plan.append('{ at = %.2f, kind = "evacuate", zone = "%s", for_s = %.1f, how = "%s" }' % (t, z, long, r.choice(['', 'warm'])))
        faults.append('{ at = %.2f, kind = "cold_return", zone = "%s", for_s = 3.0, how = "dark" }' % (t + r.uniform(-1, 1), z))
        other = r.choice([x for x in zones if x != z])
        faults.append(r.choice([
            '{ at = %.2f, kind = "zone_cut", zone = "%s", for_s = %.1f }' % (t - 0.5, other, r.uniform(2, 6)),
            '{ at = %.2f, kind = "node_cut", share = 0.4, for_s = %.1f }' % (t - 0.5, r.uniform(2, 6)),
            '{ at = %.2f, kind = "node_freeze", share = 0.3, for_s = %.1f }' % (t, r.uniform(1, 4)),
            '{ at = %.2f, kind = "core_cut", count = 1, for_s = %.1f, how = "leader race" }' % (t, r.uniform(2, 5)),
            '{ at = %.2f, kind = "node_kill", share = 0.2, how = "power", for_s = 2.0 }' % t,
        ]))
        t += r.uniform(4, 8)
    for at in (20, 50) if flap else ():
        faults.append('{ at = %d, kind = "srv_grey", share = 0.15, for_s = 8, how = "reset", x = 0.3 }' % at)
        faults.append('{ at = %d, kind = "srv_flap", share = 0.1, gap_s = 1.5, for_s = 8 }' % (at + 5))
    d = first
    d = re.sub(r'name = "quiet-1"', 'name = "own-%s"' % seed, d)
    d = re.sub(r'seed = \d+', 'seed = %d\nlength_s = 88.0\nclosing = { kind = "%s", down_s = 1.0 }' % (r.randrange(10**8), r.choice(['power_off_all', 'wipe_after_ack', 'kill_all'])), d, count=1)
    d = re.sub(r'faults = \[\]', 'faults = [\n  %s,\n]' % ',\n  '.join(faults), d, count=1)
    d = re.sub(r'plan = \[\n.*?\n\]', lambda m: 'plan = [\n  %s,\n]' % ',\n  '.join(plan), d, count=1, flags=re.S)
    open('%s-%s.toml' % (out, seed), 'w').write('[[day]]' + d)
