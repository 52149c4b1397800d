# make demo      the whole path on loopback, as separate processes
# make test      formatter, linter, vet and every test
# make explore   a longer search for failures of the ownership rules
# make soak      faults on real processes: FIRST seed, SEEDS, SECONDS each
# make bench     the measurements of docs/MEASUREMENTS.md
# make capacity  the slopes of docs/CAPACITY.md
# make gopls     bin/gopls, for renames

GO ?= go

.PHONY: build demo test lint unit explore soak bench capacity plots generate fuzz gopls

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test: lint unit

lint:
	@test -z "$$(cd tools && $(GO) tool gofumpt -l ../cmd ../internal ../pkg ../platform ../test ../*.go | grep -v peerv1)" || { cd tools && $(GO) tool gofumpt -l ../cmd ../internal ../pkg ../platform ../test ../*.go; exit 1; }
	cd tools && $(GO) build -o ../bin/revive github.com/mgechev/revive
	./bin/revive -config revive.toml -set_exit_status -exclude ./pkg/peer/peerv1/... ./...
	$(GO) vet ./...

unit:
	./scripts/unit.sh

explore:
	EXPLORE=1 $(GO) test ./test/ownership -run "TestOwnership$$" -rapid.checks=20000 -timeout 60m

FIRST ?= 1
SEEDS ?= 5
SECONDS ?= 20

soak:
	SOAK_FIRST=$(FIRST) SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=$(SECONDS) SOAK_FOLDER=$${SOAK_FOLDER:-$$(mktemp -d)} $(GO) test ./internal/soak -run TestSoak -v -count=1 -timeout 120m

# The machine should be idle for these.
bench: build
	./scripts/measure/path.sh
	./scripts/measure/stragglers.sh
	./scripts/measure/departure.sh
	./scripts/measure/storm.sh
	./scripts/measure/charges.sh
	./scripts/measure/slowreaders.sh
	./bin/standin balance

capacity: build
	./bin/standin capacity
	./scripts/measure/instances.sh

# Draws docs/data, which the measurements write, as docs/plots.
plots: build
	./bin/standin plots --from docs/data --to docs/plots

fuzz:
	$(GO) test ./pkg/templates -fuzz FuzzParseTemplate -fuzztime 60s
	$(GO) test ./pkg/templates -fuzz FuzzParseDeployment -fuzztime 60s
	$(GO) test ./pkg/settings -fuzz FuzzParse -fuzztime 60s
	$(GO) test ./pkg/caller -fuzz FuzzSplitPath -fuzztime 60s
	$(GO) test ./pkg/caller -fuzz FuzzParseContentRange -fuzztime 60s

generate:
	buf generate

# gopls has a module of its own: it needs older modules than revive and gofumpt do.
gopls:
	cd tools/gopls && $(GO) build -o ../../bin/gopls golang.org/x/tools/gopls
