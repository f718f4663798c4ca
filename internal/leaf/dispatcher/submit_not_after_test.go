package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/dispatcher"
)

// TestSubmitPastNotAfterIsNotSent guards against a submit that was queued while this process was paused
// and reaches the leaf after the caller was answered. The dispatcher has no sender, so a send would panic.
func TestSubmitPastNotAfterIsNotSent(t *testing.T) {
	is := is.New(t)
	d := dispatcher.New(dispatcher.Config{Clock: quartz.NewReal()})
	reply := d.Submit(context.Background(), &pb.SubmitCall{
		Leaf: "leaf", RequestId: "id", NotAfter: timestamppb.New(time.Now().Add(-time.Millisecond)),
	})
	is.Equal(reply.GetCode(), pb.ResultCode_RESULT_CODE_NOT_RUN)
	is.Equal(reply.GetRequestId(), "id")
}
