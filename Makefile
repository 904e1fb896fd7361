# Every target works on a fresh clone with Go and make installed.
MODULES := core ctl harness node platform
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))

SEED ?=
SEEDS ?= 40
FROM ?= 1

.PHONY: build test race format lint measure soak faults faults-broken bench demo

build:
	go build $(PACKAGES)

# Tests of the known faults that KNOWN-RED.txt lists run apart and do not decide.
test:
	@.ci/test $(PACKAGES)

race:
	@.ci/test -without-known -race -short ./node/...

format:
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); echo "gofmt would change these files"; exit 1; }

lint: format
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

measure:
	@go run ./harness/cmd/harness measure $(if $(SEED),-seed $(SEED))

soak:
	@go run ./harness/cmd/harness soak -seeds $(SEEDS) -from $(FROM)

# Runs nodes as processes, harms them from outside and checks what callers see.
# SCENARIO selects a fixed combination of faults: retries, crasher, listener, endless, uploads, silence, stops, reads or framing.
faults:
	go build -o target/ ./node/cmd/shallotd
	@go run ./harness/cmd/harness faults -binary target/shallotd -seeds $(SEEDS) -from $(FROM) $(if $(NODES),-nodes $(NODES)) $(if $(SCENARIO),-scenario $(SCENARIO)) -regressions harness/faults/regressions.txt

# Shows that each check of faults finds a part that is built wrongly.
faults-broken:
	go build -o target/ ./node/cmd/shallotd
	@go run ./harness/cmd/harness faults -binary target/shallotd -broken

bench:
	@go run ./harness/cmd/harness bench

demo:
	@go run ./harness/cmd/harness demo
