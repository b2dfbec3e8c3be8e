package berylworker

// WithErrorsNotSent takes every failed exchange for one that sent nothing.
func WithErrorsNotSent() Option { return func(s *settings) { s.errorsNotSent = true } }

// WithCutAnswers takes an answer that breaks off for a whole one.
func WithCutAnswers() Option { return func(s *settings) { s.cutIsEnd = true } }

// WithAnyAnswer switches off the check that an answer belongs to the execution.
func WithAnyAnswer() Option { return func(s *settings) { s.anyAnswer = true } }
