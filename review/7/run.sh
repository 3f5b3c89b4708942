#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-2/run-scenario" crashes-of-lasting-task "$(dirname "$0")"
