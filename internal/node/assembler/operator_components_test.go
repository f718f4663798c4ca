package assembler_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/node/assembler"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
	"github.com/magnoliastep/magnoliastep/internal/settings/checker"
	"github.com/magnoliastep/magnoliastep/internal/settings/filler"
)

const (
	tlsAddress = "127.44.9.1"
)

// writeCertificate writes a self-signed certificate for tlsAddress and returns the settings that name it and
// a pool that trusts it.
func writeCertificate(t *testing.T) (*pb.TLSSettings, *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(tlsAddress)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	files := &pb.TLSSettings{
		CertificateFile: filepath.Join(t.TempDir(), "certificate.pem"), KeyFile: filepath.Join(t.TempDir(), "key.pem"),
	}
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})
	is.NoErr(os.WriteFile(files.GetCertificateFile(), text, 0o600))
	keyText := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyBytes})
	is.NoErr(os.WriteFile(files.GetKeyFile(), keyText, 0o600))
	pool := x509.NewCertPool()
	is.True(pool.AppendCertsFromPEM(text))
	return files, pool
}

func TestNodeServesCallersAndOperatorsOverTLS(t *testing.T) {
	is := is.New(t)
	files, pool := writeCertificate(t)
	settings := &pb.NodeSettings{
		NodeName: "node-1", AvailabilityZone: "a", Region: "r", Tls: files,
		CallerAddress: tlsAddress + ":7400", OperatorAddress: tlsAddress + ":7200", PeerAddress: tlsAddress + ":7300",
		PlatformUrls: []string{"http://" + tlsAddress + ":7999"},
	}
	is.Equal(checker.Check(settings), nil)
	filler.Fill(settings)
	node := assembler.New(assembler.Config{
		Settings: settings, Store: client.New(client.Config{URLs: settings.GetPlatformUrls()}),
		Clock: quartz.NewReal(), Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	caller := &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, DisableKeepAlives: true,
	}}
	is.True(strings.Contains(getUntilAnswered(t, caller, "https://"+settings.GetCallerAddress()+"/healthz"), "NO_CONFIG"))
	getUntilAnswered(t, caller, "https://"+settings.GetOperatorAddress()+"/")
	cancel()
	is.NoErr(<-done)
}

// getUntilAnswered retries the request while the node does not listen yet.
func getUntilAnswered(t *testing.T, c *http.Client, url string) string {
	t.Helper()
	for {
		response, err := c.Get(url)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		is.New(t).NoErr(err)
		return string(text)
	}
}
