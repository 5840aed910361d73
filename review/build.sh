#!/bin/sh
# Builds the stand-ins that the cases start. The deploy file's own build has to run first.
set -e
cd "$(dirname "$0")/kit"
GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/kit .
