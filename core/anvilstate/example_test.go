package anvilstate_test

import (
	"fmt"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
)

// Every replica applies the same commands at the same indexes. The index of a granted
// claim is the fencing token of the request's execution.
func Example() {
	machine := anvilstate.New()
	for i, id := range []anvilid.InstanceID{"palermo-1", "trapani-1"} {
		machine.Apply(anvilid.Index(i+1), 0, anvilstate.Command{Join: &anvilstate.JoinInstance{
			Instance: anvilstate.Instance{ID: id, Incarnation: 1, Region: "west", Zone: "palermo"},
		}})
	}

	key := anvilstate.RequestKey{Account: "agency", Service: "planner", ID: "crew-7"}
	claim := func(index anvilid.Index, holder anvilid.InstanceID, content string) {
		result := machine.Apply(index, 10, anvilstate.Command{Claim: &anvilstate.Claim{
			Key: key, Digest: []byte(content), Holder: anvilstate.Holder{Instance: holder, Incarnation: 1, Attempt: 1},
		}})
		fmt.Println(holder, result.Claim.Verdict, result.Claim.Token)
	}
	claim(3, "palermo-1", "court 7")
	claim(4, "trapani-1", "court 7")
	claim(5, "trapani-1", "court 8")

	// When the holder's lease expires, the outcome is unknown: the request may have run,
	// so its id is not granted again.
	machine.Apply(6, 20, anvilstate.Command{Expire: &anvilstate.ExpireInstance{ID: "palermo-1", Incarnation: 1}})
	claim(7, "trapani-1", "court 7")
	// Output:
	// palermo-1 granted 3
	// trapani-1 held 0
	// trapani-1 conflict 0
	// trapani-1 lost 0
}
