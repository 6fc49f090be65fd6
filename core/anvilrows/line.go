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
