#!/bin/sh
# Builds the stand-ins that the scripts of review/N start. Needs a JDK 17, nothing else.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -encoding UTF-8 -d out standin/*.java
