// Package dialer makes the HTTP clients for calls between the system's own processes.
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
	dialIdle = 90 * time.Second
	// dialTimeout bounds the opening of a connection; the opening packet may be lost once and is sent again after
	// a second.
	dialTimeout = 1500 * time.Millisecond
	perTarget   = 16
	// probeIdle and probeAnswer close a connection that went silent: without them a flow that something
	// between the two ends forgot would swallow every call until the kernel gives up, minutes later.
	probeIdle   = 2 * time.Second
	probeAnswer = 2 * time.Second
)

// MinCompressedSize is from how many bytes on an answer between processes is compressed. Below it, preparing a compressor
// costs more time than the answer itself.
const MinCompressedSize = 4 << 10

// Dialer makes clients that share one pool. Set Keys before use.
type Dialer struct {
	Keys *securer.Keys
	// HTTP1Only makes one connection carry one call at a time, by HTTP/1.1. A call that gets no answer in time then
	// closes its connection, and the next one opens another: a connection that something in between forgot costs
	// one call, where a shared one would swallow all until its probe fails.
	HTTP1Only bool
}

// Client returns a client for control calls; the caller bounds each call by its context.
func (d *Dialer) Client() (*http.Client, error) {
	protocols := &http.Protocols{}
	transport := &http.Transport{
		// A call that was given up must not run later, when a cut on its way ends.
		DialContext:         (&resetter.Dialer{Dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}}).DialContext,
		IdleConnTimeout:     dialIdle,
		MaxIdleConnsPerHost: perTarget,
		Protocols:           protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: probeIdle,
			PingTimeout:     probeAnswer,
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
	return &http.Client{Transport: transport}, nil
}

// URL returns the base address of a process.
func (d *Dialer) URL(address netip.AddrPort) string {
	if d.Keys != nil && d.Keys.Files.Enabled() {
		return "https://" + address.String()
	}
	return "http://" + address.String()
}
