// Command anvilmeasure measures whole instances over loopback.
package main

import (
	"context"
	"os"

	"anvilshunt/io/anvilmeasure"
)

func main() {
	os.Exit(anvilmeasure.Main(context.Background(), anvilmeasure.Streams{Out: os.Stdout, Err: os.Stderr}, os.Args[1:]))
}
