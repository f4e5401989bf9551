"""Writes a day of 88 s of the shapes that NEWS-24 names, on a site of the kit.

    python3 news24-days.py SITE OUT SEEDS     OUT-SEED.toml for each seed (separated by commas), to be played by "run SITE FILE"

Mass kills and mass losses of power, alone and while a zone returns; full disks on all machines that count, one after the other and at once; machines that
start again and again, so that readiness is asked often.
"""
import random, re, sys

site, out, names = sys.argv[1], sys.argv[2], sys.argv[3].split(',')
text = open(site).read()
first = [d for d in text.split('[[day]]')[1:] if 'name = "quiet-1"' in d][0]
zones = re.findall(r'\{ name = "([^"]+)", region', text.split('machines')[0])
for seed in names:
    r = random.Random(int(seed))
    plan = ['{ at = %.2f, kind = "config_change", how = "%s" }' % (t, r.choice(['route', 'weights', 'timeout', 'idle'])) for t in [1 + 2.3 * i for i in range(36)]]
    plan.append('{ at = 70, kind = "roll_term", share = 0.4, x = 1.0, gap_s = 1.2 }')
    zone = r.choice(zones)
    faults = [
        '{ at = 8, kind = "herd_kill", share = %.2f, for_s = 2.0, how = "" }' % r.uniform(0.5, 0.9),
        '{ at = 20, kind = "herd_kill", share = %.2f, for_s = 2.0, how = "power" }' % r.uniform(0.5, 0.9),
        '{ at = 32, kind = "zone_loss", zone = "%s", for_s = 3.0 }' % zone,
        '{ at = %.2f, kind = "herd_kill", share = 0.7, for_s = 2.0, how = "%s" }' % (r.uniform(34.5, 36), r.choice(['', 'power'])),
        '{ at = 46, kind = "disk_full", count = 1, for_s = 5.0 }',
        '{ at = 53, kind = "disk_full", count = 9, for_s = 5.0 }',
        '{ at = %.2f, kind = "cold_return", zone = "%s", for_s = 3.0, how = "dark" }' % (r.uniform(53, 56), r.choice(zones)),
        '{ at = 62, kind = "herd_kill", on = "core", for_s = 1.5, how = "%s" }' % r.choice(['', 'off']),
    ]
    d = re.sub(r'name = "quiet-1"', 'name = "news24-%s"' % seed, first)
    d = re.sub(r'seed = \d+', 'seed = %d\nlength_s = 88.0\nclosing = { kind = "%s", down_s = 1.0 }' % (r.randrange(10**8), r.choice(['power_off_all', 'wipe_after_ack', 'kill_all'])), d, count=1)
    d = re.sub(r'faults = \[\]', 'faults = [\n  %s,\n]' % ',\n  '.join(faults), d, count=1)
    d = re.sub(r'plan = \[\n.*?\n\]', lambda m: 'plan = [\n  %s,\n]' % ',\n  '.join(plan), d, count=1, flags=re.S)
    open('%s-%s.toml' % (out, seed), 'w').write('[[day]]' + d)
