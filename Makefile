GO ?= go
export PATH := $(shell $(GO) env GOPATH)/bin:$(PATH)
GOLANGCI_LINT_VERSION := v2.15.0

.PHONY: build test lint measure tools

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -race ./...

lint: tools
	test -z "$$(golangci-lint fmt --diff)"
	golangci-lint run ./...

measure:
	$(GO) run ./cmd/berylmeasure $(MEASURE_FLAGS)

tools:
	@golangci-lint version 2>/dev/null | grep -q "$(GOLANGCI_LINT_VERSION:v%=%)" || \
		$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
