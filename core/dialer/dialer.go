// Package dialer makes HTTP clients for calls between the system's own processes.
package dialer

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"chervilrail.example/core/resetter"
	"chervilrail.example/core/securer"
)

const (
	// SilenceTimeout is how long a connection may receive nothing and still be trusted with a call. When its state is lost
	// between the two ends, calls on it get no response until the kernel times out, minutes later, and the same has often
	// happened to all connections that were open then: a caller that turns to another process would wait again and again.
	SilenceTimeout = 1200 * time.Millisecond
	// http2IdleTimeout is how long an idle HTTP/2 connection is kept. Its pings show that it works.
	http2IdleTimeout = 90 * time.Second
	// dialTimeout bounds the opening of a connection. It allows for one lost SYN packet, which is retransmitted after a
	// second.
	dialTimeout    = 1500 * time.Millisecond
	maxIdlePerHost = 16
	// pingAfter is how long an HTTP/2 connection receives nothing before it is pinged, and pingTimeout how long it is then
	// kept without an answer.
	pingAfter   = SilenceTimeout / 2
	pingTimeout = SilenceTimeout - pingAfter
)

// MinCompressedSize is the size in bytes from which a response between processes is compressed. For smaller responses,
// setting up a compressor takes more time than sending the response.
const MinCompressedSize = 4 << 10

// Dialer makes clients for calls to other processes. Set the fields before use.
type Dialer struct {
	// Keys secures the connections by TLS; nil means no TLS.
	Keys *securer.Keys
	// HTTP1Only restricts clients to HTTP/1.1, with one call at a time on a connection. A call that times out then
	// closes its connection, and the next call opens another: a connection whose state was lost between the two ends
	// fails one call, where a shared HTTP/2 connection would fail all calls until its ping times out. There are no pings,
	// so an idle connection is kept for SilenceTimeout only.
	HTTP1Only bool
}

// Client returns a new client with a connection pool of its own. It sets no time-out: each call is bounded by its
// context.
func (d *Dialer) Client() (*http.Client, error) {
	protocols := &http.Protocols{}
	transport := &http.Transport{
		// A call that was cancelled must not run later, when an interrupted network path works again.
		DialContext:         (&resetter.Dialer{Dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}}).DialContext,
		IdleConnTimeout:     d.idleTimeout(),
		MaxIdleConnsPerHost: maxIdlePerHost,
		Protocols:           protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
	protocols.SetHTTP1(d.HTTP1Only)
	if d.Keys != nil && d.Keys.Files.Enabled() {
		config, err := d.Keys.ClientConfig()
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
		protocols.SetHTTP2(!d.HTTP1Only)
	} else {
		protocols.SetUnencryptedHTTP2(!d.HTTP1Only)
	}
	return &http.Client{Transport: boundedTransport{transport}}, nil
}

func (d *Dialer) idleTimeout() time.Duration {
	if d.HTTP1Only {
		return SilenceTimeout
	}
	return http2IdleTimeout
}

// URL returns the base URL of the process at an address.
func (d *Dialer) URL(address netip.AddrPort) string {
	if d.Keys != nil && d.Keys.Files.Enabled() {
		return "https://" + address.String()
	}
	return "http://" + address.String()
}
