package server

import (
	"github.com/cockroachdb/errors"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

// failedOutcome returns the outcome of a change that was rejected before it was applied.
func failedOutcome(changeID string, err error) *pb.ChangeOutcome {
	return &pb.ChangeOutcome{Code: coder.CodeOf(err), Message: err.Error(), ChangeId: changeID}
}

// storeError converts an error of the platform's store to a coded error.
func storeError(err error) error {
	if errors.Is(err, client.ErrNotFound) {
		return coder.New(pb.ResultCode_RESULT_CODE_NOT_FOUND, "%v", err)
	}
	return coder.New(pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE, "%v", err)
}
