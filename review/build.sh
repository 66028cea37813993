#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[1-5]; do
	if [ -f "$folder/main.go" ]; then
		go build -o "target/$folder" "./$folder"
	fi
done
