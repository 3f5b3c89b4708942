#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/camphorsaddle ] || exit 2
exec target/review-3/cases cancel-in-doubt review/12
