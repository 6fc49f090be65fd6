package anvilstate

import "anvilshunt/core/anvilcodec"

// Encode returns the canonical CBOR encoding of a value.
func Encode(value any) ([]byte, error) { return anvilcodec.Encode(value) }

// Decode parses a value that Encode wrote.
func Decode(data []byte, value any) error { return anvilcodec.Decode(data, value) }
