package anvildedup_test

import (
	"crypto/sha256"
	"fmt"

	"anvilshunt/core/anvildedup"
)

// The coordinator of an id tells the callers which instance runs the request with this id. The ids
// that were in flight at an instance whose run has ended count as new again.
func Example() {
	table := anvildedup.NewTable()
	key := anvildedup.Key{Account: "agency", Service: "planner", ID: "dawn-1"}
	court7, court8 := anvildedup.Digest(sha256.Sum256([]byte("court 7"))), anvildedup.Digest(sha256.Sum256([]byte("court 8")))
	palermo := anvildedup.Holder{Instance: "palermo-1", Incarnation: 1}
	trapani := anvildedup.Holder{Instance: "trapani-1", Incarnation: 1}

	fmt.Println(table.Begin(0, key, court7, palermo).State)
	found := table.Begin(5, key, court7, trapani)
	fmt.Println(found.State, "at", found.Holder.Instance)
	fmt.Println(table.Begin(6, key, court8, trapani).State)

	table.MarkHolderEnded(palermo)
	fmt.Println(table.Begin(1000, key, court7, trapani).State)
	fmt.Println(table.Complete(1010, key, trapani, nil))
	fmt.Println(table.Lookup(1011, key).State)
	// Output:
	// new
	// in flight at palermo-1
	// conflict
	// new
	// true
	// done
}
