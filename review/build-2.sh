#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. Needs JDK 17 only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java review/[6-9]/*.java review/10/*.java
