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

// handler serves runs without the router, because they are the hot path of
// measurements.
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
			t.discount(c.Request().Context())
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
			if t.awaitThaw() {
				t.serveRun(w, r)
			}
			return
		}
		e.ServeHTTP(w, r)
	})
}

// refuse answers a call that was not carried out.
func refuse(w http.ResponseWriter, status int, code, text string) {
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
	CodeStaleEpoch: "the epoch is below the highest that the target adopted; adopt it again",
	CodeStaleToken: "the request id was already started under this or a later token",
	CodeLeaving:    "the target is leaving; choose another one",
}

func refuseCode(w http.ResponseWriter, code string) {
	refuse(w, refusalStatus[code], code, refusalText[code])
}

func (t *Target) serveAdopt(c echo.Context) error {
	if !t.awaitThaw() {
		return nil
	}
	var call struct {
		Epoch anvilid.Epoch      `json:"epoch"`
		Owner anvilid.InstanceID `json:"owner"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&call); err != nil {
		refuse(c.Response(), http.StatusBadRequest, CodeBadRequest, "the body isn't {\"epoch\": N, \"owner\": \"ID\"}: "+err.Error())
		return nil
	}
	t.mu.Lock()
	if t.staleEpoch(call.Epoch) {
		t.stats.Refused.Epoch++
		t.mu.Unlock()
		refuseCode(c.Response(), CodeStaleEpoch)
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

// taskHandler reads a task call, carries it out and answers with the task.
func (t *Target) taskHandler(do func(memberKey, taskCall) (anvilreport.Task, *refusal)) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !t.awaitThaw() {
			return nil
		}
		member, err := strconv.Atoi(c.Param("member"))
		if err != nil || member < 0 {
			refuse(c.Response(), http.StatusBadRequest, CodeBadRequest, fmt.Sprintf("member %q isn't a number of 0 or more", c.Param("member")))
			return nil
		}
		var call taskCall
		if err := json.NewDecoder(c.Request().Body).Decode(&call); err != nil {
			refuse(c.Response(), http.StatusBadRequest, CodeBadRequest, "the body isn't a task call: "+err.Error())
			return nil
		}
		task, refused := do(memberKey{anvilid.JobID(c.Param("job")), member}, call)
		if refused != nil {
			refuse(c.Response(), refusalStatus[refused.code], refused.code, refused.text)
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
		refuse(c.Response(), http.StatusBadRequest, CodeBadRequest, "the body isn't a set of faults: "+err.Error())
		return nil
	}
	t.SetFaults(faults)
	return c.JSON(http.StatusOK, faults)
}

// Faults returns the faults that are set.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// serveRequests lists the ids that ran at least ?min= times, or only the one
// that ?account= and ?id= name.
func (t *Target) serveRequests(c echo.Context) error {
	if id := c.QueryParam("id"); id != "" {
		account := anvilid.AccountID(c.QueryParam("account"))
		return c.JSON(http.StatusOK, []RequestCount{{account, anvilid.RequestID(id), t.RunCount(account, anvilid.RequestID(id))}})
	}
	least, err := strconv.Atoi(c.QueryParam("min"))
	if err != nil {
		least = 1
	}
	return c.JSON(http.StatusOK, t.Requests(least))
}
