// Command anvilshunt runs an instance of the scheduler (`anvilshunt serve`) and is the command line
// for operating the system.
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
