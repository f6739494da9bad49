#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review. Needs the build of the deploy file, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"$(bin/java-home)/bin/javac" --release 21 -cp "target/lib/*" -d target/review-2 \
  review/stand-2/*.java $(find review -mindepth 2 -maxdepth 2 -name 'Case*.java')
