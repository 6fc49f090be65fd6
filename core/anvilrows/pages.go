package anvilrows

import (
	"encoding/json"
	"errors"
)

// ErrEndlessList means that the token of the next page leads to a page that was read before, or to more
// pages than may be read. What was read until then can be used.
var ErrEndlessList = errors.New("list has no last page")

// ReadPages calls read for each page of a list, at most maxPages times. It passes the token of the page, which is empty
// for the first one, and gets the token of the next page as it has arrived. Beside ErrEndlessList it returns the
// token that leads no further.
func ReadPages(maxPages int, read func(token string) (next json.RawMessage, err error)) (json.RawMessage, error) {
	used := map[string]bool{}
	for token := ""; ; {
		next, err := read(token)
		if err != nil {
			return nil, err
		}
		used[token] = true
		token = pageToken(next)
		switch {
		case token == "":
			return nil, nil
		case used[token] || len(used) == maxPages:
			return next, ErrEndlessList
		}
	}
}

// pageToken returns a page token as text. On the wire it is a string or a number,
// and null or missing on the last page, for which the result is empty.
func pageToken(raw json.RawMessage) string {
	if len(raw) == 0 || string(raw) == "null" {
		return ""
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}
