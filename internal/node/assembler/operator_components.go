package assembler

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"github.com/magnoliastep/magnoliastep/internal/invariant/recoverer"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/operator/authorizer"
	"github.com/magnoliastep/magnoliastep/internal/operator/pager"
	operatorserver "github.com/magnoliastep/magnoliastep/internal/operator/server"
)

const (
	pagePostTimeout     = 3 * time.Second
	operatorReadTimeout = 30 * time.Second
	idleTimeout         = time.Minute
	maxHeaderBytes      = 16 << 10 // 16 KiB
	// maxConnectionsPerRequest bounds the open connections of a server, for each request that the settings allow
	// to be in progress.
	maxConnectionsPerRequest = 4
)

// assembleOperatorSide constructs the operators' server and the pager.
func (n *Node) assembleOperatorSide() {
	configApplier := applier.New(applier.Config{Store: n.config.Store, Keeper: n.keeper, Clock: n.config.Clock})
	n.operator = operatorserver.New(operatorserver.Config{
		Authorizer: authorizer.New(authorizer.Config{
			Source: n.keeper, BootstrapHash: n.config.Settings.GetBootstrapCredentialHash(),
		}),
		Applier: configApplier, Store: n.config.Store, Keeper: n.keeper, Status: n, Clock: n.config.Clock,
		Logger: n.config.Logger,
	})
	n.pager = pager.New(pager.Config{
		NodeName: n.config.Settings.GetNodeName(), Source: n.keeper, View: n.prober, Messenger: n.messenger,
		Demand: n.tallier, Grants: n.admitter, Applier: configApplier, HTTPClient: &http.Client{Timeout: pagePostTimeout},
		Clock: n.config.Clock, Logger: n.config.Logger, Metrics: n.metrics,
	})
}

// withPanicRecovery wraps the handler so that a panic in one request does not end the node.
func (n *Node) withPanicRecovery(h http.Handler) http.Handler {
	return recoverer.New(recoverer.Config{Handler: h, Logger: n.config.Logger, Metrics: n.metrics})
}

// callerServer returns the HTTP server for callers.
func (n *Node) callerServer(h http.Handler) *http.Server {
	return n.httpServer(n.config.Settings.GetCallerAddress(), n.closeWhenStopping(n.withPanicRecovery(h)))
}

// operatorServer returns the HTTP server for operators.
func (n *Node) operatorServer(h http.Handler) *http.Server {
	s := n.httpServer(n.config.Settings.GetOperatorAddress(), n.withPanicRecovery(h))
	s.ReadTimeout = operatorReadTimeout
	return s
}

// listenAndServe serves callers or operators, over TLS if the settings name a certificate. Connections beyond
// the limit wait in the kernel's accept queue.
func (n *Node) listenAndServe(s *http.Server) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Addr)
	if err != nil {
		return err
	}
	maxConnections := maxConnectionsPerRequest * int(n.config.Settings.GetCallerLimits().GetMaxInProgress())
	listener = netutil.LimitListener(listener, max(1, maxConnections))
	tls := n.config.Settings.GetTls()
	if tls == nil {
		return s.Serve(listener)
	}
	return s.ServeTLS(listener, tls.GetCertificateFile(), tls.GetKeyFile())
}
