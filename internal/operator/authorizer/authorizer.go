// Package authorizer decides who an operator is and what the operator may do. A bearer token flows in,
// the operator's name flows out, or a coded error. Tokens are never stored, only their hashes.
package authorizer

import (
	"crypto/subtle"
	"slices"
	"strings"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	// BootstrapName is the actor that the audit trail shows for the settings' bootstrap token.
	BootstrapName = "bootstrap"

	bearerPrefix = "Bearer "
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Config holds what an Authorizer needs.
	Config struct {
		Source ConfigSource
		// BootstrapHash is the lower-case hex SHA-256 of a token that may do everything but agree to
		// refusals. Empty means that there is none.
		BootstrapHash string
	}

	// Authorizer checks operators. It is safe for concurrent use.
	Authorizer struct {
		config Config
	}
)

// New returns an Authorizer.
func New(c Config) *Authorizer {
	return &Authorizer{config: c}
}

// Authorize returns the name of the operator whose token is in the Authorization header, if the
// operator has one of the roles.
func (a *Authorizer) Authorize(header string, roles ...pb.Role) (string, error) {
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || token == "" {
		return "", coder.New(pb.ResultCode_RESULT_CODE_UNAUTHENTICATED, "no bearer token")
	}
	if a.isBootstrap(token) && !slices.Equal(roles, []pb.Role{pb.Role_ROLE_DIRECTOR}) {
		return BootstrapName, nil
	}
	o := a.config.Source.Index().OperatorByCredential(token)
	if o == nil {
		return "", coder.New(pb.ResultCode_RESULT_CODE_UNAUTHENTICATED, "no operator has this token")
	}
	for _, r := range roles {
		if slices.Contains(o.GetRoles(), r) {
			return o.GetName(), nil
		}
	}
	return "", coder.New(pb.ResultCode_RESULT_CODE_ROLE_MISSING,
		"operator %q has none of the roles %v", o.GetName(), roles)
}

func (a *Authorizer) isBootstrap(token string) bool {
	if a.config.BootstrapHash == "" {
		return false
	}
	hash := indexer.HashCredential(token)
	return subtle.ConstantTimeCompare([]byte(hash), []byte(a.config.BootstrapHash)) == 1
}
