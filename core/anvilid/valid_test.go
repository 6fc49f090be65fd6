package anvilid

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestValid guards against identifiers and addresses that can't be used in a call, and against the refusal of
// those that can.
func TestValid(t *testing.T) {
	for _, id := range []string{"i-7f3a91c2", "5c0e7a21d94b36f8", "a.b:c_d", strings.Repeat("x", 256), "m-0a3f1", "..."} {
		assert.Check(t, ValidID(id), id)
	}
	for _, id := range []string{"", ".", "..", "a/b", "a b", "a\nb", "a%2fb", "\xff", "é", "a\x7f", strings.Repeat("x", 257)} {
		assert.Check(t, !ValidID(id), "%q", id)
	}
	for _, address := range []Address{"10.128.0.9:8080", "127.0.0.1:1", "[fd00::1]:65535"} {
		assert.Check(t, address.Valid(), "%s", address)
	}
	for _, address := range []Address{"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "host:80", ":80", "0.0.0.0:80", "[::]:80", "10.0.0.1:80/x", "10.0.0.256:80"} {
		assert.Check(t, !address.Valid(), "%s", address)
	}
	assert.Check(t, ValidText("") && ValidText("Kræmmerhus") && !ValidText("\xff") && !ValidText(strings.Repeat("x", 1025)))
}
