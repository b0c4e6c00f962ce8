# make help lists the targets.
SHELL := /bin/bash
BIN := bin

.PHONY: help build platform test hostile scenarios lint ci up demo prove soak mutants bench

help: ## list the targets
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

build: ## build the programs into bin/
	go build -o $(BIN)/ ./cmd/...

platform: ## build for the Magnolia Errata platform with the command in deploy/system.toml
	$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)

test: ## run the tests
	scripts/gotest.sh $$(go list ./... | grep -v -e /scenario$$ -e /hostile$$)
	$(MAKE) hostile

hostile: ## test one process at a time against clients that don't keep to the protocol or to the limits
	scripts/gotest.sh -count=1 -timeout 15m ./hostile

scenarios: ## run the scripted scenarios against the real programs
	scripts/gotest.sh -count=1 -timeout 10m ./scenario

lint: ## check format, vet, staticcheck and the texts of the mutants
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); echo "format: run gofmt -w on these files"; exit 1; }
	go vet ./...
	go tool staticcheck ./...
	scripts/check_mutants.sh

ci: ## run what CI runs
	bash .ci/run

up: build ## start a small deployment of two zones on loopback; Ctrl-C stops it
	scripts/up.sh run small

demo: build ## run both customers' deployments with faults and check the results
	scripts/demo.sh

prove: ## run the tests and models behind each promise and print a table
	scripts/prove.sh

soak: ## run processes under faults: make soak SEED=1 SEEDS=50 DIR=run/soak
	IBISTRAIL_SOAK_SEED=$(or $(SEED),1) IBISTRAIL_SOAK_SEEDS=$(or $(SEEDS),1) IBISTRAIL_SOAK_DIR=$(abspath $(or $(DIR),run/soak)) \
		go test ./entry -run TestProcessesUnderFaults -count=1 -v -parallel $(or $(PARALLEL),3) -timeout 60m

mutants: ## run the mutation tests: without its mechanism, each test must fail
	scripts/mutants.sh

bench: build ## run the experiments and print the table
	$(BIN)/ibisload bench
