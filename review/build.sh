#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
"${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o target/review/scenarios review/standins/scenarios.cpp
