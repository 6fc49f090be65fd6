package anvilrows

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// AddLineNumber adds to an error of the JSON decoder the number of the line in data in which
// the error occurred.
func AddLineNumber(data []byte, err error) error {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	}
	if offset < 0 || offset > int64(len(data)) {
		return err
	}
	return fmt.Errorf("line %d: %w", 1+bytes.Count(data[:offset], []byte("\n")), err)
}

// SyntaxErrorLine returns the line of a syntax error in JSON with comments, or 1 if the error doesn't say
// it. The text of such an error begins with "hujson: line N, column M".
func SyntaxErrorLine(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); scanErr != nil {
		return 1
	}
	return line
}
