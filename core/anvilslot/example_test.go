package anvilslot_test

import (
	"fmt"

	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilslot"
)

// A new owner subtracts the requests that the target reports as running from the free slots before
// it sends any request.
func Example() {
	ledger := anvilslot.New()
	limits := anvilslot.Limits{Service: "planner", Incarnation: 1, Slots: 8, Connections: 64}
	ledger.Own(0, "t1", 12, limits, 2)
	fmt.Println("before adoption:", ledger.Free(0, "planner"))

	// The call was sent at 260 ms: more than MaxPacketDelay after Own.
	report := &anvilreport.Report{Target: "t1", Incarnation: 1, Epoch: 12, Sequence: 1, UsedSlots: 3}
	if err := ledger.HandleAdoption(261, 260, "t1", 12, report); err != nil {
		fmt.Println(err)
	}
	fmt.Println("8 slots, 2 reserved, 3 in use by the former owner:", ledger.Free(261, "planner"))

	lease, ok := ledger.Acquire(300, "planner")
	fmt.Println("acquired on", lease.Target, ok, "free:", ledger.Free(300, "planner"))
	ledger.Release(310, lease)
	fmt.Println("released, free:", ledger.Free(310, "planner"))
	// Output:
	// before adoption: 0
	// 8 slots, 2 reserved, 3 in use by the former owner: 3
	// acquired on t1 true free: 2
	// released, free: 3
}
