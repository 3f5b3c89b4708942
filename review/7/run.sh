#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-2/run-scenario" frozen-relay "$(dirname "$0")"
