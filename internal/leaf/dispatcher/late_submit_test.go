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

// TestSubmitHeldUpIsNotSent holds that a call which was queued while this process was frozen does not
// reach the leaf after the caller was answered. The dispatcher has no sender, so that a send would panic.
func TestSubmitHeldUpIsNotSent(t *testing.T) {
	is := is.New(t)
	d := dispatcher.New(dispatcher.Config{Clock: quartz.NewReal()})
	reply := d.Submit(context.Background(), &pb.SubmitCall{
		Leaf: "leaf", RequestId: "id", NotAfter: timestamppb.New(time.Now().Add(-time.Millisecond)),
	})
	is.Equal(reply.GetCode(), pb.ResultCode_RESULT_CODE_NOT_RUN)
	is.Equal(reply.GetRequestId(), "id")
}
