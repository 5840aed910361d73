package storer

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
)

type recordKind byte

const (
	recordVote recordKind = iota + 1
	recordEntry
	recordReset
	recordSnapshot
	recordIdentity
	recordBatch
	recordHosts
	recordLeave
)

const (
	// headerSize and maxRecordSize are in bytes.
	headerSize    = 9
	maxRecordSize = 256 << 20
	serialBase    = 10
	serialBits    = 64
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// record is encoded as the length of the data, a checksum over kind, length and data, the kind, and the data. The data
// of a batch consist of parts.
type record struct {
	kind recordKind
	data []byte
}

func encodeRecord(kind recordKind, data []byte) []byte {
	return appendRecord(nil, kind, data)
}

func appendMessage(buffer []byte, kind recordKind, m proto.Message) []byte {
	return appendRecord(buffer, kind, marshal(m))
}

func marshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		// Marshalling fails only for invalid UTF-8, which the parsers of all inputs have already rejected.
		panic(fmt.Sprintf("storer: encode record: %v", err))
	}
	return data
}

func appendRecord(buffer []byte, kind recordKind, data []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(data)))
	buffer = binary.LittleEndian.AppendUint32(buffer, checksum(kind, data))
	buffer = append(buffer, byte(kind))
	return append(buffer, data...)
}

// partHeaderSize is the size of a part's kind and length in bytes.
const partHeaderSize = 5

// appendPart appends one part of a batch. Parts have no checksum of their own: a batch is valid as a whole or not at
// all. A write torn by a power failure could otherwise leave a valid record after an invalid one, which is
// indistinguishable from damage to acknowledged records and would prevent the controller from starting.
func appendPart(buffer []byte, kind recordKind, m proto.Message) []byte {
	data := marshal(m)
	buffer = append(buffer, byte(kind))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(data)))
	return append(buffer, data...)
}

// splitBatch returns the parts of a batch. Any other record is returned as the only part.
func splitBatch(r record) ([]record, error) {
	if r.kind != recordBatch {
		return []record{r}, nil
	}
	var out []record
	for data := r.data; len(data) > 0; {
		if len(data) < partHeaderSize {
			return nil, &formatError{"part's header cut short"}
		}
		size := int(binary.LittleEndian.Uint32(data[1:]))
		if size > len(data)-partHeaderSize {
			return nil, &formatError{"part cut short"}
		}
		out = append(out, record{recordKind(data[0]), data[partHeaderSize : partHeaderSize+size]})
		data = data[partHeaderSize+size:]
	}
	return out, nil
}

func checksum(kind recordKind, data []byte) uint32 {
	sum := crc32.Update(0, checksums, []byte{byte(kind)})
	sum = crc32.Update(sum, checksums, binary.LittleEndian.AppendUint32(nil, uint32(len(data))))
	return crc32.Update(sum, checksums, data)
}

func decodeRecord(data []byte) (record, int, error) {
	if len(data) < headerSize {
		return record{}, 0, &formatError{"header cut short"}
	}
	size := int(binary.LittleEndian.Uint32(data))
	if size > maxRecordSize || headerSize+size > len(data) {
		return record{}, 0, &formatError{"record cut short"}
	}
	kind := recordKind(data[8])
	payload := data[headerSize : headerSize+size]
	if checksum(kind, payload) != binary.LittleEndian.Uint32(data[4:]) {
		return record{}, 0, &formatError{"checksum differs"}
	}
	return record{kind, payload}, headerSize + size, nil
}

// validRecordAfter reports whether there is a valid record at a later offset in data that begin with an invalid one.
func validRecordAfter(data []byte) bool {
	for at := 1; at+headerSize <= len(data); at++ {
		kind := recordKind(data[at+8])
		if kind < recordVote || kind > recordBatch {
			continue
		}
		if _, _, err := decodeRecord(data[at:]); err == nil {
			return true
		}
	}
	return false
}

func formatSerial(n uint64) string {
	return fmt.Sprintf("%020d", n)
}

func parseSerial(name, prefix string) uint64 {
	n, err := strconv.ParseUint(strings.TrimPrefix(name, prefix), serialBase, serialBits)
	if err != nil {
		return 0
	}
	return n
}
