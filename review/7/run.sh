#!/usr/bin/env bash
# The route of a job is removed, then its machine is stopped as planned. TROUBLE=0: the machine is not stopped.
set -u
cd "$(dirname "$0")/../.."
[ -f target/review-2/Case7.class ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$(bin/java-home)/bin/java" -Xmx512m -cp "target/review-2:target/lib/*" Case7 . review/7 "${TROUBLE:-1}"
