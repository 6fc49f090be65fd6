package anvillease_test

import (
	"fmt"

	"anvilshunt/core/anvillease"
)

// The holder counts from the moment at which it sent the renewal, the granter
// from the moment at which it replied, plus a margin for the clock rates.
func Example() {
	granter := anvillease.NewGranter(900)
	var holder anvillease.Holder
	session := anvillease.Session{Instance: "palermo-1", Incarnation: 1}
	granter.Join(0, session)

	const sent, replied = 1000, 1004
	if span, ok := granter.Renew(replied, session, 17); ok {
		holder.Granted(sent, span)
	}
	fmt.Println("valid at 1899:", holder.Valid(1899))
	fmt.Println("valid at 1900:", holder.Valid(1900))
	fmt.Println("expired at 1904:", granter.Expired(1904))
	fmt.Println("expired at 2000:", granter.Expired(2000))
	// Output:
	// valid at 1899: true
	// valid at 1900: false
	// expired at 1904: []
	// expired at 2000: [{palermo-1 1}]
}

// A change is in force everywhere once each session has applied it or has lost its lease.
func ExampleGranter_InForce() {
	granter := anvillease.NewGranter(900)
	first := anvillease.Session{Instance: "palermo-1", Incarnation: 1}
	frozen := anvillease.Session{Instance: "catania-1", Incarnation: 1}
	granter.Join(0, first)
	granter.Join(0, frozen)

	granter.Renew(100, first, 20)
	fmt.Println("at 100:", granter.InForce(100, 20))
	fmt.Println("at 1000:", granter.InForce(1000, 20))
	// Output:
	// at 100: false
	// at 1000: true
}
