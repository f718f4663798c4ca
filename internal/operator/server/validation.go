package server

import (
	"context"
	"strings"

	"github.com/magnoliastep/magnoliastep/internal/config/checker"
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

// validateObject returns the outcome of a change whose object is not valid, or nil.
func (s *Server) validateObject(ctx context.Context, changeID string, o *pb.ConfigObject) *pb.ChangeOutcome {
	if err := validateKind(o); err != nil {
		return failedOutcome(changeID, err)
	}
	if violations := s.checker().CheckFields(o); len(violations) > 0 {
		return invalidOutcome(changeID, keyer.Of(o)+" is not valid", violations)
	}
	violations := s.checkWithRefresh(ctx, func(k *checker.Checker) []string { return k.CheckReferences(o) })
	if len(violations) == 0 || s.isRecorded(ctx, keyer.Of(o), changeID) {
		return nil
	}
	return invalidOutcome(changeID, keyer.Of(o)+" does not fit the other objects", violations)
}

// validateDeletion returns the outcome of a deletion that is not allowed, or nil: the key is of a kind that is not
// deleted, or another object refers to it.
func (s *Server) validateDeletion(ctx context.Context, changeID, key string) *pb.ChangeOutcome {
	if !isDeletable(key) {
		return failedOutcome(changeID, coder.New(pb.ResultCode_RESULT_CODE_INVALID_OBJECT,
			"%q is no key of an object that may be deleted", key))
	}
	referrers := s.checkWithRefresh(ctx, func(k *checker.Checker) []string { return k.Referrers(key) })
	if len(referrers) == 0 || s.isRecorded(ctx, key, changeID) {
		return nil
	}
	return invalidOutcome(changeID, key+" is referred to by "+strings.Join(referrers, ", "), referrers)
}

// checkWithRefresh runs the check against the configuration in force. If the check fails, it reads all objects from the
// platform and checks again, because a change that another node accepted just now may not have reached this node yet.
func (s *Server) checkWithRefresh(ctx context.Context, check func(*checker.Checker) []string) []string {
	if len(check(s.checker())) == 0 {
		return nil
	}
	s.refresh(ctx)
	return check(s.checker())
}

func (s *Server) checker() *checker.Checker {
	return checker.New(checker.Config{Objects: s.config.Keeper.Objects()})
}

// refresh updates the configuration in force from the platform. If the platform cannot be read, nothing changes.
func (s *Server) refresh(ctx context.Context) {
	listing, err := s.config.Store.List(ctx, "")
	if err != nil {
		return
	}
	objects := make([]*pb.ConfigObject, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		if decoded, err := watcher.Decode(o); err == nil {
			objects = append(objects, decoded)
		}
	}
	s.config.Keeper.Apply(objects, 0)
}

// isRecorded reports whether the change is a repeat of an accepted change. A repeat must be reported as accepted even
// if its object would no longer be valid.
func (s *Server) isRecorded(ctx context.Context, key, changeID string) bool {
	recorded, err := s.config.Applier.Find(ctx, key, changeID)
	return err == nil && recorded != nil
}

// validateKind rejects the kinds of objects that only the system itself writes.
func validateKind(o *pb.ConfigObject) error {
	switch o.GetSpec().(type) {
	case *pb.ConfigObject_Grant, *pb.ConfigObject_Page, *pb.ConfigObject_ChangeArchive:
		return coder.New(pb.ResultCode_RESULT_CODE_INVALID_OBJECT, "%s is written by the system alone", keyer.Of(o))
	}
	return nil
}

// isDeletable reports whether operators may delete objects of the key's kind.
func isDeletable(key string) bool {
	kind, name, ok := strings.Cut(key, "/")
	if !ok || name == "" {
		return false
	}
	switch keyer.Kind(kind) {
	case keyer.KindAvailabilityZone, keyer.KindService, keyer.KindClass, keyer.KindCaller, keyer.KindOperator:
		return true
	}
	return false
}

func invalidOutcome(changeID, message string, violations []string) *pb.ChangeOutcome {
	return &pb.ChangeOutcome{
		Code: pb.ResultCode_RESULT_CODE_INVALID_OBJECT, Message: message, ChangeId: changeID, FieldErrors: violations,
	}
}
