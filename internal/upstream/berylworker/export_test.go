package berylworker

// WithAnyAnswer switches off the check that an answer belongs to the execution.
func WithAnyAnswer() Option { return func(s *settings) { s.anyAnswer = true } }
