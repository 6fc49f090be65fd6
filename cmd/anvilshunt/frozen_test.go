//go:build linux

package main_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anviltarget"
)

// Guards against an instance that still returns the previous configuration after a change was
// reported to be in force on all instances. The change is made while the process of the leader is
// suspended by SIGSTOP.
func TestChangeWhileLeaderIsFrozen(t *testing.T) {
	s := startThreeInstances(t, anviltarget.Settings{})
	var base anvilid.Revision
	status, ok := s.status("i1")
	assert.Assert(t, ok)
	base = status.Revision
	for round := range 6 {
		leader, _ := s.leader()
		rest := s.others(leader)
		s.signal(leader, syscall.SIGSTOP)
		change := fmt.Sprintf(`{"id": "c%d", "operator": "ada", "base": %d, "set": [
 {"kind": "account", "name": "a%d", "spec": {"weight": 1}}]}`, round, base, round)
		result := s.publish(rest[0], change)
		base = anvilid.Revision(result.Revision)
		var config struct {
			Revision anvilid.Revision `json:"revision"`
		}
		code := s.call(http.MethodGet, rest[1], "/v1/config", "", &config)
		assert.Check(t, code == http.StatusServiceUnavailable || config.Revision == base,
			"round %d: code %d, got revision %d, but revision %d is in force", round, code, config.Revision, base)
		status, ok := s.status(rest[1])
		assert.Check(t, ok && (!status.HasLease || status.Revision == base),
			"round %d: status shows a lease and revision %d, but revision %d is in force", round, status.Revision, base)
		s.signal(leader, syscall.SIGCONT)
		s.eventually("all instances are ready", func() bool { return s.ready(s.instanceNames...) })
	}
}
