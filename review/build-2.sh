#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Run it after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o target/review-2/scenarios review/standins-2/scenarios.cpp -pthread
