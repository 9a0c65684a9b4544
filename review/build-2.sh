#!/usr/bin/env bash
# Compiles the stand-ins of the second review's scripts with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/support-2/review2/*.java
