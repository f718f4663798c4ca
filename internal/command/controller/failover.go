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
	dialTimeout    = 2 * time.Second
	perNodeTimeout = 15 * time.Second
)

type (
	// failoverTransport sends each request to the nodes in turn until one answers. Sending it again to another
	// node is safe: reads change nothing, and nodes recognise a repeated change by its change id.
	failoverTransport struct {
		nodes     []string
		scheme    string
		transport *http.Transport
		// answerLost is set when another node may have received the last request before one answered it.
		answerLost bool
	}

	// unansweredError means that no node answered.
	unansweredError struct {
		cause error
		// maybeSent is set once a node may have received the request.
		maybeSent bool
	}
)

func newFailoverTransport(nodes []string, caFile string) (*failoverTransport, error) {
	f := &failoverTransport{nodes: nodes, scheme: "http", transport: &http.Transport{
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
	f.transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return f, nil
}

func (f *failoverTransport) baseURL() string {
	return f.scheme + "://" + f.nodes[0]
}

// RoundTrip implements http.RoundTripper.
func (f *failoverTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return nil, errors.Wrap(err, "read request")
	}
	failure := &unansweredError{}
	for _, node := range f.nodes {
		response, err := f.callNode(r, node, body)
		if err == nil {
			f.answerLost = failure.maybeSent
			return response, nil
		}
		failure.cause = errors.Wrap(err, node)
		failure.maybeSent = failure.maybeSent || !isDialError(err)
	}
	return nil, failure
}

// callNode sends the request to one node and reads the whole answer within perNodeTimeout.
func (f *failoverTransport) callNode(r *http.Request, node string, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(r.Context(), perNodeTimeout)
	defer cancel()
	attempt := r.Clone(ctx)
	attempt.URL.Host, attempt.Host = node, node
	attempt.Body = io.NopCloser(bytes.NewReader(body))
	attempt.ContentLength = int64(len(body))
	response, err := f.transport.RoundTrip(attempt)
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

// mayHaveLostAnswer reports whether another node may have received the last request before one answered it.
func (f *failoverTransport) mayHaveLostAnswer() bool {
	return f.answerLost
}

// isDialError reports whether the connection failed, so that the node cannot have received the request.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// neverSent reports whether no node can have received the request.
func neverSent(err error) bool {
	var failure *unansweredError
	return errors.As(err, &failure) && !failure.maybeSent
}

// Error implements error.
func (e *unansweredError) Error() string {
	return e.cause.Error()
}
