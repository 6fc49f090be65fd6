// Command anvilshunt runs one instance of the scheduler and controls it.
package main

import (
	"context"
	"os"

	"anvilshunt/io/anvilcmd"
	"anvilshunt/io/anvilcmd/anvilfactory"
)

func main() {
	os.Exit(anvilcmd.Main(context.Background(), anvilfactory.System(), os.Args[1:]))
}
