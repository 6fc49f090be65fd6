# Versions of the tools that `make check`, `make fmt` and `make rename` run.
GOFUMPT = mvdan.cc/gofumpt@v0.12.0
REVIVE  = github.com/mgechev/revive@v1.16.0
GOPLS   = golang.org/x/tools/gopls@v0.23.0

HANDWRITTEN = $(shell git ls-files -co --exclude-standard '*.go' | grep -v -E '\.(pb|twirp)\.go$$')

# Parameters of `make soak`: the first seed, the number of seeds, and the duration of the test for
# each seed.
FIRST = 1000
SEEDS = 20
SPAN  = 20s

.PHONY: all build test check fmt rename demo soak

all: check test build

build:
	go build -o bin/ ./cmd/...

# The crowds of uncontrolled clients need the machine for themselves, so that their package runs after the others.
CROWDS = ./platform/anvilgate

test:
	go test -race -count=1 -timeout 8m $(SKIP) $(shell go list ./... | grep -v '/platform/anvilgate$$')
	go test -race -count=1 -timeout 8m $(SKIP) $(CROWDS)

check:
	@out="$$(go run $(GOFUMPT) -l $(HANDWRITTEN))"; if [ -n "$$out" ]; then echo "not gofumpt-formatted:"; echo "$$out"; exit 1; fi
	go vet ./...
	go run $(REVIVE) -config revive.toml -exclude ./io/anvilrpc/... -set_exit_status ./...

fmt:
	go run $(GOFUMPT) -w $(HANDWRITTEN)

# Renames the identifier at AT (file:line:column) to TO, together with all its uses.
rename:
	go run $(GOPLS) rename -w $(AT) $(TO)

soak:
	go test -count=1 -run TestSoak -timeout 2h -parallel 2 ./platform -soak.first $(FIRST) -soak.seeds $(SEEDS) -soak.span $(SPAN)

demo: build
	bash scripts/demo.sh
