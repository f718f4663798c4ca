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
	wakeTimeout         = 3 * time.Second
	operatorReadTimeout = 30 * time.Second
	idleTimeout         = time.Minute
	maxHeaderBytes      = 16 << 10 // 16 KiB
	// connectionsPerRequest is how many connections of callers are open at most for each request that may
	// be in progress.
	connectionsPerRequest = 4
)

// assembleOperatorSide builds what serves operators.
func (n *Node) assembleOperatorSide() {
	changes := applier.New(applier.Config{Store: n.config.Store, Keeper: n.keeper, Clock: n.config.Clock})
	n.operator = operatorserver.New(operatorserver.Config{
		Authorizer: authorizer.New(authorizer.Config{
			Source: n.keeper, BootstrapHash: n.config.Settings.GetBootstrapCredentialHash(),
		}),
		Applier: changes, Store: n.config.Store, Keeper: n.keeper, Status: n, Clock: n.config.Clock,
		Logger: n.config.Logger,
	})
	n.pager = pager.New(pager.Config{
		NodeName: n.config.Settings.GetNodeName(), Source: n.keeper, View: n.prober, Messenger: n.messenger,
		Demand: n.tallier, Grants: n.admitter, Applier: changes, Poster: &http.Client{Timeout: wakeTimeout},
		Clock: n.config.Clock, Logger: n.config.Logger, Metrics: n.metrics,
	})
}

// guarded returns the handler with a guard against panics around it.
func (n *Node) guarded(h http.Handler) http.Handler {
	return recoverer.New(recoverer.Config{Handler: h, Logger: n.config.Logger, Metrics: n.metrics})
}

// callerServer returns the server of the callers' side; operatorServer that of the operators' side.
func (n *Node) callerServer(h http.Handler) *http.Server {
	return n.httpServer(n.config.Settings.GetCallerAddress(), n.closeWhenStopping(n.guarded(h)))
}

func (n *Node) operatorServer(h http.Handler) *http.Server {
	s := n.httpServer(n.config.Settings.GetOperatorAddress(), n.guarded(h))
	s.ReadTimeout = operatorReadTimeout
	return s
}

// listenAndServe serves callers or operators, over TLS where the settings name a certificate. Connections
// beyond the bound wait in the kernel.
func (n *Node) listenAndServe(s *http.Server) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Addr)
	if err != nil {
		return err
	}
	most := connectionsPerRequest * int(n.config.Settings.GetCallerLimits().GetMaxInProgress())
	listener = netutil.LimitListener(listener, max(1, most))
	tls := n.config.Settings.GetTls()
	if tls == nil {
		return s.Serve(listener)
	}
	return s.ServeTLS(listener, tls.GetCertificateFile(), tls.GetKeyFile())
}
