#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the kill of the three seeds.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig2 ] || exit 2
RECORD=review/4/record.txt exec review/bin/rig2 lost-seeds
