package securer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeCertificate writes a self-signed certificate with a serial number, and its key.
func writeCertificate(t *testing.T, folder string, serial int64) Files {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	encoded, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	f := Files{
		Certificate: filepath.Join(folder, "c.pem"), Key: filepath.Join(folder, "k.pem"),
		Authority: filepath.Join(folder, "c.pem"),
	}
	is.NoErr(os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}), 0o600))
	is.NoErr(os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	return f
}

// serve starts a server, which runs until the test ends, and returns its address.
func serve(t *testing.T, k *Keys) string {
	t.Helper()
	is := is.New(t)
	config, err := k.ServerConfig()
	is.NoErr(err)
	l, err := tls.Listen("tcp", "127.0.0.1:0", config)
	is.NoErr(err)
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// peerSerial connects to the server and returns the serial number of its certificate.
func peerSerial(t *testing.T, address string, k *Keys) int64 {
	t.Helper()
	is := is.New(t)
	config, err := k.ClientConfig()
	is.NoErr(err)
	conn, err := tls.Dial("tcp", address, config)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestChangedCertificateIsReloaded(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	server := &Keys{Files: writeCertificate(t, folder, 1)}
	s := serve(t, server)
	is.Equal(peerSerial(t, s, &Keys{Files: server.Files}), int64(1))
	writeCertificate(t, folder, 2)
	later := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(server.Files.Certificate, later, later))
	is.Equal(peerSerial(t, s, &Keys{Files: server.Files}), int64(2)) // the server was not restarted
}

// A process without a certificate of the authority connects. If it were accepted, it could claim to be an entry
// instance and take other instances' shares.
func TestClientWithoutCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	s := serve(t, &Keys{Files: writeCertificate(t, t.TempDir(), 1)})
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, //nolint:gosec // the client accepts any certificate
	}}
	response, err := client.Get("https://" + s)
	if err == nil {
		_ = response.Body.Close()
	}
	is.True(err != nil)
}

func TestCheckReportsMissingFiles(t *testing.T) {
	is := is.New(t)
	k := &Keys{Files: Files{Certificate: "/nonexistent", Key: "/nonexistent"}}
	is.True(k.Check() != nil)
	is.NoErr((&Keys{}).Check())
}
