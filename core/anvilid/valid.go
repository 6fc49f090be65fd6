package anvilid

import (
	"net/netip"
	"strings"
	"unicode/utf8"
)

const (
	// maxID is the maximum size of an identifier in bytes.
	maxID = 256
	// maxText is the maximum size of a name or a label in bytes.
	maxText = 1024
)

// Valid reports whether the address is an IP address and a port that can be called.
func (a Address) Valid() bool {
	parsed, err := netip.ParseAddrPort(string(a))
	return err == nil && parsed.Port() > 0 && !parsed.Addr().IsUnspecified()
}

// ValidID reports whether an identifier that others have chosen can be used in headers, paths and log lines:
// 1 to 256 visible ASCII characters without the slash and the percent sign, and not the name of a directory.
func ValidID(id string) bool {
	if id == "" || len(id) > maxID || id == "." || id == ".." {
		return false
	}
	return !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' || r == '/' || r == '%' })
}

// ValidText reports whether a name or a label that others have chosen is valid UTF-8 of at most 1,024 bytes.
func ValidText(text string) bool { return len(text) <= maxText && utf8.ValidString(text) }
