package anvilhttp

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/io/anvilguard"
)

// Headers of short requests and their answers.
const (
	// AccountHeader names the account of a short request.
	AccountHeader    = "Anvilshunt-Account"
	headerID         = "Anvilshunt-Request-Id"
	headerRepeatable = "Anvilshunt-Repeatable"
	headerTimeout    = "Anvilshunt-Timeout"
	headerOutcome    = "Anvilshunt-Outcome"
)

// requestStatuses maps the error codes of short requests to HTTP statuses. A code that isn't in the
// map gets 503 if the request was not run, and otherwise 502.
var requestStatuses = map[anvilrequest.Code]int{
	anvilrequest.CodeBadRequest:       http.StatusBadRequest,
	anvilrequest.CodeBadID:            http.StatusBadRequest,
	anvilrequest.CodeBadTimeout:       http.StatusBadRequest,
	anvilrequest.CodeUnknownAccount:   http.StatusNotFound,
	anvilrequest.CodeUnknownService:   http.StatusNotFound,
	anvilrequest.CodeForbiddenService: http.StatusForbidden,
	anvilrequest.CodeIDReused:         http.StatusConflict,
	anvilrequest.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	anvilrequest.CodeOverloaded:       http.StatusTooManyRequests,
	anvilrequest.CodeTimeout:          http.StatusGatewayTimeout,
	anvilrequest.CodeInFlight:         http.StatusGatewayTimeout,
	anvilrequest.CodeAnswerGone:       http.StatusGone,
}

func requestStatus(answer anvilrequest.Answer) int {
	if status, ok := requestStatuses[answer.Code]; ok {
		return status
	}
	if answer.Outcome == anvilrequest.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// runRequest runs a short request.
func (s *server) runRequest(c echo.Context) error {
	request, answer := s.parseRequest(c)
	if answer.Outcome == "" {
		answer = s.api.Run(request)
	}
	return writeAnswer(c, request.ID, answer)
}

// parseRequest reads a short request. If the request is invalid, the returned answer is a refusal;
// otherwise the outcome in the answer is empty.
func (s *server) parseRequest(c echo.Context) (*anvilrequest.Request, anvilrequest.Answer) {
	header := c.Request().Header
	request := &anvilrequest.Request{
		Key: anvilrequest.Key{
			Account: anvilid.AccountID(header.Get(AccountHeader)),
			Service: anvilid.ServiceName(c.Param("service")),
			ID:      anvilid.RequestID(header.Get(headerID)),
		},
		ContentType: header.Get(echo.HeaderContentType),
	}
	for name, values := range header {
		if strings.HasPrefix(name, anvilrequest.MetadataPrefix) {
			request.Metadata = append(request.Metadata, anvilrequest.HeaderField{Name: name, Value: values[0]})
		}
	}
	request.IDFromCaller = request.ID != ""
	if !request.IDFromCaller {
		request.ID = s.api.IssueID()
	} else if err := anvilrequest.CheckID(request.ID); err != nil {
		id := request.ID
		request.ID = ""
		return request, anvilrequest.Refuse(anvilrequest.CodeBadID,
			"header %s: %q: expected 1 to 128 of A-Z a-z 0-9 . _ : -", headerID, id)
	}
	if request.Account == "" {
		return request, anvilrequest.Refuse(anvilrequest.CodeBadRequest,
			"header %s is missing; set it to the name of the client account", AccountHeader)
	}
	if answer := s.parseOptions(c, request); answer.Outcome != "" {
		return request, answer
	}
	return request, s.readBody(c, request)
}

// parseOptions reads the headers that say whether a request is repeatable and what its timeout is.
// Without a header, the configuration of the service applies. If that sets no timeout either,
// defaultTimeout applies.
func (s *server) parseOptions(c echo.Context, request *anvilrequest.Request) anvilrequest.Answer {
	header := c.Request().Header
	timeout := defaultTimeout
	if service := s.api.Service(request.Service); service != nil {
		request.Repeatable = service.Repeatable
		if service.Timeout > 0 {
			timeout = service.Timeout
		}
	}
	switch text := header.Get(headerRepeatable); text {
	case "":
	case "yes", "no":
		request.Repeatable = text == "yes"
	default:
		return anvilrequest.Refuse(anvilrequest.CodeBadRequest, "header %s is %q; expected yes or no", headerRepeatable, text)
	}
	if text := header.Get(headerTimeout); text != "" {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil || value <= 0 || anvilclock.Millis(value) > maxTimeout {
			return anvilrequest.Refuse(anvilrequest.CodeBadTimeout, "header %s is %q; expected 1 to %d milliseconds",
				headerTimeout, text, maxTimeout)
		}
		timeout = anvilclock.Millis(value)
	}
	request.Deadline = s.clock.Now() + timeout
	return anvilrequest.Answer{}
}

func (s *server) readBody(c echo.Context, request *anvilrequest.Request) anvilrequest.Answer {
	body, err := readLimited(c, s.limits.BodyBytes)
	switch {
	case errors.Is(err, anvilguard.ErrTooLarge):
		return anvilrequest.Refuse(anvilrequest.CodeTooLarge, "%v", err)
	case errors.Is(err, anvilguard.ErrGaveWay):
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded, "%v", err)
	case err != nil:
		return anvilrequest.Refuse(anvilrequest.CodeBadRequest, "the request body could not be read: %v", err)
	}
	request.Body = body
	return anvilrequest.Answer{}
}

// readLimited reads the request body. It fails if the body has more than limit bytes, or if the client is too slow or
// holds too much, see anvilguard.ReadBody.
func readLimited(c echo.Context, limit anvilid.ByteCount) ([]byte, error) {
	return anvilguard.ReadBody(c.Response(), c.Request(), limit)
}

// writeBodyError answers a request of an operator or target whose body could not be read. It was not carried out.
func writeBodyError(c echo.Context, err error) error {
	switch {
	case errors.Is(err, anvilguard.ErrTooLarge):
		return writeError(c, http.StatusRequestEntityTooLarge, "body_too_large", err.Error())
	case errors.Is(err, anvilguard.ErrGaveWay):
		c.Response().Header().Set("Retry-After", "1")
		return writeError(c, http.StatusServiceUnavailable, "overloaded", err.Error())
	}
	return writeError(c, http.StatusBadRequest, "bad_request", "the request body could not be read: "+err.Error())
}

// writeAnswer sends the answer of a target, or the error that replaces it, to the caller. The header
// Anvilshunt-Outcome says whether the request was run.
func writeAnswer(c echo.Context, id anvilid.RequestID, answer anvilrequest.Answer) error {
	header := c.Response().Header()
	header[headerOutcome] = []string{string(answer.Outcome)}
	if id != "" {
		header[headerID] = []string{string(id)}
	}
	if answer.Outcome != anvilrequest.Done {
		status := requestStatus(answer)
		if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			header.Set("Retry-After", "1")
		}
		return c.JSON(status, errorBody{Code: string(answer.Code), Error: answer.Detail, Outcome: string(answer.Outcome)})
	}
	contentType := answer.ContentType
	if contentType == "" {
		contentType = echo.MIMEOctetStream
	}
	header[echo.HeaderContentLength] = []string{strconv.Itoa(len(answer.Body))}
	return c.Blob(answer.Status, contentType, answer.Body)
}
