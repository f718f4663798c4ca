package assembler

import (
	"net/http"

	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/operator/authorizer"
	operatorserver "github.com/magnoliastep/magnoliastep/internal/operator/server"
)

// assembleOperatorSide builds what serves operators.
func (n *Node) assembleOperatorSide() {
	n.operator = operatorserver.New(operatorserver.Config{
		Authorizer: authorizer.New(authorizer.Config{
			Source: n.keeper, BootstrapHash: n.config.Settings.GetBootstrapCredentialHash(),
		}),
		Applier: applier.New(applier.Config{Store: n.config.Store, Keeper: n.keeper, Clock: n.config.Clock}),
		Store:   n.config.Store, Keeper: n.keeper, Status: n, Logger: n.config.Logger,
	})
}

// listenAndServe serves callers or operators, over TLS where the settings name a certificate.
func (n *Node) listenAndServe(s *http.Server) error {
	tls := n.config.Settings.GetTls()
	if tls == nil {
		return s.ListenAndServe()
	}
	return s.ListenAndServeTLS(tls.GetCertificateFile(), tls.GetKeyFile())
}
