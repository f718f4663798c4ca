package indexer

import (
	"slices"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

// CheckClass returns the class of a request, or an error with a result code if the service or the class does not exist,
// the caller is not allowed to use the class, or the class is of another kind.
func (x *Index) CheckClass(caller *pb.Caller, service, class string, kind pb.RequestKind) (*pb.Class, error) {
	if x.Service(service) == nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_SERVICE, "service %q is not configured", service)
	}
	c := x.Class(service, class)
	if c == nil {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_UNKNOWN_CLASS, "service %q has no class %q", service, class)
	}
	if !slices.Contains(caller.GetClasses(), service+"/"+class) {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_CLASS_NOT_ALLOWED,
			"caller %q may not send class %s/%s", caller.GetName(), service, class)
	}
	if c.GetKind() != kind {
		return nil, coder.New(pb.ResultCode_RESULT_CODE_WRONG_KIND,
			"class %s/%s is %s", service, class, c.GetKind())
	}
	return c, nil
}
