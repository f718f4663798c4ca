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
		// BootstrapHash is the lower-case hex SHA-256 of a token that may read and create operators, for
		// a first start. Empty means that there is none.
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

// AuthorizeCreateOperator returns the actor who may create operators: an operator, or the bootstrap token.
func (a *Authorizer) AuthorizeCreateOperator(header string) (string, error) {
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if ok && a.isBootstrap(token) {
		return BootstrapName, nil
	}
	return a.Authorize(header, pb.Role_ROLE_OPERATOR)
}

// authorizeBootstrap lets the bootstrap token do what viewers may do.
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
