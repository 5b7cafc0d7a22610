#!/usr/bin/env bash
# Runs the observation after the build of the deploy file and review/build.sh; exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=../../..
for program in chicoryhoist review/half-close; do
	if [ ! -x "$root/target/$program" ]; then
		echo "target/$program is missing; run the build of deploy/system.toml and review/build.sh" >&2
		exit 2
	fi
done
exec "$root/target/review/half-close" "$root/target/chicoryhoist" .
