#!/usr/bin/env bash
# Orders to replicas are late, and replicas crash in turn and start again under their IDs. TROUBLE=0: neither; ONLY=late or ONLY=crash: one of them.
# Needs the build command of deploy/system.toml and review/build-3.sh. Exit: 1 the rule was broken, 0 it held, 2 it couldn't run.
cd "$(dirname "$0")" || exit 2
[[ -x ../../target/review-3 && -x ../../target/platform ]] || { echo "run the build of the deploy file and review/build-3.sh first" >&2; exit 2; }
exec ../../target/review-3 late ../.. record.txt
