package anvilmeasure

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilcontrol"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvilrpc"
)

// staleCode is the code of a result for anvilstate.ErrStale.
const staleCode = "stale"

// RestartOptions are the options of Restart, which measures how long voters with a long replicated log
// take after a restart to apply the log and to become ready.
type RestartOptions struct {
	Claims  int // claims of request ids that are committed to the replicated log before the restarts
	Callers int // concurrent callers that propose the claims
	Repeats int // restarts of one follower, and as many of all three voters together
}

// threeVoters returns only the voters of the deployment, because the other instances have no log to
// apply after a restart.
func threeVoters() []instanceSpec { return deployment()[:3] }

// Restart measures how long voters with a long log take after a restart to apply the log and to become
// ready.
func Restart(ctx context.Context, o RestartOptions) (*Table, error) {
	t := &Table{Name: "restart: start of a voter until everything is applied", Columns: []string{
		"restarted", "entries", "start to applied", "start to ready", "data directory",
	}}
	s, err := newSystem(threeVoters(), newNetSim(false))
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.makeLeader("palermo-1"); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := s.commitClaims(ctx, o.Claims, o.Callers); err != nil {
		return nil, err
	}
	t.addNote("%d claims by %d callers took %.1f s.", o.Claims, o.Callers, time.Since(began).Seconds())
	for range o.Repeats {
		if err := s.restart(t, "one follower", s.find("trapani-1")); err != nil {
			return nil, err
		}
	}
	for range o.Repeats {
		if err := s.restart(t, "all three voters", s.instances...); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// commitClaims proposes a number of claims to the leader and waits until all are committed.
func (s *system) commitClaims(ctx context.Context, count, callers int) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var addresses []anvilid.Address
	for _, i := range s.instances {
		if i.voter {
			addresses = append(addresses, i.settings.Peer)
		}
	}
	control := anvilcontrol.NewClient(addresses, func(address anvilid.Address) anvilrpc.Control {
		return anvilrpc.NewControlProtobufClient("http://"+string(address), client)
	})
	var group sync.WaitGroup
	errs := make([]error, callers)
	for caller := range callers {
		group.Go(func() {
			holder, err := s.status(s.find("palermo-1"))
			for n := caller; n < count && err == nil && ctx.Err() == nil; n += callers {
				err = s.commitClaim(ctx, control, n, &holder)
			}
			errs[caller] = err
		})
	}
	group.Wait()
	for _, err := range append(errs, ctx.Err()) {
		if err != nil {
			return err
		}
	}
	return nil
}

// commitClaim proposes one claim. If the session of its holder has ended, because writes took longer than its lease, it waits
// for the next incarnation of the holder and proposes the claim for that.
func (s *system) commitClaim(ctx context.Context, control *anvilcontrol.Client, n int, holder *anvilhttp.Status) error {
	for {
		result, err := control.Propose(ctx, &anvilstate.Command{Claim: claimOf(n, holder.Incarnation)})
		switch {
		case err != nil || result.Code == "":
			return err
		case result.Code != staleCode:
			return fmt.Errorf("claim %d: %s: %s", n, result.Code, result.Detail)
		}
		former := holder.Incarnation
		if err := waitUntil("palermo-1 has joined again", func() bool {
			status, err := s.status(s.find("palermo-1"))
			*holder = status
			return err == nil && status.Ready && status.Incarnation > former
		}); err != nil {
			return fmt.Errorf("claim %d: %s: %w", n, result.Detail, err)
		}
	}
}

func claimOf(n int, incarnation anvilid.Incarnation) *anvilstate.Claim {
	return &anvilstate.Claim{
		Key:    anvilstate.RequestKey{Account: account, Service: service, ID: anvilid.RequestID(fmt.Sprintf("palermo-1-17-%08d", n))},
		Digest: make([]byte, 32), Holder: anvilstate.Holder{Instance: "palermo-1", Incarnation: incarnation, Attempt: anvilid.Attempt(n + 1)},
	}
}

// restart stops some instances, starts them again and adds a row to the table with the times that the
// slowest of them took to apply its log and to become ready.
func (s *system) restart(t *Table, name string, instances ...*instance) error {
	leader, err := s.leader()
	if err != nil {
		return err
	}
	status, err := s.status(leader)
	if err != nil {
		return err
	}
	index := status.Voter.AppliedIndex
	var ending sync.WaitGroup
	for _, i := range instances {
		ending.Go(func() { s.kill(i) })
	}
	ending.Wait()
	size, err := directorySize(instances[0].settings.DataDir)
	if err != nil {
		return err
	}
	began := time.Now()
	var group sync.WaitGroup
	errs := make([]error, len(instances))
	applied, ready := make(sample, len(instances)), make(sample, len(instances))
	for n, i := range instances {
		group.Go(func() { applied[n], ready[n], errs[n] = s.startMeasured(i, index, began) })
	}
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	t.addRow(name, index, applied.max(), ready.max(), fmt.Sprintf("%.1f MB", float64(size)/1e6))
	return s.waitReady()
}

// startMeasured starts an instance and waits until it is ready and has applied the log entry at index. It
// returns, counted from began, when the instance had applied the entry and when it was ready.
func (s *system) startMeasured(i *instance, index anvilid.Index, began time.Time) (applied, ready time.Duration, err error) {
	if err := s.start(i); err != nil {
		return 0, 0, err
	}
	err = waitUntil(i.name+" has applied its log", func() bool {
		status, err := s.status(i)
		if err != nil {
			return false
		}
		if applied == 0 && status.Voter.AppliedIndex >= index {
			applied = time.Since(began)
		}
		if ready == 0 && status.Ready {
			ready = time.Since(began)
		}
		return applied > 0 && ready > 0
	})
	return applied, ready, err
}

func directorySize(dir string) (size int64, err error) {
	err = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err == nil {
			size += info.Size()
		}
		return err
	})
	return size, err
}
