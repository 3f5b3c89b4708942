#!/usr/bin/env bash
# Builds the stand-ins of the third review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -o target/review-3/cases review/standins-3/cases.cpp -pthread
