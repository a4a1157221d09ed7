#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
case_name=resumed
. "$here/../run-case.sh"
