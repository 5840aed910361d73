package pooler

import "time"

// roundTrip writes the request and reads its answer. A target may answer before it has read a whole request, and close the
// connection or read no more: its answer may have arrived though the rest of the request can't be sent.
func (c *conn) roundTrip(r *Request, encoded []byte, held *buffers) (*Answer, Outcome, error) {
	c.unsent.Store(true)
	if len(encoded) > bufferSize {
		return c.roundTripLarge(r, encoded, held)
	}
	n, err := c.Write(encoded)
	if err == nil {
		c.unsent.Store(false)
	}
	return c.conclude(r, held, written{n, err})
}

// written is the result of writing a request.
type written struct {
	n   int
	err error
}

// roundTripLarge reads the answer while the request is written, as the target may stop reading at any moment.
func (c *conn) roundTripLarge(r *Request, encoded []byte, held *buffers) (*Answer, Outcome, error) {
	done := make(chan written, 1)
	go func() {
		n, err := c.Write(encoded)
		c.unsent.Store(err != nil)
		done <- written{n, err}
	}()
	if _, err := c.reader.Peek(1); err != nil {
		return c.conclude(r, held, <-done)
	}
	answer, outcome, err := c.await(r, held)
	select {
	case w := <-done:
		return answer, outcome, prefer(err, w.err)
	default:
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // the rest of the request is of no use
	<-done
	return answer, outcome, err
}

// conclude reads the answer to a request that was written as far as possible.
func (c *conn) conclude(r *Request, held *buffers, w written) (*Answer, Outcome, error) {
	if w.n == 0 && w.err != nil && c.fresh {
		return nil, Unsent, w.err
	}
	answer, outcome, err := c.await(r, held)
	return answer, outcome, prefer(err, w.err)
}

// prefer returns the error of writing in place of that of reading, which follows from it.
func prefer(reading, writing error) error {
	if reading != nil && writing != nil {
		return writing
	}
	return reading
}
