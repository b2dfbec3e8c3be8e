package berylworker

// WithErrorsNotSent takes every failed exchange for one that sent nothing.
func WithErrorsNotSent() Option { return func(s *settings) { s.errorsNotSent = true } }

// WithAnyAnswer switches off the check that an answer belongs to the execution.
func WithAnyAnswer() Option { return func(s *settings) { s.anyAnswer = true } }
