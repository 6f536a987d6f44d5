#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/*.java
