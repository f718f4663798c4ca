// Package authorizer authenticates operators by bearer token and checks their roles. It returns the operator's
// name or a coded error. Only hashes of tokens are stored, never the tokens.
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
	// BootstrapName is the actor in the audit trail for changes made with the bootstrap token of the settings.
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
		// BootstrapHash is the lower-case hex SHA-256 of a token that may only read, and create operators, for
		// the first start of an installation. If it is empty, there is no such token.
		BootstrapHash string
	}

	// Authorizer authenticates and authorizes operators. It is safe for concurrent use.
	Authorizer struct {
		config Config
	}
)

// New returns an Authorizer.
func New(c Config) *Authorizer {
	return &Authorizer{config: c}
}

// Authorize returns the name of the operator whose token is in the Authorization header, if the operator has at
// least one of the roles.
func (a *Authorizer) Authorize(header string, roles ...pb.Role) (string, error) {
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || token == "" {
		return "", coder.New(pb.ResultCode_RESULT_CODE_UNAUTHENTICATED, "no bearer token")
	}
	if a.isBootstrap(token) {
		return authorizeBootstrap(roles)
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

// AuthorizeCreateOperator returns the actor if it may create operators: the bootstrap token, or an operator with the
// operator role.
func (a *Authorizer) AuthorizeCreateOperator(header string) (string, error) {
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if ok && a.isBootstrap(token) {
		return BootstrapName, nil
	}
	return a.Authorize(header, pb.Role_ROLE_OPERATOR)
}

// authorizeBootstrap gives the bootstrap token the viewer role.
func authorizeBootstrap(roles []pb.Role) (string, error) {
	if slices.Contains(roles, pb.Role_ROLE_VIEWER) {
		return BootstrapName, nil
	}
	return "", coder.New(pb.ResultCode_RESULT_CODE_ROLE_MISSING,
		"the bootstrap token may only read and create operators")
}

func (a *Authorizer) isBootstrap(token string) bool {
	if a.config.BootstrapHash == "" {
		return false
	}
	hash := indexer.HashCredential(token)
	return subtle.ConstantTimeCompare([]byte(hash), []byte(a.config.BootstrapHash)) == 1
}
