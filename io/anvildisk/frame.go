package anvildisk

import (
	"encoding/binary"

	"anvilshunt/core/anvilraft"

	"github.com/zeebo/xxh3"
)

// A frame is a block of a file that is written and synced as a whole. It consists of:
//
//	length            uint32  length of the payload in bytes
//	kind              uint32
//	payload checksum  uint64  xxh3 of the payload
//	header checksum   uint64  xxh3 of the 16 bytes above, seeded with the position
//	payload
//
// The header has its own checksum, so that a corrupt length can be told from a frame that was
// written only in part. The seed of the header checksum depends on the storage id, the file name and
// the offset of the frame; only in the segment header, which contains the storage id itself, it does
// not depend on the id. Client data that looks like a frame, or a frame copied from another place,
// is therefore rejected.
const (
	frameHeaderBytes = 24
	checksummedBytes = 16
)

type frameKind uint32

const (
	frameSegment  frameKind = 1 // segment header, the first frame of a segment
	frameBatch    frameKind = 2 // records that one Save call wrote: hard states, entries, truncations
	frameSnapshot frameKind = 3 // the only frame of a snapshot file
)

// seed is the part of the checksum seed that depends on the storage id and the file name.
type seed uint64

func fileSeed(id anvilraft.StorageID, name string) seed {
	return seed(xxh3.HashStringSeed(name, xxh3.HashString(string(id))))
}

func (s seed) positionSeed(offset int) uint64 {
	var position [8]byte
	binary.LittleEndian.PutUint64(position[:], uint64(offset))
	return xxh3.HashSeed(position[:], uint64(s))
}

// newFrame empties the buffer and reserves space for the header. The caller appends the payload
// and then calls finishFrame.
func newFrame(buffer []byte) []byte {
	return append(buffer[:0], make([]byte, frameHeaderBytes)...)
}

func finishFrame(frame []byte, kind frameKind, s seed, offset int) {
	payload := frame[frameHeaderBytes:]
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], uint32(kind))
	binary.LittleEndian.PutUint64(frame[8:], xxh3.Hash(payload))
	binary.LittleEndian.PutUint64(frame[checksummedBytes:], xxh3.HashSeed(frame[:checksummedBytes], s.positionSeed(offset)))
}

type frameState int

const (
	frameComplete  frameState = iota
	frameBadHeader            // the header is incomplete or fails its checksum
	frameTruncated            // the header is valid, the payload is incomplete
	frameBadPayload
)

type frame struct {
	kind    frameKind
	payload []byte
	end     int // offset of the first byte after the frame
}

func isValidHeader(data []byte, s seed, offset int) bool {
	if len(data)-offset < frameHeaderBytes {
		return false
	}
	header := data[offset : offset+frameHeaderBytes]
	return binary.LittleEndian.Uint64(header[checksummedBytes:]) == xxh3.HashSeed(header[:checksummedBytes], s.positionSeed(offset))
}

func readFrame(data []byte, s seed, offset int) (frame, frameState) {
	if !isValidHeader(data, s, offset) {
		return frame{}, frameBadHeader
	}
	header := data[offset : offset+frameHeaderBytes]
	start := offset + frameHeaderBytes
	end := start + int(binary.LittleEndian.Uint32(header))
	f := frame{kind: frameKind(binary.LittleEndian.Uint32(header[4:])), end: end}
	if end > len(data) {
		return f, frameTruncated
	}
	f.payload = data[start:end:end]
	if xxh3.Hash(f.payload) != binary.LittleEndian.Uint64(header[8:]) {
		return f, frameBadPayload
	}
	return f, frameComplete
}

// isTornTail reports whether the invalid frame at offset can be the last write to the file, which a
// crash interrupted. Each frame is synced before the next one is written. An invalid frame that is
// followed by another frame was therefore complete once and has been corrupted since.
func isTornTail(data []byte, s seed, offset int, f frame, state frameState) bool {
	switch state {
	case frameTruncated:
		return true
	case frameBadPayload:
		return f.end == len(data)
	case frameBadHeader:
		for later := offset + 1; later+frameHeaderBytes <= len(data); later++ {
			if isValidHeader(data, s, later) {
				return false
			}
		}
		return true
	}
	return false
}
