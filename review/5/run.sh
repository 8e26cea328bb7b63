#!/bin/sh
# Runs the case that claim.txt describes. Needs the build of the deploy file and review/build.sh.
# TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/review/cases ] || ! [ -x target/release/redwinggrade-edge ]; then
    echo "build redwinggrade-platform and run review/build.sh first" >&2
    exit 2
fi
exec target/review/cases mixed-replicas review/5
