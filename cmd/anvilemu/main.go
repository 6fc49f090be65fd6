// Command anvilemu runs stand-in targets and generates load, for tests, demos and measurements.
package main

import (
	"context"
	"os"

	"anvilshunt/cmd/anvilemu/anvilemucmd"
)

func main() {
	os.Exit(anvilemucmd.Main(context.Background(), anvilemucmd.System(), os.Args[1:]))
}
