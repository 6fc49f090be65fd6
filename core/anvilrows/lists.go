package anvilrows

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrDenseList means that the elements of a document's lists take far more memory than the document.
var ErrDenseList = errors.New("the lists have too many elements for the size of the document")

const (
	// maxExpansion is how many bytes of memory one byte of a large document may take as an element of a list.
	maxExpansion = 4
	// smallLists is the number of bytes of memory that the lists of any document may take.
	smallLists = 64 << 10
)

// CheckLists checks, before a JSON object is decoded, how much memory the lists among its fields take if each of their
// elements takes size bytes. Without it, two bytes in a document may take a hundred in memory, also if the document is
// refused in the end. It doesn't check the syntax. The error is ErrDenseList.
func CheckLists(data []byte, size int) error {
	allowed := (maxExpansion*len(data) + smallLists) / size
	if bytes.Count(data, []byte(",")) < allowed {
		return nil
	}
	depth, elements, inList := 0, 0, false
	for i := 0; i < len(data) && elements < allowed; i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
		case '{', '[':
			depth++
			if depth == listDepth {
				inList = data[i] == '['
			}
		case '}', ']':
			depth--
		case ',':
			if depth == listDepth && inList {
				elements++
			}
		}
	}
	if elements < allowed {
		return nil
	}
	return fmt.Errorf("%w: more than %d", ErrDenseList, allowed)
}

// endOfString returns the position of the quotation mark that ends the string that begins at a position.
func endOfString(data []byte, begin int) int {
	for i := begin + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}
