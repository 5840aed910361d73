package closer

import "bytes"

// arrivals are the bytes that arrive on a connection of HTTP/1. The server gets them up to the end of a head or of a body at
// a time, so that it is known which requests behind the one that it handles have been read.
type arrivals struct {
	// ahead was read and not given to the server yet.
	ahead []byte
	// line is the state of the search for the end of a head in what was given to the server.
	line lineState
	// body is how many bytes of a body with a stated length the server has not got yet. Chunked is set for a body in chunks,
	// which ends like a head.
	body    int64
	chunked bool
	// received is the number of bytes that were read.
	received int64
	// leaving is set once the process leaves, and due is then how many bytes had arrived by that time.
	leaving bool
	due     int64
}

// lineState is what is known of a line while the end of a head is searched: an empty line.
type lineState int

const (
	// inLine stands for a line that is not empty, lineBegins for one of which nothing was seen, and lineReturns for one of
	// which only a carriage return was seen.
	inLine lineState = iota
	lineBegins
	lineReturns
)

// split returns how many of the bytes that were just read the server gets, and whether a head ends with them. It keeps the
// others.
func (a *arrivals) split(b []byte) (n int, headEnds bool) {
	a.received += int64(len(b))
	n, headEnds = a.next(b)
	a.ahead = append(a.ahead, b[n:]...)
	return n, headEnds
}

// take moves bytes that were read ahead to b.
func (a *arrivals) take(b []byte) (n int, headEnds bool) {
	n, headEnds = a.next(b[:copy(b, a.ahead)])
	a.ahead = a.ahead[n:]
	if len(a.ahead) == 0 {
		a.ahead = nil
	}
	return n, headEnds
}

// next returns the length of the bytes up to the end of the body or head that they belong to, and whether it is a head.
func (a *arrivals) next(b []byte) (n int, headEnds bool) {
	if a.body > 0 {
		n = int(min(a.body, int64(len(b))))
		a.body -= int64(n)
		return n, false
	}
	return scan(b, &a.line)
}

// scan returns the length of the bytes up to the end of the first head, and whether there is one.
func scan(b []byte, line *lineState) (n int, headEnds bool) {
	for i := 0; i < len(b); i++ {
		if *line == inLine {
			end := bytes.IndexByte(b[i:], '\n')
			if end < 0 {
				return len(b), false
			}
			i += end
			*line = lineBegins
			continue
		}
		switch {
		case b[i] == '\n':
			*line = inLine
			return i + 1, true
		case b[i] == '\r' && *line == lineBegins:
			*line = lineReturns
		default:
			*line = inLine
		}
	}
	return len(b), false
}

// awaited reports whether a request that the server has not got yet is to be answered though the process leaves: it had
// begun to arrive before, or was read whole since.
func (a *arrivals) awaited() bool {
	given := a.received - int64(len(a.ahead))
	if given < a.due {
		return true
	}
	var line lineState
	_, complete := scan(a.ahead, &line)
	return complete
}
