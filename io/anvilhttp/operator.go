package anvilhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilguard"
	"anvilshunt/io/anvilsettings"
)

// maxChangeBytes limits the body of a change set.
const maxChangeBytes = anvilsettings.MaxChange

// decodeStrict decodes one JSON value. It rejects unknown fields and text after the value.
func decodeStrict(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected text after the JSON value")
	}
	return nil
}

func (s *server) viewConfig(c echo.Context) error {
	config, err := s.api.Config()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct {
		Revision anvilid.Revision     `json:"revision"`
		Objects  []anvilconfig.Object `json:"objects"`
	}{config.Revision, config.List()})
}

// invalidChange is the body of the answer to a change set that can't be decoded or published.
type invalidChange struct {
	errorBody
	Problems []anvilconfig.Problem `json:"problems"`
}

// readChange reads a change set from the request body. If ok is false, it has already answered the
// request.
func readChange(c echo.Context) (change anvilconfig.Change, ok bool, err error) {
	data, err := readLimited(c, maxChangeBytes)
	if err != nil {
		return change, false, writeBodyError(c, err)
	}
	var problems []anvilconfig.Problem
	anvilguard.Decode(c.Request(), len(data), func() { change, problems = anvilconfig.ParseChange(data) })
	if len(problems) > 0 {
		return change, false, c.JSON(http.StatusUnprocessableEntity, invalidChange{
			errorBody{Code: "invalid_change", Error: "the change set can't be decoded"}, problems,
		})
	}
	return change, true, nil
}

func (s *server) checkChange(c echo.Context) error {
	change, ok, err := readChange(c)
	if !ok {
		return err
	}
	problems, err := s.api.CheckChange(c.Request().Context(), change)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, invalidChange{
			errorBody{Code: "invalid_change", Error: "the change set can't be published"}, problems,
		})
	}
	return c.JSON(http.StatusOK, struct {
		OK bool `json:"ok"`
	}{true})
}

func (s *server) applyChange(c echo.Context) error {
	change, ok, err := readChange(c)
	if !ok {
		return err
	}
	result, everywhere, err := s.api.PublishChange(c.Request().Context(), change, c.QueryParam("everywhere") == "yes")
	if err != nil {
		return err
	}
	return writeChangeResult(c, result, everywhere)
}

func writeChangeResult(c echo.Context, result anvilstate.Result, everywhere bool) error {
	switch result.Code {
	case "":
		return c.JSON(http.StatusOK, struct {
			Revision   anvilid.Revision `json:"revision"`
			Everywhere bool             `json:"everywhere"`
		}{result.Revision, everywhere})
	case "invalid_change":
		return c.JSON(http.StatusUnprocessableEntity, invalidChange{errorBody{Code: result.Code, Error: result.Detail}, result.Problems})
	case "stale_revision":
		return c.JSON(http.StatusConflict, struct {
			errorBody
			Conflict *anvilstate.Conflict `json:"conflict"`
		}{errorBody{Code: result.Code, Error: result.Detail}, result.Conflict})
	}
	return writeRefusal(c, result)
}

func (s *server) listHistory(c echo.Context) error {
	history, err := s.api.History(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, history)
}

// viewBurn answers with a report on the service-level objectives of the service that the query
// parameter service names, or of all services without it.
func (s *server) viewBurn(c echo.Context) error {
	report, err := s.api.ObjectiveReport(c.Request().Context(), anvilid.ServiceName(c.QueryParam("service")))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, report)
}

func (s *server) viewStatus(c echo.Context) error { return c.JSON(http.StatusOK, s.api.Status()) }

func (s *server) listInstances(c echo.Context) error {
	return c.JSON(http.StatusOK, s.api.Status().Instances)
}

func (s *server) listTargets(c echo.Context) error {
	return c.JSON(http.StatusOK, s.api.Status().Targets)
}

func (s *server) drainTarget(c echo.Context) error {
	if err := s.api.DrainTarget(c.Request().Context(), anvilid.TargetID(c.Param("id"))); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct {
		Draining bool `json:"draining"`
	}{true})
}
