// Package indexer builds an immutable, typed index of the configuration objects in force. The keeper
// builds a new Index after every change. A request uses one Index from start to end, so it sees one
// consistent configuration.
package indexer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"sort"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Index looks up configuration objects. It is immutable.
	Index struct {
		// The maps from zones to grants contain no tombstones. Their keys are names; those of classes are
		// made by keyer.ClassName.
		zones     map[string]*pb.AvailabilityZone
		services  map[string]*pb.Service
		classes   map[string]*pb.Class
		callers   map[string]*pb.Caller
		operators map[string]*pb.Operator
		grants    map[string]*pb.Grant
		// pages maps the name of a class, as keyer.ClassName returns it, to the newest page of the class.
		pages map[string]*pb.Page
		// leaves maps the name of a leaf to the leaf and its service.
		leaves map[string]LeafEntry
		// leafIPs is the set of the IP addresses of all leaves.
		leafIPs map[string]bool
		// callersByHash and operatorsByHash are keyed by the lower-case hex SHA-256 of the credential.
		callersByHash   map[string]*pb.Caller
		operatorsByHash map[string]*pb.Operator
	}

	// LeafEntry is a leaf and the service that it belongs to.
	LeafEntry struct {
		Service *pb.Service
		Leaf    *pb.Leaf
	}
)

// New returns the Index of the objects.
func New(objects []*pb.ConfigObject) *Index {
	x := &Index{
		zones:           map[string]*pb.AvailabilityZone{},
		services:        map[string]*pb.Service{},
		classes:         map[string]*pb.Class{},
		callers:         map[string]*pb.Caller{},
		operators:       map[string]*pb.Operator{},
		grants:          map[string]*pb.Grant{},
		pages:           map[string]*pb.Page{},
		leaves:          map[string]LeafEntry{},
		leafIPs:         map[string]bool{},
		callersByHash:   map[string]*pb.Caller{},
		operatorsByHash: map[string]*pb.Operator{},
	}
	for _, o := range objects {
		if !o.GetDeleted() {
			x.add(o)
		}
	}
	return x
}

// Zone returns the named availability zone, or nil.
func (x *Index) Zone(name string) *pb.AvailabilityZone { return x.zones[name] }

// ZoneInService reports whether the zone accepts new work. An unknown zone does not.
func (x *Index) ZoneInService(name string) bool {
	z := x.zones[name]
	return z != nil && !z.GetOutOfService()
}

// Service returns the named service, or nil.
func (x *Index) Service(name string) *pb.Service { return x.services[name] }

// Services returns all services, ordered by name.
func (x *Index) Services() []*pb.Service {
	services := make([]*pb.Service, 0, len(x.services))
	for _, s := range x.services {
		services = append(services, s)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].GetName() < services[j].GetName() })
	return services
}

// Class returns the class of the service, or nil.
func (x *Index) Class(service, class string) *pb.Class {
	return x.classes[keyer.ClassName(service, class)]
}

// Classes returns all classes, ordered by service and class name.
func (x *Index) Classes() []*pb.Class {
	names := make([]string, 0, len(x.classes))
	for n := range x.classes {
		names = append(names, n)
	}
	sort.Strings(names)
	classes := make([]*pb.Class, 0, len(names))
	for _, n := range names {
		classes = append(classes, x.classes[n])
	}
	return classes
}

// Page returns the newest page of the class, or nil.
func (x *Index) Page(service, class string) *pb.Page {
	return x.pages[keyer.ClassName(service, class)]
}

// Operator returns the named operator, or nil.
func (x *Index) Operator(name string) *pb.Operator { return x.operators[name] }

// Leaf returns the named leaf and its service, and whether the leaf exists.
func (x *Index) Leaf(name string) (LeafEntry, bool) {
	l, ok := x.leaves[name]
	return l, ok
}

// IsLeafIP reports whether a leaf has the IP address.
func (x *Index) IsLeafIP(ip string) bool { return x.leafIPs[ip] }

// LeafCount returns the number of leaves.
func (x *Index) LeafCount() int { return len(x.leaves) }

// Grants returns the grants for the class of the service.
func (x *Index) Grants(service, class string) []*pb.Grant {
	var grants []*pb.Grant
	for _, g := range x.grants {
		if g.GetService() == service && g.GetClass() == class {
			grants = append(grants, g)
		}
	}
	return grants
}

// CallerByCredential returns the caller with the bearer credential, or nil.
func (x *Index) CallerByCredential(credential string) *pb.Caller {
	hash := HashCredential(credential)
	c := x.callersByHash[hash]
	if c == nil || subtle.ConstantTimeCompare([]byte(hash), []byte(c.GetCredentialHash())) != 1 {
		return nil
	}
	return c
}

// OperatorByCredential returns the operator with the bearer token, or nil.
func (x *Index) OperatorByCredential(token string) *pb.Operator {
	hash := HashCredential(token)
	o := x.operatorsByHash[hash]
	if o == nil || subtle.ConstantTimeCompare([]byte(hash), []byte(o.GetCredentialHash())) != 1 {
		return nil
	}
	return o
}

// HashCredential returns the lower-case hex SHA-256 of the credential.
func HashCredential(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

func (x *Index) add(o *pb.ConfigObject) {
	switch s := o.GetSpec().(type) {
	case *pb.ConfigObject_AvailabilityZone:
		x.zones[s.AvailabilityZone.GetName()] = s.AvailabilityZone
	case *pb.ConfigObject_Service:
		x.addService(s.Service)
	case *pb.ConfigObject_Class:
		x.classes[keyer.ClassName(s.Class.GetService(), s.Class.GetName())] = s.Class
	case *pb.ConfigObject_Caller:
		x.callers[s.Caller.GetName()] = s.Caller
		x.callersByHash[s.Caller.GetCredentialHash()] = s.Caller
	case *pb.ConfigObject_Operator:
		x.operators[s.Operator.GetName()] = s.Operator
		x.operatorsByHash[s.Operator.GetCredentialHash()] = s.Operator
	case *pb.ConfigObject_Grant:
		x.grants[s.Grant.GetName()] = s.Grant
	case *pb.ConfigObject_Page:
		x.pages[keyer.ClassName(s.Page.GetService(), s.Page.GetClass())] = s.Page
	}
}

func (x *Index) addService(s *pb.Service) {
	x.services[s.GetName()] = s
	for _, l := range s.GetLeaves() {
		x.leaves[l.GetName()] = LeafEntry{Service: s, Leaf: l}
		if ip, _, err := net.SplitHostPort(l.GetAddress()); err == nil {
			x.leafIPs[ip] = true
		}
	}
}
