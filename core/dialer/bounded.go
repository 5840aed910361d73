package dialer

import "net/http"

// MaxResponse is the size of the largest response between processes in bytes, as it is sent. The largest that is read holds
// the state of all targets.
const MaxResponse = 64 << 20

// boundedTransport bounds the bodies of responses. At the address of a process that has ended, another may send bytes
// without end, and whoever reads them would be killed for its memory.
type boundedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. Reading a body beyond MaxResponse returns an *http.MaxBytesError.
func (b boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := b.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, MaxResponse)
	return response, nil
}
