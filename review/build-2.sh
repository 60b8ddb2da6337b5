#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/standin-2"
rm -rf out
mkdir -p out
javac -encoding UTF-8 -d out *.java
