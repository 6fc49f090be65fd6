package anvilqueue_test

import (
	"fmt"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilqueue"
)

// Accounts are served by weight, no matter which account filled its queue first.
func Example() {
	queue := anvilqueue.New(anvilqueue.WithMaxPerAccount(8))
	queue.SetSlots(1)
	queue.SetWeight("agency", 3)
	push := func(account anvilid.AccountID) anvilqueue.Verdict {
		_, verdict := queue.Push(0, anvilqueue.Request{Account: account, Deadline: 10 * anvilclock.Second})
		return verdict
	}
	for range 8 {
		push("clubs")
		push("agency")
	}
	fmt.Println("the ninth request of an account:", push("clubs"))

	served := map[anvilid.AccountID]int{}
	var now anvilclock.Millis
	for range 8 {
		ticket := queue.Pop(now)
		served[ticket.Account]++
		now += 10
		queue.Done(now, ticket, true)
	}
	fmt.Println("of 8 slots: agency", served["agency"], "clubs", served["clubs"])
	// Output:
	// the ninth request of an account: full
	// of 8 slots: agency 6 clubs 2
}
