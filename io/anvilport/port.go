// Package anvilport reserves TCP ports on the loopback address for the processes that tests and
// measurements start.
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

// The reserved ports are below the ephemeral range, from which the kernel picks ports for outgoing
// connections. A port of that range could be taken between its reservation and its use.
const (
	minPort   = 10_000
	portCount = 22_000
)

// ErrNoFreePorts reports that there is no free sequence of consecutive ports of the wanted length.
var ErrNoFreePorts = errors.New("no free ports")

// reservations holds the sockets of all reservations of this process. A reserved port must stay free
// for TCP, so the reservation is a UDP socket on the same port. Other processes that reserve ports
// find that socket in use, and the kernel closes it when the process ends.
var (
	mu           sync.Mutex
	reservations []net.PacketConn
	nextOffset   = rand.IntN(portCount)
)

// Reserve returns count consecutive ports on which no process listens. No other call of Reserve, in
// any process, returns them while this process runs.
func Reserve(count int) ([]int, error) {
	mu.Lock()
	defer mu.Unlock()
	for range portCount {
		first := minPort + nextOffset
		nextOffset = (nextOffset + count) % (portCount - count)
		if sockets := reserveRange(first, count); sockets != nil {
			reservations = append(reservations, sockets...)
			ports := make([]int, count)
			for n := range ports {
				ports[n] = first + n
			}
			return ports, nil
		}
	}
	return nil, fmt.Errorf("%w: want %d consecutive ports", ErrNoFreePorts, count)
}

// ReserveAddress reserves one port and returns the loopback address with this port.
func ReserveAddress() (anvilid.Address, error) {
	ports, err := Reserve(1)
	if err != nil {
		return "", err
	}
	return LoopbackAddress(ports[0]), nil
}

// LoopbackAddress returns the loopback address with the given port.
func LoopbackAddress(port int) anvilid.Address {
	return anvilid.Address(net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}

// reserveRange returns a UDP socket for each port of the range, or nil if one of them is in use.
func reserveRange(first, count int) []net.PacketConn {
	var sockets []net.PacketConn
	for port := first; port < first+count; port++ {
		socket, err := reservePort(port)
		if err != nil {
			for _, s := range sockets {
				_ = s.Close() // an error doesn't matter, nothing was sent
			}
			return nil
		}
		sockets = append(sockets, socket)
	}
	return sockets
}

func reservePort(port int) (net.PacketConn, error) {
	socket, err := net.ListenPacket("udp", string(LoopbackAddress(port)))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", string(LoopbackAddress(port)))
	if err != nil {
		_ = socket.Close() // an error doesn't matter, nothing was sent
		return nil, err
	}
	return socket, listener.Close()
}
