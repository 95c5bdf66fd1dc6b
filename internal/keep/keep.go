//go:build keep

// Package keep holds declared modules in go.mod until their first use.
package keep

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-logr/logr"
	_ "github.com/google/btree"
	_ "github.com/google/uuid"
	_ "github.com/google/wire"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/urfave/cli/v3"
	_ "github.com/urfave/negroni/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
