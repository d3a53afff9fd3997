#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of the cases start. Needs a JDK 17 and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standin/*.java
