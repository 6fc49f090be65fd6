package anviltarget

import (
	"bytes"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
)

// ErrNotAnnounced means that an instance didn't accept an announcement.
var ErrNotAnnounced = eris.New("announcement not accepted")

// announce sends announcements until the target is closed.
func (t *Target) announce() {
	defer t.announcer.Done()
	ticker := time.NewTicker(t.settings.Interval.Duration())
	defer ticker.Stop()
	// The hash of the target id selects the instance that gets the first announcement, so
	// that targets spread over the instances as they would behind a load balancer.
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.settings.Target))
	next := int(h.Sum32() % uint32(len(t.settings.Instances)))
	for {
		if t.awaitUnfrozen() {
			next = t.announceOnce(next)
		}
		select {
		case <-t.closed:
			return
		case <-t.announceNow:
		case <-ticker.C:
		}
	}
}

// announceOnce sends the report to one instance after another until one accepts it. It
// starts with the instance at the index next, and returns the index of the instance to
// start with next time.
func (t *Target) announceOnce(next int) int {
	instances := t.settings.Instances
	if t.settings.AnnounceToOwner {
		t.mu.Lock()
		owner := t.owner
		t.mu.Unlock()
		if owner != "" && t.announceTo(owner) == nil {
			return next
		}
	}
	var err error
	for range instances {
		address := instances[next]
		next = (next + 1) % len(instances)
		if err = t.announceTo(address); err == nil {
			return next
		}
	}
	t.mu.Lock()
	t.stats.FailedAnnouncements++
	t.owner = ""
	t.mu.Unlock()
	t.logger.Warn("no instance accepted the announcement; retrying at the next interval",
		zap.String("target", string(t.settings.Target)), zap.Error(err))
	return next
}

func (t *Target) announceTo(address anvilid.Address) error {
	body, err := json.Marshal(t.Report(false))
	if err != nil {
		return err
	}
	response, err := t.client.Post("http://"+string(address)+"/v1/targets/announce", "application/json",
		bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrNotAnnounced, "instance %s answered with status %d to target %q: %s", address,
			response.StatusCode, t.settings.Target, text)
	}
	var reply struct {
		Owner anvilid.Address `json:"owner"`
	}
	if err := json.Unmarshal(text, &reply); err != nil && !errors.Is(err, io.EOF) {
		return eris.Wrapf(ErrNotAnnounced, "instance %s sent an answer that can't be decoded: %q", address, text)
	}
	t.mu.Lock()
	t.stats.SuccessfulAnnouncements++
	t.owner = reply.Owner
	t.mu.Unlock()
	return nil
}
