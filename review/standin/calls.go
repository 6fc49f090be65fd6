package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// routeHost is the host of all routes.
const routeHost = "nony24.example"

// apiKey is the key of the only tenant.
const apiKey = "d4a3hwrr6x73d3zji9n7"

// testConfig has three queues of one tenant: urgent, normal and slow.
const testConfig = `{"version":%d,"routes":[
{"name":"urgent","host":"nony24.example","path_prefix":"/urgent/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":400,"priority":0,"service":"huvo11a","max_attempts":2,"stretch":1.5,"public_access":false},
{"name":"normal","host":"nony24.example","path_prefix":"/normal/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1200,"priority":1,"service":"huvo11a","max_attempts":3,"stretch":3.0,"public_access":false},
{"name":"slow","host":"nony24.example","path_prefix":"/slow/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":3000,"priority":2,"service":"huvo11a","max_attempts":3,"stretch":3.0,"public_access":false}],
"services":[{"name":"huvo11a","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"kaje80","api_keys":["d4a3hwrr6x73d3zji9n7"],"priority":1,"guaranteed":{"gpu":32}}]}`

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send makes one HTTP call and returns the status and the body. The status is 0 if no answer came in time.
func send(timeout time.Duration, method, url, body string, header map[string]string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	request.Host = header["Host"]
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(content))
}

// client makes one call of a caller at an entry instance and records it.
func (r *rig) client(entry int, wait time.Duration, method, path, body string) (int, string) {
	r.recordf("client: %s %s to entry %d, waits %v", method, path, entry, wait)
	status, reply := send(wait, method, r.frontURL(entry)+path, body, map[string]string{
		"Host": routeHost, "Authorization": "Bearer " + apiKey,
		"Remaining-Milliseconds": strconv.FormatInt(wait.Milliseconds(), 10),
	})
	r.recordf("client: %s %s answered %d %s", method, path, status, reply)
	return status, reply
}

// submit sends a job until it is accepted, as a caller does after no answer or a refusal.
func (r *rig) submit(path, body string) error {
	for attempt := range 10 {
		switch status, _ := r.client(attempt, 3*time.Second, http.MethodPost, path, body); status {
		case http.StatusOK:
			return nil
		case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound:
			return fmt.Errorf("%w: the job %s was refused", errCase, path)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: the job %s was not accepted", errCase, path)
}

// state returns the state of a job as a caller sees it, or an empty string if the call failed.
func (r *rig) state(path string) string {
	_, reply := r.client(0, 3*time.Second, http.MethodGet, path, "")
	var document struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(reply), &document) != nil {
		return ""
	}
	return document.State
}

// control makes a call of an operator or a worker, at one voter after the other until one answers.
func (r *rig) control(first int, method, path, body string) (status int, reply string, voter int) {
	for i := range voterCount {
		voter = (first + i) % voterCount
		status, reply = send(time.Second, method, r.controlURL(voter)+path, body, nil)
		if status != 0 && status < http.StatusInternalServerError {
			return status, reply, voter
		}
	}
	return status, reply, voter
}

// configure publishes a configuration.
func (r *rig) configure(config string) error {
	return r.await("the configuration is acknowledged", func() bool {
		status, reply, _ := r.control(0, http.MethodPut, "/anvilshunt/configuration", config)
		r.recordf("operator: configuration answered %d %s", status, reply)
		return status == http.StatusOK
	})
}
