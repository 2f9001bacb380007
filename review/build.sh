#!/usr/bin/env bash
# Compiles the stand-ins and the programs of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/standins/*.java review/[1-9]/*.java
