package anvilport

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"
)

// child makes the test binary reserve ports, print them, and wait for its
// standard input to close.
const child = "ANVILPORT_CHILD"

// perProcess is how many ports a process reserves. Two processes that chose
// without knowing of each other would meet in a tenth of all ports.
const perProcess = portCount / 10

func TestMain(m *testing.M) {
	if os.Getenv(child) == "" {
		os.Exit(m.Run())
	}
	for range perProcess {
		ports, err := Reserve(1)
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(ports[0])
	}
	_, _ = bufio.NewReader(os.Stdin).ReadByte() // the parent closes it
}

// Guards against two test processes that give the same port to instances of
// different systems, one of which then talks to the other's voters. Three
// processes reserve at the same time and hold what they have.
func TestProcessesShareNoPort(t *testing.T) {
	const processes = 3
	owners := map[string]int{}
	var readers []*bufio.Scanner
	for range processes {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), child+"=1")
		out, err := command.StdoutPipe()
		assert.NilError(t, err)
		in, err := command.StdinPipe()
		assert.NilError(t, err)
		assert.NilError(t, command.Start())
		t.Cleanup(func() { _ = in.Close(); _ = command.Wait() })
		readers = append(readers, bufio.NewScanner(out))
	}
	for n, reader := range readers {
		for range perProcess {
			assert.Assert(t, reader.Scan(), reader.Err())
			port := reader.Text()
			other, taken := owners[port]
			assert.Assert(t, !taken, "port %s belongs to processes %d and %d", port, other, n)
			owners[port] = n
		}
	}
}

// Guards against a reservation that keeps the port from its user, and against
// one port for two users of a process.
func TestReserve(t *testing.T) {
	seen := map[int]bool{}
	for range 50 {
		ports, err := Reserve(3)
		assert.NilError(t, err)
		for n, port := range ports {
			assert.Equal(t, port, ports[0]+n)
			assert.Assert(t, !seen[port], port)
			seen[port] = true
			listener, err := net.Listen("tcp", string(LoopbackAddress(port)))
			assert.NilError(t, err)
			defer listener.Close()
		}
	}
}
