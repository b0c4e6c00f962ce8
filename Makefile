# ibistrail: make help lists what can be run.
SHELL := /bin/bash
BIN := bin

.PHONY: help build test lint ci up demo prove bench capacity

help: ## list the targets
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

build: ## build the programs into bin/
	go build -o $(BIN)/ ./cmd/...

test: ## run the tests
	go test ./...

lint: ## check format, vet and staticcheck
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); echo "format: run gofmt -w on these files"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

ci: ## run what CI runs
	bash .ci/run
