// Package securer makes TLS configurations that reload their certificates when the files change.
package securer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files holds the paths of the PEM files of one side of a connection. An empty Certificate means no TLS.
type Files struct {
	Certificate string
	Key         string
	// Authority is the file of the certificates that verify the other side; on a listener it makes client certificates
	// mandatory.
	Authority string
}

// Enabled reports whether TLS is used.
func (f Files) Enabled() bool { return f.Certificate != "" }

// Keys holds a certificate with its key and reloads them when the certificate file changes. It is safe for concurrent
// use once Files is set.
type Keys struct {
	Files Files

	mu     sync.Mutex
	loaded *tls.Certificate
	// modified is the modification time of the loaded certificate file.
	modified time.Time
}

// Check reads all files once, so that a wrong path is reported before the program starts. The error is a *FileError.
func (k *Keys) Check() error {
	if !k.Files.Enabled() {
		return nil
	}
	if _, err := k.certificate(); err != nil {
		return err
	}
	_, err := k.authorities()
	return err
}

// certificate returns the certificate on disk. Until a changed pair of files can be read, the former certificate stays
// in use: connections must not fail while a renewal has written only one of the two files.
func (k *Keys) certificate() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	info, err := os.Stat(k.Files.Certificate)
	if err == nil && k.loaded != nil && info.ModTime().Equal(k.modified) {
		return k.loaded, nil
	}
	keyPair, loadErr := tls.LoadX509KeyPair(k.Files.Certificate, k.Files.Key)
	if loadErr != nil {
		if k.loaded != nil {
			return k.loaded, nil
		}
		return nil, &FileError{Path: k.Files.Certificate, Cause: loadErr}
	}
	k.loaded = &keyPair
	if err == nil {
		k.modified = info.ModTime()
	}
	return k.loaded, nil
}

// authorities returns the certificates that verify the other side, or nil if none are set.
func (k *Keys) authorities() (*x509.CertPool, error) {
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
	pool, err := k.authorities()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.certificate()
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
	pool, err := k.authorities()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.certificate()
		},
	}, nil
}

// FileError reports a certificate file that could not be used.
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
