#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
"$(bin/java-home)/bin/javac" --release 21 -cp "target/lib/*" -d target/review review/stand/*.java review/[1-5]/*.java
