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

// childVariable is an environment variable. If it is set, the test binary reserves ports, prints them,
// and waits until its standard input is closed.
const childVariable = "ANVILPORT_CHILD"

// portsPerProcess is the number of ports that a process reserves. It is a tenth of all ports, so that
// the ports of processes that don't see each other's reservations may well overlap.
const portsPerProcess = portCount / 10

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	for range portsPerProcess {
		ports, err := Reserve(1)
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(ports[0])
	}
	_, _ = bufio.NewReader(os.Stdin).ReadByte() // the parent closes standard input
}

// Guards against two test processes that give the same port to instances of different systems, so that
// one system connects to the voters of the other. Three processes reserve ports at the same time and
// keep their reservations.
func TestProcessesShareNoPort(t *testing.T) {
	const processes = 3
	owners := map[string]int{}
	var readers []*bufio.Scanner
	for range processes {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), childVariable+"=1")
		out, err := command.StdoutPipe()
		assert.NilError(t, err)
		in, err := command.StdinPipe()
		assert.NilError(t, err)
		assert.NilError(t, command.Start())
		t.Cleanup(func() { _ = in.Close(); _ = command.Wait() })
		readers = append(readers, bufio.NewScanner(out))
	}
	for n, reader := range readers {
		for range portsPerProcess {
			assert.Assert(t, reader.Scan(), reader.Err())
			port := reader.Text()
			other, taken := owners[port]
			assert.Assert(t, !taken, "port %s is reserved by processes %d and %d", port, other, n)
			owners[port] = n
		}
	}
}

// Guards against a reservation that makes it impossible to listen on the port, and against reserving a
// port twice in one process.
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
