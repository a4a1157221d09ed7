#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
case_name=stale
. "$here/../run-case.sh"
