// Package keyer derives the platform key of a configuration object from its spec, so that a key and
// the object stored under it always agree. For example, class search of service towpath-desk has the
// key class/towpath-desk.search.
package keyer

import (
	"fmt"
	"strings"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// Kind is the kind of a configuration object, which is the first part of its key.
	Kind string
)

const (
	// KindAvailabilityZone is the kind of availability zones.
	KindAvailabilityZone Kind = "availability_zone"
	// KindService is the kind of services.
	KindService Kind = "service"
	// KindClass is the kind of request classes.
	KindClass Kind = "class"
	// KindCaller is the kind of callers.
	KindCaller Kind = "caller"
	// KindOperator is the kind of operators.
	KindOperator Kind = "operator"
	// KindGrant is the kind of grants that permit refusals.
	KindGrant Kind = "grant"
	// KindPage is the kind of pages.
	KindPage Kind = "page"
	// KindChangeArchive is the kind of archived changes.
	KindChangeArchive Kind = "change_archive"
)

// Kinds returns all kinds, in the order in which a file of objects is applied.
func Kinds() []Kind {
	return []Kind{
		KindAvailabilityZone, KindOperator, KindService, KindClass, KindCaller, KindGrant, KindPage, KindChangeArchive,
	}
}

// Of returns the key of the object, or an empty string for an object without a spec.
func Of(o *pb.ConfigObject) string {
	switch s := o.GetSpec().(type) {
	case *pb.ConfigObject_AvailabilityZone:
		return Join(KindAvailabilityZone, s.AvailabilityZone.GetName())
	case *pb.ConfigObject_Service:
		return Join(KindService, s.Service.GetName())
	case *pb.ConfigObject_Class:
		return Join(KindClass, ClassName(s.Class.GetService(), s.Class.GetName()))
	case *pb.ConfigObject_Caller:
		return Join(KindCaller, s.Caller.GetName())
	case *pb.ConfigObject_Operator:
		return Join(KindOperator, s.Operator.GetName())
	case *pb.ConfigObject_Grant:
		return Join(KindGrant, s.Grant.GetName())
	case *pb.ConfigObject_Page:
		return Join(KindPage, ClassName(s.Page.GetService(), s.Page.GetClass()))
	case *pb.ConfigObject_ChangeArchive:
		return Join(KindChangeArchive, archiveName(s.ChangeArchive))
	default:
		return ""
	}
}

// Join returns the key of the named object.
func Join(kind Kind, name string) string {
	return string(kind) + "/" + name
}

// ClassName returns the name that a class has in its key.
func ClassName(service, class string) string {
	return service + "." + class
}

func archiveName(a *pb.ChangeArchive) string {
	return fmt.Sprintf("%s.%d", strings.ReplaceAll(a.GetObjectKey(), "/", "."), a.GetSequence())
}
