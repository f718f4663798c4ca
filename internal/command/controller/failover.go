package controller

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout = 2 * time.Second
	nodeTimeout = 15 * time.Second
)

type (
	// failover takes each request to the first node that answers. A repeat at another node is safe:
	// reads change nothing, and a change is known by its change id.
	failover struct {
		nodes  []string
		scheme string
		http   *http.Transport
		// lost is set when a node before the one that answered last may have got the request.
		lost bool
	}

	// unansweredError says that no node answered.
	unansweredError struct {
		cause error
		// sent is set once a node may have got the request.
		sent bool
	}
)

func newFailover(nodes []string, caFile string) (*failover, error) {
	f := &failover{nodes: nodes, scheme: "http", http: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}
	if caFile == "" {
		return f, nil
	}
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read --ca-file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Newf("--ca-file %s holds no PEM certificate", caFile)
	}
	f.scheme = "https"
	f.http.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return f, nil
}

func (f *failover) baseURL() string {
	return f.scheme + "://" + f.nodes[0]
}

// RoundTrip implements http.RoundTripper.
func (f *failover) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return nil, errors.Wrap(err, "read request")
	}
	failure := &unansweredError{}
	for _, node := range f.nodes {
		response, err := f.try(r, node, body)
		if err == nil {
			f.lost = failure.sent
			return response, nil
		}
		failure.cause = errors.Wrap(err, node)
		failure.sent = failure.sent || !isDial(err)
	}
	return nil, failure
}

// try makes the call at one node and reads the whole answer, within nodeTimeout.
func (f *failover) try(r *http.Request, node string, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(r.Context(), nodeTimeout)
	defer cancel()
	attempt := r.Clone(ctx)
	attempt.URL.Host, attempt.Host = node, node
	attempt.Body = io.NopCloser(bytes.NewReader(body))
	attempt.ContentLength = int64(len(body))
	response, err := f.http.RoundTrip(attempt)
	if err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(answer))
	return response, nil
}

// lostAnswer tells whether a node before the one that answered last may have got the request.
func (f *failover) lostAnswer() bool {
	return f.lost
}

func isDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// neverSent tells whether no node can have got the request.
func neverSent(err error) bool {
	var failure *unansweredError
	return errors.As(err, &failure) && !failure.sent
}

// Error implements error.
func (e *unansweredError) Error() string {
	return e.cause.Error()
}
