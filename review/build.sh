#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review; needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -Xlint:all -d target/review review/support/review/*.java
