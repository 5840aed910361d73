package closer

import "bytes"

// headEnd ends the head of an HTTP/1 request.
const headEnd = "\r\n\r\n"

// arrivals are the bytes that arrive on a connection of HTTP/1. The server gets them up to the end of a head at a time, so
// that it is known which requests behind the one that it handles have been read.
type arrivals struct {
	// ahead was read and not given to the server yet.
	ahead []byte
	// matched is how many bytes of headEnd the bytes that were given to the server end with.
	matched int
	// received is the number of bytes that were read.
	received int64
	// leaving is set once the process leaves, and due is then how many bytes had arrived by that time.
	leaving bool
	due     int64
}

// split returns how many of the bytes that were just read the server gets, and keeps the others.
func (a *arrivals) split(b []byte) int {
	a.received += int64(len(b))
	end := a.scan(b)
	a.ahead = append(a.ahead, b[end:]...)
	return end
}

// take moves bytes that were read ahead to b.
func (a *arrivals) take(b []byte) int {
	n := a.scan(b[:copy(b, a.ahead)])
	a.ahead = a.ahead[n:]
	if len(a.ahead) == 0 {
		a.ahead = nil
	}
	return n
}

// scan returns the length of the bytes up to the end of the first head.
func (a *arrivals) scan(b []byte) int {
	for i := 0; i < len(b); i++ {
		if a.matched == 0 {
			next := bytes.IndexByte(b[i:], headEnd[0])
			if next < 0 {
				return len(b)
			}
			i += next
		}
		switch b[i] {
		case headEnd[a.matched]:
			a.matched++
		case headEnd[0]:
			a.matched = 1
		default:
			a.matched = 0
		}
		if a.matched == len(headEnd) {
			a.matched = 0
			return i + 1
		}
	}
	return len(b)
}

// awaited reports whether a request that the server has not got yet is to be answered though the process leaves: it had
// begun to arrive before, or was read whole since.
func (a *arrivals) awaited() bool {
	given := a.received - int64(len(a.ahead))
	return given < a.due || bytes.Contains(a.ahead, []byte(headEnd))
}
