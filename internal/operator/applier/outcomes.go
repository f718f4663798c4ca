package applier

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// conflictOutcome returns the outcome of a version conflict, which names the change that made the current version.
func conflictOutcome(c Change, key string, current *pb.ConfigObject) *pb.ChangeOutcome {
	o := newOutcome(c, pb.ResultCode_RESULT_CODE_VERSION_CONFLICT, "%s has version %d", key, current.GetVersion())
	if c.ExpectedVersion != AnyVersion {
		o.Message += fmt.Sprintf(", expected %d", c.ExpectedVersion)
	}
	o.Version = current.GetVersion()
	if n := len(current.GetChanges()); n > 0 {
		o.Winner = current.GetChanges()[n-1]
		o.Message += fmt.Sprintf("; it was changed by %s (change %s: %s)",
			o.GetWinner().GetActor(), o.GetWinner().GetChangeId(), o.GetWinner().GetReason())
	}
	return o
}

func acceptedOutcome(c Change, version int64) *pb.ChangeOutcome {
	return &pb.ChangeOutcome{Code: pb.ResultCode_RESULT_CODE_OK, ChangeId: c.ID, Version: version}
}

func newOutcome(c Change, code pb.ResultCode, format string, args ...any) *pb.ChangeOutcome {
	return &pb.ChangeOutcome{Code: code, ChangeId: c.ID, Message: fmt.Sprintf(format, args...)}
}

func encode(o *pb.ConfigObject) ([]byte, error) {
	value, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(o)
	return value, errors.Wrap(err, "encode object")
}

// digest returns a hash of the object's spec and deletion mark; version and audit trail are left out.
func digest(o *pb.ConfigObject) string {
	spec := &pb.ConfigObject{Deleted: o.GetDeleted(), Spec: o.GetSpec()}
	value, _ := proto.MarshalOptions{Deterministic: true}.Marshal(spec)
	return fmt.Sprintf("%016x", xxhash.Sum64(value))
}
