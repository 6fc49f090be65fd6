package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is a stand-in for the platform's list of machines. Each worker runs on a machine of its own.
type cloud struct {
	rig    *rig
	server *http.Server

	mu sync.Mutex
	// tokens has the highest fencing token of an order for each machine.
	tokens map[string]uint64
	// waves has the machines of each wave that was started.
	waves map[int][]string
	// begun has when the upkeep of each machine began.
	begun map[string]time.Time
}

// startCloud starts the stand-in. It serves until the case is over.
func (r *rig) startCloud() (*cloud, error) {
	listener, err := net.Listen("tcp", r.cloudAddress())
	if err != nil {
		return nil, err
	}
	c := &cloud{rig: r, tokens: map[string]uint64{}, waves: map[int][]string{}, begun: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /anvilshunt/machines", c.list)
	mux.HandleFunc("POST /anvilshunt/machine-upkeep", c.upkeep)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(listener) }() // it returns an error when the server is closed
	return c, nil
}

// machineOf returns the machine of a worker.
func machineOf(w *worker) string { return "m-" + w.id }

// list answers with all machines on one page.
func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machines := []any{}
	for _, w := range c.rig.allWorkers() {
		state := "up"
		if time.Since(c.begun[machineOf(w)]) < upkeepDuration {
			state = "upkeep"
		}
		machines = append(machines, map[string]any{
			"machine": machineOf(w), "pool": "huvo11a", "state": state, "zone": "palermo", "labels": w.labels,
			"capacity": map[string]int{"cpu": 32000, "task_memory_mb": 65536, "gpu": w.gpu}, "id": w.id,
		})
	}
	c.rig.recordf("platform: lists %d machines", len(machines))
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": machines, "next_page_token": nil}) // the caller may have gone
}

// upkeep begins the upkeep of a machine: its worker ends at once, and a new one starts after upkeepDuration.
func (c *cloud) upkeep(rw http.ResponseWriter, request *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	token, err := strconv.ParseUint(request.Header.Get("Fencing-Token"), 10, 64)
	if json.NewDecoder(request.Body).Decode(&order) != nil || err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := c.begin(order.Machine, order.Wave, token)
	c.rig.recordf("platform: upkeep of %s for wave %d answered %d %s", order.Machine, order.Wave, status, reason)
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]string{"reason": reason}) // the caller may have gone
}

func (c *cloud) begin(machine string, wave int, token uint64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found *worker
	for _, w := range c.rig.allWorkers() {
		if machineOf(w) == machine {
			found = w
		}
	}
	inWave := false
	for _, listed := range c.waves[wave] {
		inWave = inWave || listed == machine
	}
	switch {
	case found == nil:
		return http.StatusBadRequest, ""
	case token < c.tokens[machine]:
		return http.StatusConflict, "fence"
	case !inWave:
		return http.StatusConflict, "wave"
	case !c.begun[machine].IsZero():
		return http.StatusOK, ""
	}
	c.tokens[machine], c.begun[machine] = token, time.Now()
	go func() {
		found.stopServer()
		time.Sleep(upkeepDuration)
		if err := found.startServer(); err != nil {
			c.rig.recordf("worker %s could not start again: %v", found.id, err)
		}
	}()
	return http.StatusOK, ""
}

// hasBegun reports whether the upkeep of a machine has begun.
func (c *cloud) hasBegun(machine string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.begun[machine].IsZero()
}

// startWave starts a wave as the operator does: it sends the request until it is acknowledged.
func (c *cloud) startWave(number int, machines ...string) error {
	c.mu.Lock()
	c.waves[number] = machines
	c.mu.Unlock()
	body, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "duration_s": 20, "upper_limit": 1})
	if err != nil {
		return err
	}
	return c.rig.await("the wave is acknowledged", func() bool {
		status, reply, _ := c.rig.control(0, http.MethodPost, "/anvilshunt/wave-start", string(body))
		c.rig.recordf("operator: wave %s answered %d %s", body, status, reply)
		return status == http.StatusOK
	})
}

// waveState returns the state of a wave as the operator sees it, or an empty string.
func (c *cloud) waveState(number int) string {
	status, reply, _ := c.rig.control(0, http.MethodGet, "/anvilshunt/wave-get/"+strconv.Itoa(number), "")
	c.rig.recordf("operator: wave-get %d answered %d %s", number, status, reply)
	var document struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(reply), &document) != nil {
		return ""
	}
	return document.State
}
