// Package securer makes TLS configurations whose certificates are read again when their files change.
package securer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files names the PEM files of one side. An empty Certificate means no TLS.
type Files struct {
	Certificate string
	Key         string
	// Authority verifies the other side; on a listener it makes client certificates mandatory.
	Authority string
}

// Enabled reports whether TLS is set.
func (f Files) Enabled() bool { return f.Certificate != "" }

// Keys holds a certificate that follows its files.
type Keys struct {
	Files Files

	mu     sync.Mutex
	loaded *tls.Certificate
	stamp  time.Time
}

// Check reads all files once, so that a wrong path is found before start.
func (k *Keys) Check() error {
	if !k.Files.Enabled() {
		return nil
	}
	if _, err := k.current(); err != nil {
		return err
	}
	_, err := k.pool()
	return err
}

// current returns the certificate on disk. Until a changed pair can be read whole the former one stays
// in use: a renewal that writes two files must not refuse callers in between.
func (k *Keys) current() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	info, err := os.Stat(k.Files.Certificate)
	if err == nil && k.loaded != nil && info.ModTime().Equal(k.stamp) {
		return k.loaded, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(k.Files.Certificate, k.Files.Key)
	if loadErr != nil {
		if k.loaded != nil {
			return k.loaded, nil
		}
		return nil, &FileError{Path: k.Files.Certificate, Cause: loadErr}
	}
	k.loaded = &pair
	if err == nil {
		k.stamp = info.ModTime()
	}
	return k.loaded, nil
}

func (k *Keys) pool() (*x509.CertPool, error) {
	if k.Files.Authority == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(k.Files.Authority)
	if err != nil {
		return nil, &FileError{Path: k.Files.Authority, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &FileError{Path: k.Files.Authority, Cause: errNoCertificate{}}
	}
	return pool, nil
}

// ServerConfig returns a listener's configuration, or nil without TLS.
func (k *Keys) ServerConfig() (*tls.Config, error) {
	if !k.Files.Enabled() {
		return nil, nil
	}
	if err := k.Check(); err != nil {
		return nil, err
	}
	pool, err := k.pool()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current()
		},
	}
	if pool != nil {
		config.ClientCAs = pool
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig returns the configuration for calls to other processes, or nil without TLS.
func (k *Keys) ClientConfig() (*tls.Config, error) {
	if !k.Files.Enabled() {
		return nil, nil
	}
	if err := k.Check(); err != nil {
		return nil, err
	}
	pool, err := k.pool()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current()
		},
	}, nil
}

// FileError says which certificate file could not be used.
type FileError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("read certificate %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

type errNoCertificate struct{}

func (errNoCertificate) Error() string { return "no certificate in the file" }
