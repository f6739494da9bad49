#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] && [ -f target/java.args ] || { echo "run bin/package and review/build.sh first" >&2; exit 2; }
"$(bin/java-home)/bin/java" -Xmx512m -cp "target/review:target/lib/*" -Dsun.net.httpserver.nodelay=true CutByStop review/4
status=$?
[ $status -le 1 ] && exit $status
exit 2
