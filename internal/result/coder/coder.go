// Package coder attaches the numbered result codes of the schema to errors, so that a code that is decided deep in
// the call stack reaches the caller unchanged.
package coder

import (
	"fmt"

	"github.com/cockroachdb/errors"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// CodedError is an error with a result code.
	CodedError struct {
		code    pb.ResultCode
		message string
	}
)

// New returns an error with the code and a formatted message.
func New(code pb.ResultCode, format string, arguments ...any) error {
	return &CodedError{code: code, message: fmt.Sprintf(format, arguments...)}
}

// CodeOf returns the code of the error: OK for nil, INTERNAL for an error without a code.
func CodeOf(err error) pb.ResultCode {
	if err == nil {
		return pb.ResultCode_RESULT_CODE_OK
	}
	var coded *CodedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return pb.ResultCode_RESULT_CODE_INTERNAL
}

// Error implements error.
func (e *CodedError) Error() string {
	return e.message
}

// Code returns the result code.
func (e *CodedError) Code() pb.ResultCode {
	return e.code
}
