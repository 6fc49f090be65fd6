// Command anvilmeasure measures the performance of instances that run as processes on this machine
// and communicate over the loopback interface.
package main

import (
	"context"
	"os"

	"anvilshunt/io/anvilmeasure"
)

func main() {
	os.Exit(anvilmeasure.Main(context.Background(), anvilmeasure.Streams{Out: os.Stdout, Err: os.Stderr}, os.Args[1:]))
}
