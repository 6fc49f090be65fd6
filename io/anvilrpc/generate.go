// Package anvilrpc holds the messages between instances and the generated
// twirp clients and servers.
package anvilrpc

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative anvil.proto fleet.proto
