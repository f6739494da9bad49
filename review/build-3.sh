#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
find review/stand-3 review/1[1-5] -name '*.java' 2>/dev/null > target/review-3/sources.txt
"$(bin/java-home)/bin/javac" --release 21 -nowarn -d target/review-3 -cp 'target/lib/*' @target/review-3/sources.txt
