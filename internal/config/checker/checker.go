// Package checker validates configuration objects. It returns one message for each invalid field, which
// begins with the path of the field. CheckFields checks the values of an object by themselves; CheckReferences
// checks them against the objects that they refer to: the service of a class, the classes of a caller, the
// zone of a leaf, the directors of a service. Referrers returns the objects that refer to another object,
// because a referenced object must not be deleted.
package checker

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"sort"
	"strings"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	hashPattern = `^[0-9a-f]{64}$`
	namePattern = `^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`
)

type (
	// Config configures a Checker.
	Config struct {
		// Objects are the objects in force, optionally followed by those of a file. A later object
		// replaces an earlier one with the same key.
		Objects []*pb.ConfigObject
	}

	// Checker validates objects against a fixed set of objects. It is immutable.
	Checker struct {
		// objects maps keys to objects. It contains no tombstones.
		objects map[string]*pb.ConfigObject
		// keys are the keys of objects in ascending order.
		keys       []string
		nameRegexp *regexp.Regexp
		hashRegexp *regexp.Regexp
	}

	// fieldReport collects the messages on the invalid fields of one object.
	fieldReport struct {
		fieldErrors []string
	}
)

// New returns a Checker.
func New(c Config) *Checker {
	k := &Checker{
		objects:    map[string]*pb.ConfigObject{},
		nameRegexp: regexp.MustCompile(namePattern),
		hashRegexp: regexp.MustCompile(hashPattern),
	}
	for _, o := range c.Objects {
		key := keyer.Of(o)
		delete(k.objects, key)
		if !o.GetDeleted() {
			k.objects[key] = o
		}
	}
	for key := range k.objects {
		k.keys = append(k.keys, key)
	}
	sort.Strings(k.keys)
	return k
}

// CheckFields returns a message for each field that is invalid regardless of other objects.
func (k *Checker) CheckFields(o *pb.ConfigObject) []string {
	r := &fieldReport{}
	switch s := o.GetSpec().(type) {
	case *pb.ConfigObject_AvailabilityZone:
		k.checkName(r, "name", s.AvailabilityZone.GetName())
		k.checkName(r, "region", s.AvailabilityZone.GetRegion())
	case *pb.ConfigObject_Service:
		k.checkService(r, s.Service)
	case *pb.ConfigObject_Class:
		k.checkClass(r, s.Class)
	case *pb.ConfigObject_Caller:
		k.checkCaller(r, s.Caller)
	case *pb.ConfigObject_Operator:
		k.checkOperator(r, s.Operator)
	case nil:
		r.add("object", "has no spec")
	}
	return r.fieldErrors
}

// CheckReferences returns a message for each field that is inconsistent with other objects.
func (k *Checker) CheckReferences(o *pb.ConfigObject) []string {
	r := &fieldReport{}
	switch s := o.GetSpec().(type) {
	case *pb.ConfigObject_Service:
		k.checkServiceReferences(r, s.Service)
	case *pb.ConfigObject_Class:
		k.checkExists(r, "service", keyer.Join(keyer.KindService, s.Class.GetService()))
	case *pb.ConfigObject_Caller:
		k.checkCallerReferences(r, s.Caller)
	case *pb.ConfigObject_Operator:
		k.checkOperatorReferences(r, s.Operator)
	}
	return r.fieldErrors
}

// Referrers returns the keys of the objects that refer to the key, in ascending order.
func (k *Checker) Referrers(key string) []string {
	var referrers []string
	for _, other := range k.keys {
		if slices.Contains(referencesOf(k.objects[other]), key) {
			referrers = append(referrers, other)
		}
	}
	return referrers
}

// referencesOf returns the keys that the object refers to.
func referencesOf(o *pb.ConfigObject) []string {
	var keys []string
	switch s := o.GetSpec().(type) {
	case *pb.ConfigObject_Service:
		for _, l := range s.Service.GetLeaves() {
			keys = append(keys, keyer.Join(keyer.KindAvailabilityZone, l.GetAvailabilityZone()))
		}
		for _, d := range s.Service.GetDirectors() {
			keys = append(keys, keyer.Join(keyer.KindOperator, d))
		}
	case *pb.ConfigObject_Class:
		keys = append(keys, keyer.Join(keyer.KindService, s.Class.GetService()))
	case *pb.ConfigObject_Caller:
		for _, c := range s.Caller.GetClasses() {
			keys = append(keys, classKey(c))
		}
	}
	return keys
}

// classKey returns the key of the class whose name is given in the form service/class.
func classKey(name string) string {
	service, class, _ := strings.Cut(name, "/")
	return keyer.Join(keyer.KindClass, keyer.ClassName(service, class))
}

func (k *Checker) checkExists(r *fieldReport, path, key string) bool {
	if k.objects[key] == nil {
		r.add(path, "%s does not exist", key)
		return false
	}
	return true
}

func (k *Checker) checkName(r *fieldReport, path, name string) {
	if !k.nameRegexp.MatchString(name) {
		r.add(path, "must have 1 to 63 of a to z, 0 to 9 and -, not %q", name)
	}
}

func (k *Checker) checkHash(r *fieldReport, path, hash string) {
	if !k.hashRegexp.MatchString(hash) {
		r.add(path, "must be a lower-case hex SHA-256 (64 digits), not %q", hash)
	}
}

func (r *fieldReport) checkAddress(path, address string) {
	if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		r.add(path, "must be IP:port, not %q", address)
	}
}

func (r *fieldReport) checkURL(path, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		r.add(path, "must be a URL beginning with http:// or https://, not %q", text)
	}
}

func (r *fieldReport) checkShare(path string, share float64) {
	if !(share >= 0 && share <= 1) {
		r.add(path, "must be from 0 to 1, not %v", share)
	}
}

func (r *fieldReport) checkPositive(path string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		r.add(path, "must be above 0, not %v", value)
	}
}

func (r *fieldReport) checkDuration(path string, d *durationpb.Duration) {
	if !d.IsValid() || d.AsDuration() <= 0 {
		r.add(path, "must be a duration above 0")
	}
}

func (r *fieldReport) add(path, format string, arguments ...any) {
	r.fieldErrors = append(r.fieldErrors, path+": "+fmt.Sprintf(format, arguments...))
}

// elementPath returns the path of element i of the list, or of a field of that element.
func elementPath(list string, i int, field string) string {
	path := fmt.Sprintf("%s[%d]", list, i)
	if field == "" {
		return path
	}
	return path + "." + field
}
