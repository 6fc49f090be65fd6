package anvilserver_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/io/anviltarget"
)

// benchRequest sends one request and reads the whole answer.
func benchRequest(b *testing.B, client *http.Client, url string, header http.Header) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("rake the court")))
	assert.NilError(b, err)
	request.Header = header
	response, err := client.Do(request)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(b, err)
	assert.NilError(b, response.Body.Close())
	assert.Equal(b, response.StatusCode, http.StatusOK)
}

// BenchmarkShortRequest compares a request through one instance with the same
// request sent to the target itself. Both run in this process.
func BenchmarkShortRequest(b *testing.B) {
	s := newSystem(b)
	s.declare([]string{"i1"}, func(string) string { return "west" }, func(string) bool { return true })
	s.start("i1")
	s.eventually("ready", func() bool { return s.ready("i1") })
	target := s.startTarget("t1", anviltarget.Settings{Region: "west", Zone: "zone-i1", Rack: "r1", NoFencing: true})
	status, body := s.post("i1", "/v1/config/changes", baseConfig)
	assert.Equal(b, status, http.StatusOK, body)
	s.eventually("adopted", func() bool { return s.adopted(1) })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	direct := http.Header{"Anvilshunt-Request-Id": {"r"}, "Anvilshunt-Token": {"0"}, "Anvilshunt-Account": {"agency"}}
	through := http.Header{"Anvilshunt-Account": {"agency"}}
	for _, bench := range []struct {
		name, url string
		header    http.Header
	}{
		{"direct", "http://" + string(target.Address()) + "/v1/run", direct},
		{"instance", "http://" + string(s.instances["i1"].settings.Public) + "/v1/services/planner/requests", through},
	} {
		b.Run(bench.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchRequest(b, client, bench.url, bench.header)
			}
		})
		b.Run(bench.name+"/parallel", func(b *testing.B) {
			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					benchRequest(b, client, bench.url, bench.header)
				}
			})
		})
	}
}
