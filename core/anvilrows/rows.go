// Package anvilrows decodes JSON documents with lists that have several writers. An entry that can't be
// decoded is left out and reported, and the other entries are used.
package anvilrows

import (
	"bytes"
	"encoding/json"
	"errors"
)

const (
	// listDepth is the depth of the entries of a list: the document is an object, and the list one of
	// its fields.
	listDepth = 2
	// maxNesting is how deep an entry of a document with a syntax error may be nested. The decoder's own
	// limit applies to the whole document, so that an entry below the limit may still exceed it there.
	maxNesting = 100
	// maxExcerpt is the maximum size in bytes of the text that takes the place of an entry.
	maxExcerpt = 100
)

// List is a list in a document whose entries are decoded one by one.
type List []json.RawMessage

// Unmarshal is like json.Unmarshal, but an entry of a list that is no JSON value, or that is nested too deep
// for the decoder, doesn't fail the document. Such an entry is replaced by a string with its first bytes. The
// lists are those that are direct fields of the document.
func Unmarshal(document []byte, value any) error {
	err := json.Unmarshal(document, value)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	return json.Unmarshal(replaceInvalid(document), value)
}

// Decode decodes each entry of a list, and calls ignored for each one that can't be decoded.
func Decode[T any](list List, decode func(json.RawMessage) (T, error), ignored func(json.RawMessage, error)) []T {
	var values []T
	for _, entry := range list {
		value, err := decode(entry)
		if err != nil {
			ignored(entry, err)
			continue
		}
		values = append(values, value)
	}
	return values
}

// replaceInvalid replaces the entries of lists that can't be decoded.
func replaceInvalid(document []byte) []byte {
	result := make([]byte, 0, len(document))
	depth, deepest, copied, entry, inList := 0, 0, 0, 0, false
	for i := 0; i < len(document); i = next(document, i) {
		switch c := document[i]; c {
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
			if depth == listDepth {
				entry, deepest, inList = i+1, depth, c == '['
			}
		case ',', ']', '}':
			if depth == listDepth && inList {
				result = append(result, document[copied:entry]...)
				result = append(result, orExcerpt(document[entry:i], deepest-depth)...)
				copied, entry, deepest = i, i+1, depth
			}
			if c != ',' {
				depth--
			}
		}
	}
	return append(result, document[copied:]...)
}

// next returns the position after the character or, at a quotation mark, after the string at a position.
func next(document []byte, i int) int {
	if document[i] != '"' {
		return i + 1
	}
	for i++; i < len(document) && document[i] != '"'; i++ {
		if document[i] == '\\' {
			i++
		}
	}
	return i + 1
}

// orExcerpt returns an entry or, if it can't be decoded, a string with its first bytes.
func orExcerpt(entry []byte, nesting int) []byte {
	trimmed := bytes.TrimSpace(entry)
	if len(trimmed) == 0 || nesting <= maxNesting && json.Valid(trimmed) {
		return entry
	}
	excerpt, err := json.Marshal(string(trimmed[:min(len(trimmed), maxExcerpt)]))
	if err != nil {
		return []byte("null") // can't happen: every string can be encoded
	}
	return excerpt
}
