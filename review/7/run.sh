#!/bin/bash
exec "$(dirname "$0")/../lib-2/run.sh" pipeline review/7
