#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/chicoryhoist ] && [ -x ../../target/review-3/lab3 ] || exit 2
exec ../../target/review-3/lab3 leave ../../target/chicoryhoist record.txt
