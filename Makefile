GO ?= go
BIN := $(CURDIR)/bin
TOOLS := gofumpt goimports staticcheck revive errcheck
PACKAGES := ./...
SEEDS ?= 20
SEED_BASE ?= 1

.PHONY: build
build:
	$(GO) build -o $(BIN)/ ./cmd/...

.PHONY: tools
tools:
	@for t in mvdan.cc/gofumpt golang.org/x/tools/cmd/goimports \
	    honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive \
	    github.com/kisielk/errcheck; do \
	  (cd tools && GOBIN=$(BIN) $(GO) install $$t) || exit 1; done

.PHONY: format
format: tools
	$(BIN)/gofumpt -w .
	$(BIN)/goimports -w -local github.com/kingcupknot .

.PHONY: lint
lint: tools
	@test -z "$$($(BIN)/gofumpt -l . | tee /dev/stderr)"
	@test -z "$$($(BIN)/goimports -l -local github.com/kingcupknot . | tee /dev/stderr)"
	$(GO) vet $(PACKAGES)
	$(BIN)/staticcheck $(PACKAGES)
	$(BIN)/revive -config revive.toml -set_exit_status $(PACKAGES)
	$(BIN)/errcheck -ignoretests -exclude errcheck.txt $(PACKAGES)

.PHONY: test
test:
	sh scripts/test.sh

# Runs the real programs with faults injected from outside. Settings: SEEDS,
# SEED_BASE, LENGTH, LANES.
LENGTH ?= 12s
LANES ?= 4
.PHONY: soak
soak: build
	$(BIN)/kingcupknot-soak --program $(BIN)/kingcupknotd --seeds $(SEEDS) --seed-base $(SEED_BASE) --length $(LENGTH) --lanes $(LANES)

# Runs a short soak: three fixed seeds and all seeds that once failed.
.PHONY: soak-short
soak-short: build
	sh scripts/soak-short.sh

.PHONY: check
check: lint build test soak-short

.PHONY: run
run: build
	sh scripts/run.sh

.PHONY: measure
measure: build
	sh scripts/measure.sh

.PHONY: up
up: build
	sh scripts/up.sh

.PHONY: down
down:
	sh scripts/down.sh

.PHONY: prove
prove: build
	SEEDS=$(SEEDS) SEED_BASE=$(SEED_BASE) sh scripts/prove.sh
