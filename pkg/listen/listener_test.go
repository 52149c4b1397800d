package listen_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/redwingstall/redwingstall/pkg/common"
	"github.com/redwingstall/redwingstall/pkg/listen"
	"github.com/redwingstall/redwingstall/pkg/peer"
	"github.com/redwingstall/redwingstall/pkg/settings"
)

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "authority.pem")
	writePEM(t, file, "CERTIFICATE", der)
	return &authority{certificate, key, file}
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue writes a certificate that expires at notAfter, and its key.
func (a *authority) issue(t *testing.T, notAfter time.Time) settings.CertificateFiles {
	dir := t.TempDir()
	files := settings.CertificateFiles{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: a.file,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: notAfter.Add(-2 * time.Hour), NotAfter: notAfter,
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	return files
}

func client(t *testing.T, files settings.CertificateFiles) *peer.Clients {
	certificates, err := listen.NewCertificates(files)
	require.NoError(t, err)
	return peer.NewClients(certificates.ClientTLSConfig())
}

// A peer listener with an authority must reject clients without a valid certificate
// that this authority signed, and count the failed handshake.
func TestPeersMustPresentValidCertificates(t *testing.T) {
	trustedAuthority, otherAuthority := newAuthority(t), newAuthority(t)
	expiry := time.Now().Add(time.Hour)
	certificates, err := listen.NewCertificates(trustedAuthority.issue(t, expiry))
	require.NoError(t, err)
	c := &common.Common{Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Settings: settings.Default()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	version := make(chan string, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		version <- r.Proto
		w.Header().Set("Content-Type", "application/proto")
	})
	server, err := listen.NewServer(c, "peers", address, handler, certificates.ServerConfig())
	require.NoError(t, err)
	defer server.Close(context.Background())

	_, err = client(t, trustedAuthority.issue(t, expiry)).ClientFor(address).Fetch(t.Context())
	require.NoError(t, err)
	require.Equal(t, "HTTP/2.0", <-version)

	for name, files := range map[string]settings.CertificateFiles{
		"expired": trustedAuthority.issue(t, time.Now().Add(-time.Minute)),
		"another authority": func() settings.CertificateFiles {
			f := otherAuthority.issue(t, expiry)
			f.Authority = trustedAuthority.file
			return f
		}(),
		"none": {Authority: trustedAuthority.file},
	} {
		t.Run(name, func(t *testing.T) {
			before := metrics.GetOrRegisterCounter("listeners.peers.faults", c.Metrics).Count()
			if files.Certificate == "" {
				files = settings.CertificateFiles{}
			}
			_, err := client(t, files).ClientFor(address).Fetch(t.Context())
			require.Error(t, err)
			require.Eventually(t, func() bool {
				return metrics.GetOrRegisterCounter("listeners.peers.faults", c.Metrics).Count() > before
			}, time.Minute, time.Millisecond)
		})
	}
}

// A renewed certificate must be used without a restart.
func TestCertificatesAreReloadedWhenFilesChange(t *testing.T) {
	signer := newAuthority(t)
	files := signer.issue(t, time.Now().Add(time.Hour))
	certificates, err := listen.NewCertificates(files)
	require.NoError(t, err)
	serial := func() string {
		config, err := certificates.ServerConfig().GetConfigForClient(nil)
		require.NoError(t, err)
		return config.Certificates[0].Leaf.SerialNumber.String()
	}
	before := serial()
	next := signer.issue(t, time.Now().Add(time.Hour))
	for from, to := range map[string]string{next.Certificate: files.Certificate, next.Key: files.Key} {
		require.NoError(t, os.Rename(from, to))
		later := time.Now().Add(time.Minute)
		require.NoError(t, os.Chtimes(to, later, later))
	}
	require.Eventually(t, func() bool { return serial() != before }, time.Minute, 10*time.Millisecond)
}

// A client that sends its header slowly, a header above the size limit, or a request
// with ambiguous framing must not reach the handler.
func TestSlowOversizedAndMalformedRequestsDoNotReachTheHandler(t *testing.T) {
	s := settings.Default()
	s.Limits.HeaderReadTimeout = 50 * time.Millisecond
	c := &common.Common{Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Settings: s}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	server, err := listen.NewServer(c, "callers", address, http.NotFoundHandler(), nil)
	require.NoError(t, err)
	defer server.Close(context.Background())
	for name, text := range map[string]string{
		"slow":       "GET / HTTP/1.1\r\nHost: x\r\n",
		"huge":       "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 1<<20) + "\r\n\r\n",
		"smuggling":  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked, identity\r\n\r\nabc",
		"two hosts":  "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
		"bad length": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer conn.Close()
			_, _ = conn.Write([]byte(text))
			response := make([]byte, 1<<10)
			n, _ := conn.Read(response)
			require.NotContains(t, string(response[:n]), " 404 ", "the request must not reach the handler")
		})
	}
}
