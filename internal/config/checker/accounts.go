package checker

import (
	"slices"
	"strings"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	// reservedOperatorName is the name of the actor in the audit trail for changes made with the bootstrap token.
	reservedOperatorName = "bootstrap"
)

func (k *Checker) checkClass(r *fieldReport, c *pb.Class) {
	k.checkName(r, "name", c.GetName())
	k.checkName(r, "service", c.GetService())
	if c.GetKind() == pb.RequestKind_REQUEST_KIND_UNSPECIFIED || pb.RequestKind_name[int32(c.GetKind())] == "" {
		r.add("kind", "must be REQUEST_KIND_IDEMPOTENT or REQUEST_KIND_NON_IDEMPOTENT")
	}
	r.checkPositive("worth", c.GetWorth())
	r.checkDuration("lateness", c.GetLateness())
	if d := c.GetFullWorthUntil(); d != nil &&
		(!d.IsValid() || d.AsDuration() < 0 || d.AsDuration() > c.GetLateness().AsDuration()) {
		r.add("full_worth_until", "must be from 0 to lateness (%v), not %v", c.GetLateness().AsDuration(), d.AsDuration())
	}
	r.checkPositive("coverage_exponent", c.GetCoverageExponent())
	r.checkShare("coverage_floor", c.GetCoverageFloor())
}

func (k *Checker) checkCaller(r *fieldReport, c *pb.Caller) {
	k.checkName(r, "name", c.GetName())
	k.checkHash(r, "credential_hash", c.GetCredentialHash())
	seen := map[string]bool{}
	for i, name := range c.GetClasses() {
		if service, class, ok := strings.Cut(name, "/"); !ok ||
			!k.nameRegexp.MatchString(service) || !k.nameRegexp.MatchString(class) {
			r.add(elementPath("classes", i, ""), "must be service/class, not %q", name)
		}
		checkUnique(r, seen, elementPath("classes", i, ""), name)
	}
}

func (k *Checker) checkOperator(r *fieldReport, o *pb.Operator) {
	k.checkName(r, "name", o.GetName())
	if o.GetName() == reservedOperatorName {
		r.add("name", "%q is reserved", reservedOperatorName)
	}
	k.checkHash(r, "credential_hash", o.GetCredentialHash())
	if len(o.GetRoles()) == 0 {
		r.add("roles", "must name at least one")
	}
	seen := map[pb.Role]bool{}
	for i, role := range o.GetRoles() {
		if role == pb.Role_ROLE_UNSPECIFIED || pb.Role_name[int32(role)] == "" || seen[role] {
			r.add(elementPath("roles", i, ""), "must be ROLE_OPERATOR, ROLE_DIRECTOR or ROLE_VIEWER, each once")
		}
		seen[role] = true
	}
	if o.GetWakeAddress() != "" || seen[pb.Role_ROLE_DIRECTOR] {
		r.checkURL("wake_address", o.GetWakeAddress())
	}
}

func (k *Checker) checkCallerReferences(r *fieldReport, c *pb.Caller) {
	for i, name := range c.GetClasses() {
		k.checkExists(r, elementPath("classes", i, ""), classKey(name))
	}
	for _, key := range k.keys {
		other := k.objects[key].GetCaller()
		if other.GetName() != c.GetName() && other.GetCredentialHash() == c.GetCredentialHash() {
			r.add("credential_hash", "caller %s has the same credential", other.GetName())
		}
	}
}

func (k *Checker) checkOperatorReferences(r *fieldReport, o *pb.Operator) {
	for _, key := range k.keys {
		other := k.objects[key].GetOperator()
		if other.GetName() != o.GetName() && other.GetCredentialHash() == o.GetCredentialHash() {
			r.add("credential_hash", "operator %s has the same credential", other.GetName())
		}
	}
	if slices.Contains(o.GetRoles(), pb.Role_ROLE_DIRECTOR) {
		return
	}
	for _, referrer := range k.Referrers(keyer.Join(keyer.KindOperator, o.GetName())) {
		r.add("roles", "must have ROLE_DIRECTOR, because %s names the operator as director", referrer)
	}
}
