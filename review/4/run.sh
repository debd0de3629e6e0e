#!/bin/bash
exec "$(dirname "$0")/../lib-2/run.sh" term review/4
