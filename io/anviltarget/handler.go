package anviltarget

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

// handler returns the HTTP handler of the target. Calls of /v1/run bypass the router, because
// the time that the router takes would distort measurements of short requests.
func (t *Target) handler() http.Handler {
	e := echo.New()
	e.POST("/v1/adopt", t.serveAdopt)
	e.PUT("/v1/tasks/:job/:member", t.taskHandler(t.prepare))
	e.POST("/v1/tasks/:job/:member/start", t.taskHandler(t.start))
	e.POST("/v1/tasks/:job/:member/renew", t.taskHandler(t.renew))
	e.POST("/v1/tasks/:job/:member/stop", t.taskHandler(t.stop))
	e.POST("/v1/tasks/:job/:member/throttle", t.taskHandler(t.throttle))
	emu := e.Group("/emu", func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			t.uncountConnection(c.Request().Context())
			return next(c)
		}
	})
	emu.GET("/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, t.Stats()) })
	emu.GET("/requests", t.serveRequests)
	emu.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, t.Faults()) })
	emu.POST("/faults", t.serveFaults)
	emu.POST("/leave", func(c echo.Context) error {
		t.StartLeaving()
		return c.NoContent(http.StatusNoContent)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/run" && r.Method == http.MethodPost {
			if t.awaitUnfrozen() {
				t.serveRun(w, r)
			}
			return
		}
		e.ServeHTTP(w, r)
	})
}

// writeRefusal answers a call that is rejected, with the outcome "not-run".
func writeRefusal(w http.ResponseWriter, status int, code, text string) {
	w.Header().Set(HeaderCode, code)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Code    string `json:"code"`
		Error   string `json:"error"`
		Outcome string `json:"outcome"`
	}{code, text, "not-run"})
}

var refusalStatus = map[string]int{
	CodeStaleEpoch:  http.StatusConflict,
	CodeStaleToken:  http.StatusConflict,
	CodeTaskEnded:   http.StatusConflict,
	CodeLeaving:     http.StatusServiceUnavailable,
	CodeUnknownTask: http.StatusNotFound,
	CodeBadRequest:  http.StatusBadRequest,
	CodeFailed:      http.StatusInternalServerError,
}

var refusalText = map[string]string{
	CodeStaleEpoch: "the epoch is lower than that of the last adoption; adopt the target again",
	CodeStaleToken: "the request was already started with this or a later token",
	CodeLeaving:    "the target is leaving; choose another one",
}

func writeRefusalCode(w http.ResponseWriter, code string) {
	writeRefusal(w, refusalStatus[code], code, refusalText[code])
}

func (t *Target) serveAdopt(c echo.Context) error {
	if !t.awaitUnfrozen() {
		return nil
	}
	var call struct {
		Epoch anvilid.Epoch      `json:"epoch"`
		Owner anvilid.InstanceID `json:"owner"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&call); err != nil {
		writeRefusal(c.Response(), http.StatusBadRequest, CodeBadRequest, "the body isn't {\"epoch\": N, \"owner\": \"ID\"}: "+err.Error())
		return nil
	}
	t.mu.Lock()
	if t.staleEpoch(call.Epoch) {
		t.stats.Refused.Epoch++
		t.mu.Unlock()
		writeRefusalCode(c.Response(), CodeStaleEpoch)
		return nil
	}
	if !t.settings.NoFencing {
		t.epoch = call.Epoch
	}
	t.stats.Adoptions++
	report := t.report(true)
	t.mu.Unlock()
	return c.JSON(http.StatusOK, report)
}

// taskHandler returns a handler for one type of call about a task, such as prepare or stop. It
// decodes the call, carries it out with the function handle, and answers with the state of
// the task or with the refusal.
func (t *Target) taskHandler(handle func(memberKey, taskCall) (anvilreport.Task, *refusal)) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !t.awaitUnfrozen() {
			return nil
		}
		member, err := strconv.Atoi(c.Param("member"))
		if err != nil || member < 0 {
			writeRefusal(c.Response(), http.StatusBadRequest, CodeBadRequest, fmt.Sprintf("member %q is not an integer of 0 or more", c.Param("member")))
			return nil
		}
		var call taskCall
		if err := json.NewDecoder(c.Request().Body).Decode(&call); err != nil {
			writeRefusal(c.Response(), http.StatusBadRequest, CodeBadRequest, "the body is not a valid task call: "+err.Error())
			return nil
		}
		task, refused := handle(memberKey{anvilid.JobID(c.Param("job")), member}, call)
		if refused != nil {
			writeRefusal(c.Response(), refusalStatus[refused.code], refused.code, refused.text)
			return nil
		}
		return c.JSON(http.StatusOK, task)
	}
}

func (t *Target) serveFaults(c echo.Context) error {
	var faults Faults
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		writeRefusal(c.Response(), http.StatusBadRequest, CodeBadRequest, "the body is not a valid set of faults: "+err.Error())
		return nil
	}
	t.SetFaults(faults)
	return c.JSON(http.StatusOK, faults)
}

// Faults returns the current faults.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// serveRequests returns how often request ids ran: of the one request that the query
// parameters account and id identify, or else of all that ran at least as often as the query
// parameter min says (default 1).
func (t *Target) serveRequests(c echo.Context) error {
	if id := c.QueryParam("id"); id != "" {
		account := anvilid.AccountID(c.QueryParam("account"))
		return c.JSON(http.StatusOK, []RequestCount{{account, anvilid.RequestID(id), t.RunCount(account,
			anvilid.RequestID(id))}})
	}
	minCount, err := strconv.Atoi(c.QueryParam("min"))
	if err != nil {
		minCount = 1
	}
	return c.JSON(http.StatusOK, t.Requests(minCount))
}
