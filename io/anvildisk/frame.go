package anvildisk

import (
	"encoding/binary"

	"anvilshunt/core/anvilraft"

	"github.com/zeebo/xxh3"
)

// A frame is the unit that is written and synced as a whole:
//
//	length   uint32  of the payload
//	kind     uint32
//	content  uint64  xxh3 of the payload
//	header   uint64  xxh3 of the 16 bytes above, seeded with the position
//	payload
//
// The header has a checksum of its own, so that a damaged length is told
// apart from a frame that was written only in part. The seed depends on the
// storage id, the file and the offset: bytes of a client that look like a
// frame, or a frame copied from elsewhere, aren't accepted.
const (
	frameHeader  = 24
	headerSummed = 16
)

type frameKind uint32

const (
	frameSegment  frameKind = 1 // first frame of a segment
	frameBatch    frameKind = 2 // records of one Save
	frameSnapshot frameKind = 3 // the only frame of a snapshot file
)

// seed identifies a file of one storage.
type seed uint64

func fileSeed(id anvilraft.StorageID, name string) seed {
	return seed(xxh3.HashStringSeed(name, xxh3.HashString(string(id))))
}

func (s seed) at(offset int) uint64 {
	var position [8]byte
	binary.LittleEndian.PutUint64(position[:], uint64(offset))
	return xxh3.HashSeed(position[:], uint64(s))
}

// newFrame returns a buffer with room for the header, to which the payload
// is appended before sealFrame.
func newFrame(buffer []byte) []byte {
	return append(buffer[:0], make([]byte, frameHeader)...)
}

func sealFrame(frame []byte, kind frameKind, s seed, offset int) {
	payload := frame[frameHeader:]
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], uint32(kind))
	binary.LittleEndian.PutUint64(frame[8:], xxh3.Hash(payload))
	binary.LittleEndian.PutUint64(frame[headerSummed:], xxh3.HashSeed(frame[:headerSummed], s.at(offset)))
}

type frameState int

const (
	frameComplete  frameState = iota
	frameBadHeader            // the header is incomplete or fails its checksum
	frameCutShort             // the header is good, the payload is incomplete
	frameBadContent
)

type frame struct {
	kind    frameKind
	payload []byte
	end     int // offset behind the frame
}

func goodHeader(data []byte, s seed, offset int) bool {
	if len(data)-offset < frameHeader {
		return false
	}
	header := data[offset : offset+frameHeader]
	return binary.LittleEndian.Uint64(header[headerSummed:]) == xxh3.HashSeed(header[:headerSummed], s.at(offset))
}

func readFrame(data []byte, s seed, offset int) (frame, frameState) {
	if !goodHeader(data, s, offset) {
		return frame{}, frameBadHeader
	}
	header := data[offset : offset+frameHeader]
	start := offset + frameHeader
	end := start + int(binary.LittleEndian.Uint32(header))
	f := frame{kind: frameKind(binary.LittleEndian.Uint32(header[4:])), end: end}
	if end > len(data) {
		return f, frameCutShort
	}
	f.payload = data[start:end:end]
	if xxh3.Hash(f.payload) != binary.LittleEndian.Uint64(header[8:]) {
		return f, frameBadContent
	}
	return f, frameComplete
}

// isTornTail tells whether the bad frame at offset can be what a crash left
// of the last write. Each frame is synced before the next is written, so a
// bad frame with anything behind it was once complete and is damaged.
func isTornTail(data []byte, s seed, offset int, f frame, state frameState) bool {
	switch state {
	case frameCutShort:
		return true
	case frameBadContent:
		return f.end == len(data)
	case frameBadHeader:
		for later := offset + 1; later+frameHeader <= len(data); later++ {
			if goodHeader(data, s, later) {
				return false
			}
		}
		return true
	}
	return false
}
