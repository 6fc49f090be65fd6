// Package anvilport reserves TCP ports of the loopback address for instances
// that a test or a measurement starts.
package anvilport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"anvilshunt/core/anvilid"
)

// Ports below the range from which the system picks ports for connections. A
// port of that range may be taken between its reservation and its use.
const (
	firstPort = 10_000
	portCount = 22_000
)

// ErrNoFreePorts reports that no free ports were found.
var ErrNoFreePorts = errors.New("no free ports")

// held keeps the sockets of all reservations of this process. A reserved port
// is free for TCP, so the reservation is a UDP socket on the same port: other
// processes that reserve ports find it taken, and it ends with the process.
var (
	mu   sync.Mutex
	held []net.PacketConn
	next = rand.IntN(portCount)
)

// Reserve returns count consecutive ports that nobody listens on and that no
// other call returns while this process runs.
func Reserve(count int) ([]int, error) {
	mu.Lock()
	defer mu.Unlock()
	for range portCount {
		first := firstPort + next
		next = (next + count) % (portCount - count)
		if sockets := reserve(first, count); sockets != nil {
			held = append(held, sockets...)
			ports := make([]int, count)
			for n := range ports {
				ports[n] = first + n
			}
			return ports, nil
		}
	}
	return nil, fmt.Errorf("%w: %d in a row", ErrNoFreePorts, count)
}

// ReserveAddress reserves one port and returns its loopback address.
func ReserveAddress() (anvilid.Address, error) {
	ports, err := Reserve(1)
	if err != nil {
		return "", err
	}
	return LoopbackAddress(ports[0]), nil
}

// LoopbackAddress returns the loopback address with a port.
func LoopbackAddress(port int) anvilid.Address {
	return anvilid.Address(net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}

// reserve returns a socket for each port, or nil if one of them is taken.
func reserve(first, count int) []net.PacketConn {
	var sockets []net.PacketConn
	for port := first; port < first+count; port++ {
		socket, err := reserveOne(port)
		if err != nil {
			for _, s := range sockets {
				_ = s.Close() // nothing was sent
			}
			return nil
		}
		sockets = append(sockets, socket)
	}
	return sockets
}

func reserveOne(port int) (net.PacketConn, error) {
	socket, err := net.ListenPacket("udp", string(LoopbackAddress(port)))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", string(LoopbackAddress(port)))
	if err != nil {
		_ = socket.Close() // nothing was sent
		return nil, err
	}
	return socket, listener.Close()
}
